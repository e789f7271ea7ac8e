//go:build wasip1

// Command rule is a plug-in like those that the users' pages describe: requests of one kind are treated as mottak.
package main

import (
	"bytes"

	"thistlequay/pluginsdk"
)

func init() { pluginsdk.OnRead = checkAsDelivery }

func main() {}

// checkAsDelivery has a look-up that belongs to a delivery treated as the class of deliveries.
func checkAsDelivery(request pluginsdk.Request) pluginsdk.Verdict {
	if bytes.Contains(request.Body, []byte("delivery")) {
		return pluginsdk.Verdict{}.Categorize("mottak")
	}
	return pluginsdk.Verdict{}
}
