//go:build wasip1

// Command shortanswer is an example of a plug-in: a partner's screen gets the first line of a long result.
package main

import (
	"bytes"

	"thistlequay/pluginsdk"
)

func init() {
	pluginsdk.OnResult = firstLine
}

func main() {}

// firstLine replaces a result of several lines by its first one.
func firstLine(request pluginsdk.Request) pluginsdk.Verdict {
	line, _, hasMore := bytes.Cut(request.Body, []byte{'\n'})
	if !hasMore {
		return pluginsdk.Verdict{}
	}
	return pluginsdk.Verdict{}.Replace(line)
}
