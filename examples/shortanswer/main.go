//go:build wasip1

// Command shortanswer is an example of a plug-in: a partner's screen gets the first line of a long result.
package main

import (
	"bytes"

	"thistlequay/guest"
)

func init() {
	guest.OnResult = func(q guest.Request) guest.Verdict {
		line, _, more := bytes.Cut(q.Body, []byte{'\n'})
		if !more {
			return guest.Verdict{}
		}
		return guest.Verdict{}.Replace(line)
	}
}

func main() {}
