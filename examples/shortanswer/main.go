//go:build wasip1

// Command shortanswer is an example plug-in. It shortens results to their first line, for a partner whose screen shows
// no more.
package main

import (
	"bytes"

	"thistlequay/pluginsdk"
)

func init() {
	pluginsdk.OnResult = firstLine
}

func main() {}

// firstLine replaces a result of several lines with its first line.
func firstLine(request pluginsdk.Request) pluginsdk.Verdict {
	line, _, hasMore := bytes.Cut(request.Body, []byte{'\n'})
	if !hasMore {
		return pluginsdk.Verdict{}
	}
	return pluginsdk.Verdict{}.Replace(line)
}
