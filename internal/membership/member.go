package membership

import "thistlequay/timeunit"

// Member is one incarnation of a server as this server sees it. Times are readings of this server's clock.
type Member struct {
	StateUpdate                       // the latest one received
	State       State                 // concluded by this server; StateUpdate.State is what the member reported
	Cause       Cause                 // the evidence for State
	Since       timeunit.Milliseconds // when State was entered
	FirstSeen   timeunit.Milliseconds // when its first update was received
	LastUpdate  timeunit.Milliseconds // when its latest update was published
	LastReply   timeunit.Milliseconds // when it last answered this server's own probe
	RoundTrip   timeunit.Milliseconds // moving average over the answered probes

	transitionTimes []timeunit.Milliseconds // times of its latest state changes, at most Config.FlapThreshold
	leavingSince    timeunit.Milliseconds   // when it first announced that it is leaving, or notLeaving
	isTerminated    bool                    // its process has ended: no later update brings it back
	isCounted       bool                    // whether it counts in the effective size
}

// notLeaving is the value of Member.leavingSince for a member that has not announced that it is leaving. It is later
// than every clock reading.
const notLeaving timeunit.Milliseconds = 1 << 60

// hasAnnouncedLeave reports whether the incarnation itself announced that it is leaving: it is draining, or it drained
// or left before it ended.
func (m *Member) hasAnnouncedLeave() bool { return m.leavingSince != notLeaving }

// Age returns the age of the member's latest update.
func (m *Member) Age(now timeunit.Milliseconds) timeunit.Milliseconds {
	return max(0, now-m.LastUpdate)
}

// isAlive reports whether the incarnation counts as running: it is neither suspected nor failed nor gone, or it merely
// lost its name to another incarnation.
func (m *Member) isAlive() bool {
	return m.State < StateSuspected || m.Cause == CauseNameConflict
}

// recordTransition records the time of a state change. It keeps only as many changes as it takes to detect flapping.
func (m *Member) recordTransition(now timeunit.Milliseconds, threshold int) {
	m.transitionTimes = append(m.transitionTimes, now)
	if excess := len(m.transitionTimes) - threshold; excess > 0 {
		m.transitionTimes = m.transitionTimes[excess:]
	}
}

// isFlapping reports whether the state has changed so often recently that the changes carry no information.
func (m *Member) isFlapping(now timeunit.Milliseconds, config *Config) bool {
	if len(m.transitionTimes) < config.FlapThreshold {
		return false
	}
	first := m.transitionTimes[0]
	last := m.transitionTimes[len(m.transitionTimes)-1]
	if now-first > config.FlapWindow+config.FlapHold {
		return false
	}
	return last-first <= config.FlapWindow && now-last < config.FlapHold
}
