package gossip

import (
	"math/rand/v2"
	"slices"
	"time"

	"thistlequay/internal/membership"
)

// Parameters of the attempts to reconnect to failed members. After a partition that outlasts gossipToDeadTime, each
// side has forgotten the other in memberlist, which then neither probes it nor sends it anything, so the sides would
// stay separate for ever. Serf's reconnector solves the same problem in the same way.
const (
	// minReconnectInterval is the mean time between two attempts of one server in a small cluster. In a large one it is
	// reconnectIntervalPerMember times the number of members, so that the rate of the whole cluster stays bounded. It
	// does not depend on the number of failed members.
	minReconnectInterval       = 2 * time.Second
	reconnectIntervalPerMember = 33 * time.Millisecond
	// reconnectTimeout is how long a failed member is tried.
	reconnectTimeout = 24 * time.Hour
	// maxFailedMembers limits the number of failed members that are remembered.
	maxFailedMembers = 1024
)

// failedMember is a member that failed without announcing that it leaves, so it may be behind a partition.
type failedMember struct {
	id       membership.ID
	address  string
	failedAt time.Time
}

// failedMembers are the members to reconnect to, in the order in which they failed. The zero value is empty.
type failedMembers struct {
	members []failedMember
}

// add remembers a failed member. If there are too many, the one that failed first is forgotten.
func (f *failedMembers) add(member failedMember) {
	f.remove(member.id, member.address)
	if len(f.members) >= maxFailedMembers {
		f.members = f.members[1:]
	}
	f.members = append(f.members, member)
}

// remove forgets the incarnation id and those at an address, because they have left or another one is alive there.
func (f *failedMembers) remove(id membership.ID, address string) {
	f.members = slices.DeleteFunc(f.members, func(member failedMember) bool {
		return member.id == id || member.address == address
	})
}

// addresses forgets the members that failed more than reconnectTimeout ago and returns the addresses of the others.
func (f *failedMembers) addresses(now time.Time) []string {
	f.members = slices.DeleteFunc(f.members, func(member failedMember) bool {
		return now.Sub(member.failedAt) > reconnectTimeout
	})
	addresses := make([]string, 0, len(f.members))
	for _, member := range f.members {
		addresses = append(addresses, member.address)
	}
	return addresses
}

// reconnectLoop tries one address after the other at which a member of the other side of a partition may be. A single
// success is enough: the two members exchange their whole states, and gossip connects the rest.
func (n *Node) reconnectLoop() {
	defer n.goroutines.Done()
	for {
		interval := max(minReconnectInterval, reconnectIntervalPerMember*time.Duration(n.memberCount()))
		select {
		case <-n.done:
			return
		case <-time.After(interval/2 + rand.N(interval)): // random, so that servers do not act in step
		}
		n.reconnectToOne()
	}
}

// reconnectToOne tries a random one of the addresses to reconnect to, if there are any.
func (n *Node) reconnectToOne() {
	var candidates []string
	err := n.Inspect(func(*membership.View, *membership.Agreement) { candidates = n.reconnectAddresses() })
	if err != nil || len(candidates) == 0 {
		return
	}
	address := candidates[rand.IntN(len(candidates))]
	n.ReconnectAttempts.Add(1)
	membersBefore := n.memberCount()
	_, err = n.memberlist.Join([]string{address})
	if err == nil && n.memberCount() > membersBefore && n.config.OnReconnect != nil {
		n.config.OnReconnect(address)
	}
}

// reconnectAddresses returns the addresses of the failed members and of the seeds that are not members, for example
// because they could not be reached when this server joined. It must run on the worker.
func (n *Node) reconnectAddresses() []string {
	alive := map[string]bool{n.config.ListenAddress: true, n.config.advertisedAddress(): true}
	for id := range n.joined {
		if member := n.view.Member(id); member != nil {
			alive[member.Address] = true
		}
	}
	candidates := n.failed.addresses(n.config.Now())
	for _, seed := range n.config.SeedAddresses {
		if !slices.Contains(candidates, seed) {
			candidates = append(candidates, seed)
		}
	}
	return slices.DeleteFunc(candidates, func(address string) bool { return alive[address] })
}
