//go:build wasip1

// Command shortanswer is an example of a plug-in: a partner's screen gets the first line of a long result.
package main

import (
	"bytes"

	"thistlequay/pluginsdk"
)

func init() {
	pluginsdk.OnResult = func(q pluginsdk.Request) pluginsdk.Verdict {
		line, _, more := bytes.Cut(q.Body, []byte{'\n'})
		if !more {
			return pluginsdk.Verdict{}
		}
		return pluginsdk.Verdict{}.Replace(line)
	}
}

func main() {}
