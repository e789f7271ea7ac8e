package server

import (
	"crypto/sha256"
	"strconv"

	"thistlequay/admission"
	"thistlequay/timeunit"
)

const (
	maxResultBytes           = 4 << 10
	idempotencyMemoryDivisor = 3                     // one part in so many of the memory is for entries
	idempotencyEntryBytes    = maxResultBytes + 1024 // that one entry takes at most
)

// idempotencyEntry is what is known of the attempts of one request with an idempotency key: at most one of them runs,
// and the others are answered with its result.
type idempotencyEntry struct {
	key      string
	bodyHash [sha256.Size]byte // which tells its body from others

	owner     *request // the attempt that is queued or runs; nil once it is released
	ran       bool     // an attempt was begun
	ended     bool     // and is over
	succeeded bool     // with this result
	result    []byte   // as the interpreter gave it

	matchUntil  timeunit.Ticks // attempts that were received before this repeat it
	expiryTimer timer          // after it no attempt that repeats it can still be unread
	expired     bool           // it has fired, and an attempt still runs
	sharers     []*request     // that wait for the result
}

// retention returns how long an entry is kept from the Received-At of the attempt that ran: a repeat that was received
// within the window may lie unread until its router gives up, by a clock that may be ahead.
func retention(category admission.Category) timeunit.Ticks {
	return category.DeduplicationWindow + category.Deadline + maxClockSkew
}

// windowMargin is what admission itself adds to windows, at least.
func (t *requestTable) windowMargin() timeunit.Ticks {
	return 2*t.server.config.Settings.BatchInterval + 2
}

// idempotencyKey names the attempts of one request: empty for categories without keys, and with the category in it, as
// no result is for another category.
func (t *requestTable) idempotencyKey(of *request) string {
	if t.server.config.Settings.Categories[of.category].Idempotency != admission.Keyed {
		return ""
	}
	return strconv.Itoa(of.category) + " " + string(of.key)
}

// existingEntry returns the entry that a request repeats, or nil.
func (t *requestTable) existingEntry(of *request) *idempotencyEntry {
	entry := t.entries[t.idempotencyKey(of)]
	if entry == nil {
		return nil
	}
	// What has been read was received before: a router whose clock is ahead does not carry a repeat past the window.
	received := min(of.receivedAt, of.acceptedAt)
	if entry.owner == nil && received >= entry.matchUntil {
		t.removeEntry(entry)
		return nil
	}
	return entry
}

// addEntry adds the entry of an attempt that admission has taken. One that admission had it take the place of goes.
func (t *requestTable) addEntry(owner *request, key string, bodyHash [sha256.Size]byte) {
	if replaced := t.entries[key]; replaced != nil {
		t.server.checkInvariant(!replaced.ran, "the entry of an idempotency key that ran is replaced")
		t.removeEntry(replaced)
	}
	entry := &idempotencyEntry{key: key, bodyHash: bodyHash, owner: owner, matchUntil: noDeadline}
	entry.expiryTimer.fire = func() {
		entry.expired = true
		if entry.owner == nil {
			t.removeEntry(entry)
		}
	}
	owner.entry = entry
	t.entries[key] = entry
}

func (t *requestTable) removeEntry(entry *idempotencyEntry) {
	if t.entries[entry.key] == entry {
		delete(t.entries, entry.key)
	}
	t.server.stopTimer(&entry.expiryTimer)
	t.releaseSharers(entry)
}

// releaseSharers has the requests answered that share the entry's result: it is there, or will not come.
func (t *requestTable) releaseSharers(entry *idempotencyEntry) {
	t.dueSharers = append(t.dueSharers, entry.sharers...)
	entry.sharers = nil
}
