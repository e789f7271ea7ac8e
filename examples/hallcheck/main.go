//go:build wasip1

// Command hallcheck is an example of a plug-in: bookings from a hall must name a delivery note, and no hall may book
// more than a few times within a second.
package main

import (
	"bytes"
	"strconv"

	"thistlequay/pluginsdk"
)

// maxBookingsPerSecond is the number of bookings of one hall within a second.
const maxBookingsPerSecond = 5

// Statuses of rejected bookings.
const (
	statusUnprocessable   = 422
	statusTooManyRequests = 429
)

func init() {
	pluginsdk.OnRead = checkBooking
	pluginsdk.OnTick = forgetOldSeconds
}

func main() {}

// checkBooking rejects a booking without a note, or beyond its hall's rate, and tags every other.
func checkBooking(request pluginsdk.Request) pluginsdk.Verdict {
	if !bytes.Contains(request.Body, []byte("note=")) {
		pluginsdk.Count("without_note", 1)
		return pluginsdk.Verdict{}.Reject(statusUnprocessable)
	}
	key := bookingsKey(request.Tenant, request.UnixMS/1000)
	bookings := 0
	if value, found := pluginsdk.Get(key); found {
		bookings, _ = strconv.Atoi(string(value)) // only this plug-in writes the value
	}
	if bookings >= maxBookingsPerSecond {
		return pluginsdk.Verdict{}.Reject(statusTooManyRequests)
	}
	pluginsdk.Put(key, strconv.AppendInt(nil, int64(bookings+1), 10))
	return pluginsdk.Verdict{}.Tag("checked")
}

// forgetOldSeconds removes what is stored about the second before the last one.
func forgetOldSeconds(request pluginsdk.Request) {
	for _, tenant := range []string{"acme", "beta"} {
		pluginsdk.Put(bookingsKey(tenant, request.UnixMS/1000-2), nil)
	}
}

// bookingsKey is the key under which the number of a tenant's bookings within a second is stored.
func bookingsKey(tenant string, unixSecond int64) string {
	return tenant + " " + strconv.FormatInt(unixSecond, 10)
}
