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
//	OLD=/path/to/earlier/thistlequay go test -run TestMixedVersions ./internal/clustertest
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
	cluster := startQuotaClusterOf(t, 4, 8, calls, calls/4, 11, 60*time.Millisecond, "",
		func(servers []*clustertest.Server) {
			servers[0].Program = old
			servers[2].Program = old
		})
	all := cluster.Servers
	cluster.waitForView("one configuration of both builds", all, agreedOn(4))
	cluster.waitForQuota("quotas granted", all, hasLease)
	end := cluster.startLoad(400, func() []*clustertest.Server { return all })
	defer end()
	peak := 0
	restart := func(server *clustertest.Server, what string) {
		cluster.NoError(server.Kill())
		cluster.NoError(server.Start())
		cluster.NoError(emulator.WaitUntilServing(server.RouterAddress))
		cluster.waitForView(what, all, agreedOn(4))
		cluster.waitForQuota(what, all, hasLease)
		peak = max(peak, cluster.Index.PeakInFlight())
	}
	for _, server := range all {
		restart(server, fmt.Sprintf("%s again, same build", server.Name))
	}
	for _, server := range all {
		if server.Program == "" {
			server.Program = old
		} else {
			server.Program = ""
		}
		restart(server, fmt.Sprintf("%s again, other build", server.Name))
	}
	leader := cluster.waitForLeader(all)
	cluster.NoError(leader.Kill())
	cluster.waitForQuota("after the leader's death", serversExcept(all, leader), hasLease)
	cluster.NoError(leader.Start())
	cluster.waitForQuota("the leader is back", all, hasLease)
	peak = max(peak, cluster.Index.PeakInFlight())
	epochs := map[uint64]bool{}
	for _, server := range all {
		view, err := server.GossipStatus()
		cluster.NoError(err)
		epochs[view.Epoch] = true
	}
	t.Logf("measured mixed-versions servers=4 restarts=9 epochs=%d total=%d peak=%d", len(epochs), calls, peak)
	cluster.Len(epochs, 1)
	cluster.LessOrEqual(peak, calls)
	cluster.Positive(peak)
}

// The log of the quota coordinators on disk, written by one build, is read by the other, either way.
func TestMixedVersionsShareTheCoordinatorsDisk(t *testing.T) {
	old := oldBuild(t)
	cluster := startQuotaClusterOf(t, 4, 4, 12, 3, 12, 30*time.Millisecond,
		"  keepers: [n00, n01, n02]\n  directory: keeper-{name}\n  fresh: true\n", func(servers []*clustertest.Server) {
			for _, server := range servers {
				server.Program = old
			}
		})
	all := cluster.Servers
	cluster.waitForQuota("quotas granted by the earlier build", all, hasLease)
	cluster.ServiceYAML = func(server *clustertest.Server) string {
		return fmt.Sprintf("shares:\n  calls: 12\n  slots: 4\n  keepers: [n00, n01, n02]\n  directory: keeper-%s\n",
			server.Name)
	}
	voters := func(of service.Status) (n int) { return len(of.Voters) }
	for round, program := range []string{"", old, ""} {
		for _, server := range all {
			cluster.NoError(server.Signal(syscall.SIGKILL))
			<-server.Exited()
		}
		for _, server := range all {
			server.Program = program
			cluster.NoError(server.Start())
		}
		cluster.waitUntilServing(all)
		cluster.waitForQuota(fmt.Sprint("quotas granted again, round ", round), all, hasLease)
		for _, server := range all[:3] {
			status, err := server.QuotaStatus()
			cluster.NoError(err)
			cluster.Equal(3, voters(status))
			cluster.Zero(status.DiscardedStates, "a voter came back without its memory")
		}
	}
	t.Log("measured mixed-versions coordinator-disk rounds=3 memories_lost=0")
}

// A store written by one build is read by the other, either way: a repeat gets the first answer and nothing runs twice.
func TestMixedVersionsShareAStore(t *testing.T) {
	old := oldBuild(t)
	server := servertest.New(t)
	server.Service = servertest.StoreSection(filepath.Join(t.TempDir(), "store"), "")
	config := server.Config
	programs := []string{old, "", old, ""}
	for life, program := range programs {
		server.Program = program
		interpreter := server.StartWithInterpreter(t, config)
		router := server.ConnectRouter()
		for earlier := range life {
			router.SendTimedBook(uint16(earlier+1), fmt.Sprint("key-", earlier))
			router.ExpectResponse(uint16(earlier+1), 200, fmt.Sprint("result of 1 entry key-", earlier))
		}
		router.SendTimedBook(uint16(life+1), fmt.Sprint("key-", life))
		router.ExpectResponse(uint16(life+1), 200, fmt.Sprint("result of 1 entry key-", life))
		interpreter.Inspect(func(v *emulator.Interpreter) {
			server.Len(v.RunsByBody, 1, "only the key of this life ran")
		})
		if life > 0 {
			server.Regexp(`event=warm_start .*(taken|used)=true`, server.LogText())
		}
		if life%2 == 0 {
			server.NoError(server.Process.Process.Signal(syscall.SIGTERM))
			server.WaitForExit()
		} else {
			server.NoError(server.Process.Process.Kill())
			<-server.Ended()
		}
		interpreter.Close()
	}
	t.Logf("measured mixed-versions store lives=%d keys=%d repeats=%d double_runs=0", len(programs), len(programs), 6)
}
