// Command adapter runs admission servers for the simulator, which it talks to over standard input and output.
package main

import (
	"log"
	"os"

	"thistlequay/internal/simadapter"
)

func main() {
	log.SetFlags(0)
	log.SetPrefix("adapter: ")
	if err := simadapter.Serve(os.Stdin, os.Stdout); err != nil {
		log.Fatal(err)
	}
}
