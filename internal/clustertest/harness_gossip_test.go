package clustertest_test

import (
	"slices"
	"sync"
	"time"

	"thistlequay/internal/clustertest"
	"thistlequay/internal/gossip"
	"thistlequay/internal/membership"
)

// The quorum statuses in a gossip.Status.
const (
	isolated = "alone"
	minority = "part"
	majority = "whole"
)

// rivalPollInterval is the pause between two rounds of a rivalMajorityCounter.
const rivalPollInterval = 20 * time.Millisecond

// waitForView waits until the cluster view of each of the servers is as the test wants, and returns how long that took
// for each of them, in ascending order.
func (c *testCluster) waitForView(state string, servers []*clustertest.Server,
	accepts func(gossip.Status) bool) []time.Duration {
	c.t.Helper()
	return waitForStatus(c, state, servers, (*clustertest.Server).GossipStatus, accepts)
}

// gossipStatus returns the cluster view of a server.
func (c *testCluster) gossipStatus(server *clustertest.Server) gossip.Status {
	c.t.Helper()
	status, err := server.GossipStatus()
	c.NoError(err)
	return status
}

// memberStatus returns the status row of the incarnation that holds a name: the one whose state is first in
// membership.StateNames. It is empty where there is none.
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

// memberIs returns a test for a member's state and, if any are given, for one of these causes.
func memberIs(name, state string, causes ...string) func(gossip.Status) bool {
	return func(status gossip.Status) bool {
		member := memberStatus(status, name)
		return member.State == state && (len(causes) == 0 || slices.Contains(causes, member.Cause))
	}
}

// quorumStatusIs returns a test for a quorum status.
func quorumStatusIs(want string) func(gossip.Status) bool {
	return func(status gossip.Status) bool { return status.QuorumStatus == want }
}

// isIsolated tests for a server that knows no other member.
func isIsolated(status gossip.Status) bool {
	return status.QuorumStatus == isolated && len(status.Members) == 1
}

// majorityOf returns a test for a majority in which so many members serve.
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

// agreedOn returns a test for a majority whose cluster configuration has so many members, and voters that all serve.
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

// rivalMajorityCounter counts how often one server claimed the majority while the claim of another, with a different
// configuration, had not expired.
type rivalMajorityCounter struct {
	cluster *testCluster
	claims  map[*clustertest.Server]majorityClaim // the last one of each server; used by run only

	lock  sync.Mutex
	count int
}

// majorityClaim is what a server's status says of the majority that it belongs to.
type majorityClaim struct {
	epoch     uint64 // of its configuration
	expiresAt time.Time
}

// countRivalMajorities polls all servers until the test ends.
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

// run polls the servers one after the other until stop is closed.
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

// poll fetches the status of one server, and compares its claim with those of the others.
func (r *rivalMajorityCounter) poll(server *clustertest.Server) {
	askedAt := time.Now()
	status, err := server.GossipStatus()
	if err != nil || status.UntilMs < 0 { // no answer, or no claim
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
		expiresAt: askedAt.Add(time.Duration(status.UntilMs) * time.Millisecond),
	}
}

// Count returns the count so far.
func (r *rivalMajorityCounter) Count() int {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.count
}
