package clustertest_test

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/clustertest"
	"thistlequay/internal/emulator"
	"thistlequay/internal/quota/service"
	"thistlequay/internal/servertest"
)

// oldBuild gives the path of an earlier build, which the environment variable OLD names. The tests of mixed versions
// run only where there is one:
//
//	OLD=/path/to/earlier/thistlequay go test -run TestMixedVersions ./cmd/thistlequay
func oldBuild(t *testing.T) string {
	t.Helper()
	path := os.Getenv("OLD")
	if path == "" {
		t.Skip("OLD names no earlier build")
	}
	path, err := filepath.Abs(path)
	require.NoError(t, err)
	return path
}

// A cluster of four, two servers of an earlier build and two of this one, with gossip and quotas under load: each
// server
// is killed and started again, first with its own build and then with the other one. Every time the cluster agrees on
// one configuration and grants quotas again, and the index never has more calls in flight than the total allows.
func TestMixedVersionsAgreeOnConfigurationAndQuotas(t *testing.T) {
	old := oldBuild(t)
	const calls = 16
	g := startQuotaClusterOf(t, 4, 8, calls, calls/4, 11, 60*time.Millisecond, "", func(servers []*clustertest.Server) {
		servers[0].Program = old
		servers[2].Program = old
	})
	all := g.Servers
	g.waitForView("one configuration of both builds", all, agreedOn(4))
	g.waitForQuota("quotas granted", all, hasLease)
	end := g.startLoad(400, func() []*clustertest.Server { return all })
	defer end()
	peak := 0
	restart := func(s *clustertest.Server, what string) {
		g.NoError(s.Kill())
		g.NoError(s.Start())
		g.NoError(emulator.WaitUntilServing(s.RouterAddress))
		g.waitForView(what, all, agreedOn(4))
		g.waitForQuota(what, all, hasLease)
		peak = max(peak, g.Index.PeakInFlight())
	}
	for _, s := range all {
		restart(s, fmt.Sprintf("%s again, same build", s.Name))
	}
	for _, s := range all {
		if s.Program == "" {
			s.Program = old
		} else {
			s.Program = ""
		}
		restart(s, fmt.Sprintf("%s again, other build", s.Name))
	}
	leader := g.waitForLeader(all)
	g.NoError(leader.Kill())
	g.waitForQuota("after the leader's death", serversExcept(all, leader), hasLease)
	g.NoError(leader.Start())
	g.waitForQuota("the leader is back", all, hasLease)
	peak = max(peak, g.Index.PeakInFlight())
	epochs := map[uint64]bool{}
	for _, s := range all {
		view, err := s.GossipStatus()
		g.NoError(err)
		epochs[view.Epoch] = true
	}
	t.Logf("measured mixed-versions servers=4 restarts=9 epochs=%d total=%d peak=%d", len(epochs), calls, peak)
	g.Len(epochs, 1)
	g.LessOrEqual(peak, calls)
	g.Positive(peak)
}

// The log of the quota coordinators on disk, written by one build, is read by the other, either way.
func TestMixedVersionsShareTheCoordinatorsDisk(t *testing.T) {
	old := oldBuild(t)
	g := startQuotaClusterOf(t, 4, 4, 12, 3, 12, 30*time.Millisecond,
		"  keepers: [n00, n01, n02]\n  directory: keeper-{name}\n  fresh: true\n", func(servers []*clustertest.Server) {
			for _, s := range servers {
				s.Program = old
			}
		})
	all := g.Servers
	g.waitForQuota("quotas granted by the earlier build", all, hasLease)
	g.ServiceYAML = func(s *clustertest.Server) string {
		return fmt.Sprintf("shares:\n  calls: 12\n  slots: 4\n  keepers: [n00, n01, n02]\n  directory: keeper-%s\n",
			s.Name)
	}
	voters := func(of service.Status) (n int) { return len(of.Voters) }
	for round, program := range []string{"", old, ""} {
		for _, s := range all {
			g.NoError(s.Signal(syscall.SIGKILL))
			<-s.Exited()
		}
		for _, s := range all {
			s.Program = program
			g.NoError(s.Start())
		}
		g.waitUntilServing(all)
		g.waitForQuota(fmt.Sprint("quotas granted again, round ", round), all, hasLease)
		for _, s := range all[:3] {
			status, err := s.QuotaStatus()
			g.NoError(err)
			g.Equal(3, voters(status))
			g.Zero(status.DiscardedStates, "a voter came back without its memory")
		}
	}
	t.Log("measured mixed-versions coordinator-disk rounds=3 memories_lost=0")
}

// A store written by one build is read by the other, either way: a repeat gets the first answer and nothing runs twice.
func TestMixedVersionsShareAStore(t *testing.T) {
	old := oldBuild(t)
	r := servertest.New(t)
	r.Service = servertest.StoreSection(filepath.Join(t.TempDir(), "store"), "")
	config := r.Config
	programs := []string{old, "", old, ""}
	for life, program := range programs {
		r.Program = program
		interpreter := r.StartWithInterpreter(t, config)
		c := r.ConnectRouter()
		for earlier := range life {
			c.SendTimedBook(uint16(earlier+1), fmt.Sprint("key-", earlier))
			c.ExpectResponse(uint16(earlier+1), 200, fmt.Sprint("result of 1 entry key-", earlier))
		}
		c.SendTimedBook(uint16(life+1), fmt.Sprint("key-", life))
		c.ExpectResponse(uint16(life+1), 200, fmt.Sprint("result of 1 entry key-", life))
		interpreter.Inspect(func(v *emulator.Interpreter) {
			r.Len(v.RunsByBody, 1, "only the key of this life ran")
		})
		if life > 0 {
			r.Regexp(`event=warm_start .*(taken|used)=true`, r.LogText())
		}
		if life%2 == 0 {
			r.NoError(r.Process.Process.Signal(syscall.SIGTERM))
			r.WaitForExit()
		} else {
			r.NoError(r.Process.Process.Kill())
			<-r.Ended()
		}
		interpreter.Close()
	}
	t.Logf("measured mixed-versions store lives=%d keys=%d repeats=%d double_runs=0", len(programs), len(programs), 6)
}
