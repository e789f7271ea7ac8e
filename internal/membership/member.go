package membership

import "thistlequay/timeunit"

// Member is one life as this server sees it.
type Member struct {
	StateUpdate
	State       State // concluded; its own word's is in Word
	Cause       Cause
	Since       timeunit.Milliseconds // it stands so
	FirstSeen   timeunit.Milliseconds // when it was first heard of
	LastUpdate  timeunit.Milliseconds // when its newest word was said, by this server's clock
	LastReply   timeunit.Milliseconds // when it last answered this server itself
	RoundTrip   timeunit.Milliseconds // how long such an answer took, of late
	transitions []timeunit.Milliseconds
	terminated  bool                  // for good: no later word brings it back
	counted     bool                  // it counts in the size of the fleet
	swings      timeunit.Milliseconds // until when a change of it moves nothing
}

// Age is how old what it says of itself is.
func (m *Member) Age(now timeunit.Milliseconds) timeunit.Milliseconds {
	return max(0, now-m.LastUpdate)
}

// isAlive says whether a life speaks: it has not been suspected since, or only its name is another's.
func (m *Member) isAlive() bool { return m.State < StateSuspected || m.Cause == CauseNameConflict }
