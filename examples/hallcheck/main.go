//go:build wasip1

// Command hallcheck is an example of a plug-in: mottak from one hall must name a delivery note, and no hall may book more
// than a few within a second.
package main

import (
	"bytes"
	"strconv"

	"thistlequay/guest"
)

const mostASecond = 5

func init() {
	guest.OnRead = func(q guest.Request) guest.Verdict {
		if !bytes.Contains(q.Body, []byte("note=")) {
			guest.Count("without_note", 1)
			return guest.Verdict{}.Decline(422)
		}
		key := q.Tenant + " " + strconv.FormatInt(q.Now/1000, 10)
		seen := 0
		if v, found := guest.Get(key); found {
			seen, _ = strconv.Atoi(string(v))
		}
		if seen >= mostASecond {
			return guest.Verdict{}.Decline(429)
		}
		guest.Put(key, strconv.AppendInt(nil, int64(seen+1), 10))
		return guest.Verdict{}.Tag("checked")
	}
	guest.OnTick = func(q guest.Request) { // what lies a second back can go
		for _, tenant := range []string{"acme", "beta"} {
			guest.Put(tenant+" "+strconv.FormatInt(q.Now/1000-2, 10), nil)
		}
	}
}

func main() {}
