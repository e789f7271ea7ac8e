//go:build wasip1

// Command hallcheck is an example of a plug-in: mottak from one hall must name a delivery note, and no hall may book more
// than a few within a second.
package main

import (
	"bytes"
	"strconv"

	"thistlequay/pluginsdk"
)

const mostASecond = 5

func init() {
	pluginsdk.OnRead = func(q pluginsdk.Request) pluginsdk.Verdict {
		if !bytes.Contains(q.Body, []byte("note=")) {
			pluginsdk.Count("without_note", 1)
			return pluginsdk.Verdict{}.Reject(422)
		}
		key := q.Tenant + " " + strconv.FormatInt(q.UnixMS/1000, 10)
		seen := 0
		if v, found := pluginsdk.Get(key); found {
			seen, _ = strconv.Atoi(string(v))
		}
		if seen >= mostASecond {
			return pluginsdk.Verdict{}.Reject(429)
		}
		pluginsdk.Put(key, strconv.AppendInt(nil, int64(seen+1), 10))
		return pluginsdk.Verdict{}.Tag("checked")
	}
	pluginsdk.OnTick = func(q pluginsdk.Request) { // what lies a second back can go
		for _, tenant := range []string{"acme", "beta"} {
			pluginsdk.Put(tenant+" "+strconv.FormatInt(q.UnixMS/1000-2, 10), nil)
		}
	}
}

func main() {}
