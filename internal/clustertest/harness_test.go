package clustertest_test

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/clustertest"
	"thistlequay/internal/emulator"
	"thistlequay/internal/gossip"
	"thistlequay/internal/membership"
	"thistlequay/internal/servertest"
)

// testCluster is a cluster of processes with the checks that tests make on it.
type testCluster struct {
	*require.Assertions
	*clustertest.Cluster
	t *testing.T
}

// startGossipCluster starts a cluster whose servers gossip.
func startGossipCluster(t *testing.T, servers int, seed int64) *testCluster {
	t.Helper()
	cluster := newTestCluster(t, clustertest.Config{ServerCount: servers, Seed: seed, Gossip: true})
	for _, server := range cluster.Servers {
		cluster.NoError(server.Start())
	}
	return cluster
}

// newTestCluster makes a cluster whose servers are not started. At the end of the test it is closed, and no log may
// show a data race, a violated invariant or a panic.
func newTestCluster(t *testing.T, p clustertest.Config) *testCluster {
	t.Helper()
	r := require.New(t)
	var of map[string]any
	r.NoError(json.Unmarshal([]byte(servertest.PlatformSettings), &of))
	program, err := os.Executable()
	r.NoError(err)
	p.WorkDirectory = t.TempDir()
	p.Program = program
	p.Env = []string{servertest.RunAsProgramEnv + "=1"}
	p.Cores = 2
	if p.Settings == nil {
		p.Settings = of
	}
	cluster, err := clustertest.New(p)
	r.NoError(err)
	checked := &testCluster{r, cluster, t}
	t.Cleanup(func() {
		cluster.Close()
		for _, server := range cluster.Servers {
			if t.Failed() {
				t.Log(server.Name + ":\n" + server.Log.String())
			}
			r.NotContains(server.Log.String(), "DATA RACE")
			r.NotContains(server.Log.String(), "invariant_violated")
			r.NotContains(server.Log.String(), "panic:")
		}
	})
	return checked
}

// waitUntilServing waits until each of the servers answers and has its interpreter.
func (c *testCluster) waitUntilServing(of []*clustertest.Server) {
	c.t.Helper()
	for _, server := range of {
		c.NoError(emulator.WaitUntilServing(server.RouterAddress))
		c.Eventually(func() bool { return strings.Contains(server.Log.String(), "event=interpreter_up") },
			servertest.EventTimeout,
			5*time.Millisecond, server.Name)
	}
}

// waitForView waits until the cluster view of each of the servers is as the test wants, and gives how long each took,
// sorted.
func (c *testCluster) waitForView(what string, of []*clustertest.Server,
	is func(gossip.Status) bool) (took []time.Duration) {
	c.t.Helper()
	begun := time.Now()
	left := slices.Clone(of)
	for len(left) > 0 {
		for _, server := range slices.Clone(left) {
			if status, err := server.GossipStatus(); err == nil && is(status) {
				took = append(took, time.Since(begun))
				left = slices.DeleteFunc(left, func(o *clustertest.Server) bool { return o == server })
			}
		}
		if time.Since(begun) > 3*servertest.EventTimeout {
			status, err := left[0].GossipStatus()
			c.FailNow(what, "%s does not see it: %+v %v\n%v", left[0].Name, status, err, c.History())
		}
		time.Sleep(50 * time.Millisecond)
	}
	slices.Sort(took)
	c.Record("", "%s seen by %d", what, len(of))
	return took
}

// memberLine is the status row of the incarnation that holds a name: the one whose state is best.
func memberLine(status gossip.Status, name string) (of gossip.MemberStatus) {
	for _, l := range status.Members {
		if l.Name == name && (of.Name == "" ||
			slices.Index(membership.StateNames, l.State) < slices.Index(membership.StateNames, of.State)) {
			of = l
		}
	}
	return of
}

// memberIs tests for a member's state and, if any are given, for one of these causes.
func memberIs(name, state string, causes ...string) func(gossip.Status) bool {
	return func(status gossip.Status) bool {
		l := memberLine(status, name)
		return l.State == state && (len(causes) == 0 || slices.Contains(causes, l.Cause))
	}
}

// majorityOf tests for a majority in which n members serve.
func majorityOf(n int) func(gossip.Status) bool {
	return func(status gossip.Status) bool {
		there := 0
		for _, l := range status.Members {
			if l.State == "serving" {
				there++
			}
		}
		return status.QuorumStatus == "whole" && there == n
	}
}

// serversExcept is a copy of the servers without some of them.
func serversExcept(of []*clustertest.Server, gone ...*clustertest.Server) []*clustertest.Server {
	return slices.DeleteFunc(slices.Clone(of), func(server *clustertest.Server) bool {
		return slices.Contains(gone,
			server)
	})
}

// agreedOn tests for a majority of n whose cluster configuration has n members and voters that all serve.
func agreedOn(n int) func(gossip.Status) bool {
	return func(status gossip.Status) bool {
		ok := majorityOf(n)(status) && status.AgreedSize == n
		for _, name := range status.Voters {
			ok = ok && memberLine(status, name).State == "serving"
		}
		return ok
	}
}

// countRivalMajorities polls all servers until the test ends, and gives how often one claimed the majority while the
// claim of another, with a different configuration, had not expired.
func (c *testCluster) countRivalMajorities() (both func() int) {
	type claim struct {
		epoch uint64
		until time.Time
	}
	var lock sync.Mutex
	held := map[*clustertest.Server]claim{}
	n := 0
	ended := make(chan struct{})
	c.t.Cleanup(func() { close(ended) })
	go func() {
		for {
			for _, server := range c.CurrentServers() {
				select {
				case <-ended:
					return
				default:
				}
				asked := time.Now()
				status, err := server.GossipStatus()
				if err != nil || status.UntilMs < 0 {
					continue
				}
				lock.Lock()
				for other, rival := range held {
					if other != server && rival.epoch != status.Epoch && rival.until.After(time.Now()) {
						n++
					}
				}
				held[server] = claim{status.Epoch, asked.Add(time.Duration(status.UntilMs) * time.Millisecond)}
				lock.Unlock()
			}
			time.Sleep(20 * time.Millisecond)
		}
	}()
	return func() int {
		lock.Lock()
		defer lock.Unlock()
		return n
	}
}

// anonymousMemoryKB is the memory of a process that no file backs, in kilobytes.
func anonymousMemoryKB(cluster *testCluster, process int) (kb int) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process))
	cluster.NoError(err)
	_, after, found := strings.Cut(string(text), "RssAnon:")
	cluster.True(found)
	_, err = fmt.Sscan(after, &kb)
	cluster.NoError(err)
	return kb
}

// medianLatency is the median time to the response of a request that costs next to nothing.
func (c *testCluster) medianLatency(server *clustertest.Server, n int) time.Duration {
	c.t.Helper()
	link, err := emulator.Dial(server.RouterAddress)
	c.NoError(err)
	defer servertest.CloseQuietly(link)
	var took []time.Duration
	for i := range n {
		begun := time.Now()
		_, err := link.Write(emulator.FastCGIRequest(uint16(i+1), "/rpc/brief", fmt.Sprint("0.1 ", i),
			emulator.RequestParameters(fmt.Sprintf("%016x", 1<<60+i), "acme", 900*time.Millisecond)))
		c.NoError(err)
		a, err := link.ReadResponse()
		c.NoError(err)
		c.Equal(200, a.Status)
		took = append(took, time.Since(begun))
	}
	slices.Sort(took)
	return took[n/2]
}

// boolInt is 1 for true and 0 for false.
func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
