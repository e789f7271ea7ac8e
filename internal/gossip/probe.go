package gossip

import (
	"errors"
	"net"
	"syscall"
	"time"

	"thistlequay/internal/membership"
	"thistlequay/timeunit"
)

// Parameters of this server's own pings, which supplement memberlist's probes.
const (
	pingInterval = time.Second            // between pings to two members
	pingAttempts = 3                      // unanswered pings after which a member counts as unreachable
	dialTimeout  = 500 * time.Millisecond // for the connection attempt that diagnoses an address
)

// Backoff between attempts to join other members.
const (
	minJoinInterval = time.Second // doubled after each failed attempt
	maxJoinInterval = 10 * time.Second
)

// pingLoop pings one member after the other to check that it answers this server directly. Memberlist's probes also
// succeed if the member answers other members, so they never show that only this server cannot reach it.
func (n *Node) pingLoop() {
	defer n.goroutines.Done()
	next := 0
	for {
		select {
		case <-n.done:
			return
		case <-time.After(pingInterval):
		}
		members := n.pingableMembers()
		if len(members) == 0 {
			continue
		}
		next = (next + 1) % len(members)
		member := members[next]
		if !n.pingMember(&member) {
			n.enqueue(func() { n.pingFailed(member.ID) })
		}
	}
}

// pingableMembers returns the other members that may be alive, or none if the worker does not respond.
func (n *Node) pingableMembers() []membership.Member {
	var members []membership.Member
	err := n.Inspect(func(view *membership.View, _ *membership.Agreement) {
		for _, member := range view.Members() {
			if member != view.Self() && member.State <= membership.StateSuspected && member.Address != "" {
				members = append(members, *member)
			}
		}
	})
	if err != nil {
		return nil
	}
	return members
}

// pingMember reports whether a member answers one of up to pingAttempts pings.
func (n *Node) pingMember(member *membership.Member) bool {
	address, err := net.ResolveUDPAddr("udp", member.Address)
	if err != nil {
		return false
	}
	id := member.ID
	for range pingAttempts {
		roundTrip, err := n.memberlist.Ping(nodeName(id), address)
		if err == nil {
			n.enqueue(func() { n.view.ProbeSucceeded(id, timeunit.MillisecondsOf(roundTrip)) })
			return true
		}
	}
	return false
}

// pingFailed reports to the view that a member does not answer this server. It must run on the worker. The member
// becomes suspected, unless this server is the only one that cannot reach it.
func (n *Node) pingFailed(id membership.ID) {
	n.view.RecordProbeFailure(id)
	member := n.view.Member(id)
	if member != nil && member.Cause != membership.CauseUnreachableFromHere {
		n.view.RecordSuspicion(id)
	}
}

// diagnoseAddress attempts to connect to the address of a member that does not answer, and reports to the view whether
// a process listens there.
func (n *Node) diagnoseAddress(id membership.ID, address string) {
	result := membership.DialAccepted
	connection, err := net.DialTimeout("tcp", address, dialTimeout)
	switch {
	case err == nil:
		_ = connection.Close() // nothing was sent on it
	case isRefused(err):
		result = membership.DialRefused
	default:
		result = membership.DialTimedOut
	}
	n.enqueue(func() { n.view.DialFinished(id, result) })
}

// isRefused reports whether the host refused or reset the connection, which shows that no process listens.
func isRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}

// joinLoop tries to join other members at the seed addresses until it finds one, and again whenever none is left.
func (n *Node) joinLoop() {
	defer n.goroutines.Done()
	interval := minJoinInterval
	for {
		if n.memberCount() >= 2 || len(n.config.SeedAddresses) == 0 {
			interval = minJoinInterval
		} else if _, err := n.memberlist.Join(n.config.SeedAddresses); err != nil {
			interval = min(2*interval, maxJoinInterval)
		}
		select {
		case <-n.done:
			return
		case <-time.After(interval):
		}
	}
}
