package server

import (
	"crypto/sha256"
	"strconv"

	"thistlequay/admission"
	"thistlequay/timeunit"
)

// idempotencyEntry is the state shared by all attempts with the same idempotency key. At most one attempt runs, and the
// others are answered with its result.
type idempotencyEntry struct {
	key      string
	bodyHash [sha256.Size]byte // detects another body under the same key

	owner      *request // the attempt that is queued or runs; nil after its release
	hasStarted bool     // an attempt was started
	hasEnded   bool     // its run is over
	isRestored bool     // an earlier process ran it
	succeeded  bool     // its run succeeded, with this result
	result     []byte   // as received from the interpreter

	matchUntil  timeunit.Ticks // attempts received before this time are retries
	expiryTimer timer          // fires when no retry can be left unread
	isExpired   bool           // the timer fired while an attempt was queued or ran
	sharers     []*request     // requests that wait for the result
}

// entryRetention returns how long an entry is kept, counted from the Received-At of the attempt that ran. A retry
// received within the deduplication window may stay unread until its deadline, and its router's clock may be ahead.
func entryRetention(category admission.Category) timeunit.Ticks {
	return category.DeduplicationWindow + category.Deadline + maxClockSkew
}

// minWindowMargin returns the least time that admission adds to deduplication windows.
func (t *requestTable) minWindowMargin() timeunit.Ticks {
	return 2*t.server.config.Settings.BatchInterval + 2
}

// isIdempotent reports whether a request can run any number of times, which its own category states.
func (t *requestTable) isIdempotent(req *request) bool {
	return t.server.config.Settings.Categories[req.category].Idempotency == admission.Idempotent
}

// idempotencyKey returns the key of a request in the idempotency table, or "" if its category is not keyed. It includes
// the category, because a result must not be shared with another category.
func (t *requestTable) idempotencyKey(req *request) string {
	if t.server.config.Settings.Categories[req.category].Idempotency != admission.Keyed {
		return ""
	}
	return strconv.Itoa(req.category) + " " + string(req.key)
}

// findEntry returns the entry of an earlier attempt of a request, or nil. It removes an entry whose window has
// ended.
func (t *requestTable) findEntry(req *request) *idempotencyEntry {
	entry := t.entries[t.idempotencyKey(req)]
	if entry == nil {
		return nil
	}
	// A request cannot be received after it was read, so a router whose clock is ahead must not move a retry past
	// the window.
	receivedAt := min(req.receivedAt, req.acceptedAt)
	if entry.owner == nil && receivedAt >= entry.matchUntil {
		t.removeEntry(entry)
		return nil
	}
	return entry
}

// findStartedEntry is like findEntry, but returns nil also if no attempt was started. The result, or the failure, of an
// entry that it returns is owed to every repeat.
func (t *requestTable) findStartedEntry(req *request) *idempotencyEntry {
	entry := t.findEntry(req)
	if entry == nil || !entry.hasStarted {
		return nil
	}
	return entry
}

// addEntry adds the entry of an attempt that admission has accepted. It removes the entry of a queued attempt that the
// new one replaces.
func (t *requestTable) addEntry(owner *request, key string, bodyHash [sha256.Size]byte) {
	if replaced := t.entries[key]; replaced != nil {
		t.server.checkInvariant(!replaced.hasStarted, "the entry of an idempotency key that ran is replaced")
		t.removeEntry(replaced)
	}
	entry := &idempotencyEntry{key: key, bodyHash: bodyHash, owner: owner, matchUntil: noDeadline}
	entry.expiryTimer.fire = func() {
		entry.isExpired = true
		if entry.owner == nil {
			t.removeEntry(entry)
		}
	}
	owner.entry = entry
	t.entries[key] = entry
}

// removeEntry removes an entry from the table and releases the requests that wait for its result.
func (t *requestTable) removeEntry(entry *idempotencyEntry) {
	if t.entries[entry.key] == entry {
		delete(t.entries, entry.key)
		if entry.isRestored {
			t.server.recovery.releaseRestoredEntry()
		}
	}
	t.server.stopTimer(&entry.expiryTimer)
	t.releaseSharers(entry)
}

// releaseSharers queues the requests that share the entry's result to be answered. It is called when the result is
// known or when there will be none.
func (t *requestTable) releaseSharers(entry *idempotencyEntry) {
	t.readySharers = append(t.readySharers, entry.sharers...)
	entry.sharers = nil
}
