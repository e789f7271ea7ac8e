// Command adapter hosts decision instances for the simulator, on standard input and output.
package main

import (
	"log"
	"os"

	"thistlequay/internal/simwire"
)

func main() {
	log.SetFlags(0)
	log.SetPrefix("adapter: ")
	if err := simwire.Serve(os.Stdin, os.Stdout); err != nil {
		log.Fatal(err)
	}
}
