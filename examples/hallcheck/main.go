//go:build wasip1

// Command hallcheck is an example plug-in. It rejects bookings that name no delivery note and limits how many bookings
// a hall makes per second.
package main

import (
	"bytes"
	"strconv"

	"thistlequay/pluginsdk"
)

// maxBookingsPerSecond is the largest number of bookings that one hall may make within a second.
const maxBookingsPerSecond = 5

// Status codes of rejected bookings.
const (
	statusUnprocessable   = 422
	statusTooManyRequests = 429
)

func init() {
	pluginsdk.OnRead = checkBooking
	pluginsdk.OnTick = deleteOldCounts
}

func main() {}

// checkBooking rejects a booking that has no delivery note or exceeds the rate of its hall, and tags all others.
func checkBooking(request pluginsdk.Request) pluginsdk.Verdict {
	if !bytes.Contains(request.Body, []byte("note=")) {
		pluginsdk.Count("without_note", 1)
		return pluginsdk.Verdict{}.Reject(statusUnprocessable)
	}
	key := bookingsKey(request.Tenant, request.UnixMS/1000)
	bookings := 0
	if value, found := pluginsdk.Get(key); found {
		bookings, _ = strconv.Atoi(string(value)) // the value is always a number, as only this plug-in writes it
	}
	if bookings >= maxBookingsPerSecond {
		return pluginsdk.Verdict{}.Reject(statusTooManyRequests)
	}
	pluginsdk.Put(key, strconv.AppendInt(nil, int64(bookings+1), 10))
	return pluginsdk.Verdict{}.Tag("checked")
}

// deleteOldCounts deletes the booking counts of the second before the last one.
func deleteOldCounts(request pluginsdk.Request) {
	for _, tenant := range []string{"acme", "beta"} {
		pluginsdk.Put(bookingsKey(tenant, request.UnixMS/1000-2), nil)
	}
}

// bookingsKey returns the key that stores the number of bookings of a tenant within the given second.
func bookingsKey(tenant string, unixSecond int64) string {
	return tenant + " " + strconv.FormatInt(unixSecond, 10)
}
