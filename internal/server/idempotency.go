package server

import (
	"crypto/sha256"
	"strconv"
	"thistlequay/admission"
	"thistlequay/timeunit"
)

const (
	maxResultBytes           = 4 << 10
	idempotencyMemoryDivisor = 3                     // one part in so many of the memory is for stamps
	idempotencyEntryBytes    = maxResultBytes + 1024 // what one takes at most
)

// idempotencyEntry is what is known of the tries of one stamped work item.
type idempotencyEntry struct {
	key         string
	bodyHash    [sha256.Size]byte // what tells its body from others
	owner       *request          // the try that is held or runs
	ran         bool              // a try was begun
	ended       bool              // and is over
	succeeded   bool              // with this result
	result      []byte            // as the interpreter gave it
	matchUntil  timeunit.Ticks    // tries that reached the machine before this repeat it
	expiryTimer timer             // none that did can still be unread after this
	expired     bool              // it is after this, and a try still runs
	sharers     []*request
}

// retention is how long a stamp is kept from the Received-At of the try that ran: after its window a repeat that came within it
// may lie unread until its caller gives up, by a clock that may be ahead.
func retention(c admission.Category) timeunit.Ticks {
	return c.DeduplicationWindow + c.Deadline + maxClockSkewMs*10
}

// windowMargin is what the module itself adds to windows, at least.
func (t *requestTable) windowMargin() timeunit.Ticks {
	return 2*t.server.config.Settings.BatchInterval + 2
}

// idempotencyKey names the tries of one stamped work item: no result for another category.
func (t *requestTable) idempotencyKey(it *request) string {
	if t.server.config.Settings.Categories[it.category].Idempotency != admission.Keyed {
		return ""
	}
	return strconv.Itoa(it.category) + " " + string(it.key)
}

// existingEntry gives the stamp that a work item repeats.
func (t *requestTable) existingEntry(it *request) *idempotencyEntry {
	m := t.entries[t.idempotencyKey(it)]
	// What has been read was written before: a router whose clock is ahead does not carry a repeat past the window.
	if m != nil && m.owner == nil && min(it.receivedAt, it.acceptedAt) >= m.matchUntil {
		t.removeEntry(m)
		return nil
	}
	return m
}

func (t *requestTable) removeEntry(m *idempotencyEntry) {
	if t.entries[m.key] == m {
		delete(t.entries, m.key)
	}
	t.server.stopTimer(&m.expiryTimer)
	t.releaseSharers(m)
}

// releaseSharers has those that share the stamp's result answered: it is there, or will not come.
func (t *requestTable) releaseSharers(m *idempotencyEntry) {
	t.dueSharers = append(t.dueSharers, m.sharers...)
	m.sharers = nil
}
