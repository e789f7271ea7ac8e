package clustertest_test

import (
	"slices"
	"sync"
	"time"

	"thistlequay/internal/clustertest"
	"thistlequay/internal/gossip"
	"thistlequay/internal/membership"
)

// The values of gossip.Status.QuorumStatus.
const (
	isolated = "alone"
	minority = "part"
	majority = "whole"
)

// rivalPollInterval is the pause between two rounds of a rivalMajorityCounter.
const rivalPollInterval = 20 * time.Millisecond

// waitForView waits until each of the servers has had a cluster view that accepts returns true for. It returns how long
// each server took, in ascending order. The state names the expected view in the history and in failures.
func (c *testCluster) waitForView(state string, servers []*clustertest.Server,
	accepts func(gossip.Status) bool) []time.Duration {
	c.t.Helper()
	return waitForStatus(c, state, servers, (*clustertest.Server).GossipStatus, accepts)
}

// gossipStatus fetches the cluster view of a server.
func (c *testCluster) gossipStatus(server *clustertest.Server) gossip.Status {
	c.t.Helper()
	status, err := server.GossipStatus()
	c.NoError(err)
	return status
}

// memberStatus returns the status of the incarnation that holds a name: the one whose state comes first in
// membership.StateNames. It returns the zero value if no incarnation has the name.
func memberStatus(status gossip.Status, name string) gossip.MemberStatus {
	var holder gossip.MemberStatus
	for _, member := range status.Members {
		if member.Name != name {
			continue
		}
		if holder.Name == "" || stateRank(member) < stateRank(holder) {
			holder = member
		}
	}
	return holder
}

// stateRank returns the position of a member's state in membership.StateNames.
func stateRank(member gossip.MemberStatus) int {
	return slices.Index(membership.StateNames, member.State)
}

// memberIs returns a predicate that accepts a view in which a member has the given state and, if causes are given, one
// of these.
func memberIs(name, state string, causes ...string) func(gossip.Status) bool {
	return func(status gossip.Status) bool {
		member := memberStatus(status, name)
		return member.State == state && (len(causes) == 0 || slices.Contains(causes, member.Cause))
	}
}

// quorumStatusIs returns a predicate that accepts a view with the given quorum status.
func quorumStatusIs(want string) func(gossip.Status) bool {
	return func(status gossip.Status) bool { return status.QuorumStatus == want }
}

// isIsolated reports whether a server is isolated and knows no member but itself.
func isIsolated(status gossip.Status) bool {
	return status.QuorumStatus == isolated && len(status.Members) == 1
}

// majorityOf returns a predicate that accepts the view of a server in the majority with exactly memberCount serving
// members.
func majorityOf(memberCount int) func(gossip.Status) bool {
	return func(status gossip.Status) bool {
		serving := 0
		for _, member := range status.Members {
			if member.State == "serving" {
				serving++
			}
		}
		return status.QuorumStatus == majority && serving == memberCount
	}
}

// agreedOn returns a predicate like majorityOf that also requires a cluster configuration with memberCount members,
// whose voters are all serving.
func agreedOn(memberCount int) func(gossip.Status) bool {
	return func(status gossip.Status) bool {
		if !majorityOf(memberCount)(status) || status.AgreedSize != memberCount {
			return false
		}
		for _, voter := range status.Voters {
			if memberStatus(status, voter).State != "serving" {
				return false
			}
		}
		return true
	}
}

// rivalMajorityCounter counts how often a server claims the majority while the claim of another server, with a
// different cluster configuration, has not expired.
type rivalMajorityCounter struct {
	cluster *testCluster
	claims  map[*clustertest.Server]majorityClaim // latest claim of each server; accessed only by run

	lock  sync.Mutex
	count int
}

// majorityClaim is a server's claim to be in the majority, from its status.
type majorityClaim struct {
	epoch     uint64 // of the cluster configuration
	expiresAt time.Time
}

// countRivalMajorities starts a rivalMajorityCounter that polls all servers until the test ends.
func (c *testCluster) countRivalMajorities() *rivalMajorityCounter {
	counter := &rivalMajorityCounter{cluster: c, claims: map[*clustertest.Server]majorityClaim{}}
	stop := make(chan struct{})
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		counter.run(stop)
	}()
	c.t.Cleanup(func() {
		close(stop)
		<-stopped
	})
	return counter
}

// run polls the current servers, one after the other, until stop is closed.
func (r *rivalMajorityCounter) run(stop <-chan struct{}) {
	for {
		for _, server := range r.cluster.CurrentServers() {
			select {
			case <-stop:
				return
			default:
				r.poll(server)
			}
		}
		time.Sleep(rivalPollInterval)
	}
}

// poll fetches the status of one server and compares its claim with the latest claims of the others.
func (r *rivalMajorityCounter) poll(server *clustertest.Server) {
	requestedAt := time.Now()
	status, err := server.GossipStatus()
	if err != nil || status.UntilMs < 0 { // no response, or no claim
		return
	}
	for other, rival := range r.claims {
		if other != server && rival.epoch != status.Epoch && rival.expiresAt.After(time.Now()) {
			r.lock.Lock()
			r.count++
			r.lock.Unlock()
		}
	}
	r.claims[server] = majorityClaim{
		epoch:     status.Epoch,
		expiresAt: requestedAt.Add(time.Duration(status.UntilMs) * time.Millisecond),
	}
}

// Count returns the number of conflicting claims so far.
func (r *rivalMajorityCounter) Count() int {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.count
}
