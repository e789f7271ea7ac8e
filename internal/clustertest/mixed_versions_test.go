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
	"thistlequay/internal/servertest"
)

// oldBuild returns the absolute path of an earlier build of the program, given by the environment variable OLD. It
// skips the test if OLD is not set. To run the tests with mixed versions:
//
//	OLD=/path/to/earlier/thistlequay go test -run TestMixedVersions ./internal/clustertest
func oldBuild(t *testing.T) string {
	t.Helper()
	path := os.Getenv("OLD")
	if path == "" {
		t.Skip("OLD does not give the path of an earlier build")
	}
	path, err := filepath.Abs(path)
	require.NoError(t, err)
	return path
}

// mixedCluster is a cluster under load in which some servers run an earlier build and the others run the current one.
type mixedCluster struct {
	*testCluster
	all        []*clustertest.Server
	oldProgram string // path of the earlier build
	peak       int    // largest number of calls in flight
	restarts   int
}

// restart kills a server, starts it again and waits until the cluster agrees on one configuration and all servers have
// leases.
func (m *mixedCluster) restart(server *clustertest.Server, step string) {
	m.t.Helper()
	m.NoError(server.Kill())
	m.NoError(server.Start())
	m.NoError(emulator.WaitUntilServing(server.RouterAddress))
	m.waitForView(step, m.all, agreedOn(4))
	m.waitForQuota(step, m.all, hasLease)
	m.updatePeak()
	m.restarts++
}

// updatePeak updates peak with the index's peak of calls in flight since updatePeak was last called.
func (m *mixedCluster) updatePeak() { m.peak = max(m.peak, m.Index.PeakInFlight()) }

// switchBuild switches a server to the other build, which takes effect at its next start.
func (m *mixedCluster) switchBuild(server *clustertest.Server) {
	if server.Program == "" {
		server.Program = m.oldProgram
	} else {
		server.Program = ""
	}
}

// TestMixedVersionsAgreeOnConfigurationAndQuotas runs a cluster of four, two servers with an earlier build and two with
// the current one, with gossip and quotas under load. Each server is killed and restarted, first with the same build,
// then with the other one. Finally the leader is killed and restarted. Each time, the cluster must grant leases again
// and agree on one configuration, and the index must never have more calls in flight than the total.
func TestMixedVersionsAgreeOnConfigurationAndQuotas(t *testing.T) {
	old := oldBuild(t)
	const totalCalls = 16
	cluster := startQuotaCluster(t, quotaClusterConfig{
		servers:    4,
		slots:      8,
		totalCalls: totalCalls,
		callShare:  totalCalls / 4,
		seed:       11,
		replyDelay: 60 * time.Millisecond,
		prepare: func(servers []*clustertest.Server) {
			servers[0].Program = old
			servers[2].Program = old
		},
	})
	all := cluster.Servers
	cluster.waitForView("one configuration of both builds", all, agreedOn(4))
	cluster.waitForQuota("leases granted", all, hasLease)
	cluster.startLoad(400, all)
	mixed := &mixedCluster{testCluster: cluster, all: all, oldProgram: old}
	for _, server := range all {
		mixed.restart(server, fmt.Sprintf("%s restarted, same build", server.Name))
	}
	for _, server := range all {
		mixed.switchBuild(server)
		mixed.restart(server, fmt.Sprintf("%s restarted, other build", server.Name))
	}
	leader := cluster.waitForLeader(all)
	cluster.NoError(leader.Kill())
	cluster.waitForQuota("leases after the leader was killed", serversExcept(all, leader), hasLease)
	cluster.NoError(leader.Start())
	cluster.waitForQuota("leases after the leader's restart", all, hasLease)
	mixed.restarts++
	mixed.updatePeak()

	epochs := map[uint64]bool{}
	for _, server := range all {
		epochs[cluster.gossipStatus(server).Epoch] = true
	}
	t.Logf("measured mixed-versions servers=4 restarts=%d epochs=%d total=%d peak=%d", mixed.restarts, len(epochs),
		totalCalls, mixed.peak)
	cluster.Len(epochs, 1)
	cluster.LessOrEqual(mixed.peak, totalCalls)
	cluster.Positive(mixed.peak)
}

// TestMixedVersionsShareTheCoordinatorsDisk repeatedly restarts all servers, each time with the other build. Each build
// must read the log that the quota coordinators of the other one wrote to disk.
func TestMixedVersionsShareTheCoordinatorsDisk(t *testing.T) {
	old := oldBuild(t)
	cluster := startQuotaCluster(t, quotaClusterConfig{
		servers:    4,
		slots:      4,
		totalCalls: 12,
		callShare:  3,
		seed:       12,
		replyDelay: 30 * time.Millisecond,
		quotaYAML:  newLogYAML,
		prepare: func(servers []*clustertest.Server) {
			for _, server := range servers {
				server.Program = old
			}
		},
	})
	all := cluster.Servers
	cluster.waitForQuota("leases granted by the earlier build", all, hasLease)
	cluster.ServiceYAML = func(server *clustertest.Server) string {
		return quotaYAML(12, 4) + namedCoordinatorsYAML(server)
	}
	for round, program := range []string{"", old, ""} {
		for _, server := range all {
			cluster.NoError(server.Signal(syscall.SIGKILL))
			<-server.Exited()
		}
		for _, server := range all {
			server.Program = program
		}
		cluster.start(all)
		cluster.waitUntilServing(all)
		cluster.waitForQuota(fmt.Sprint("leases granted again, round ", round), all, hasLease)
		for _, server := range all[:3] {
			status, err := server.QuotaStatus()
			cluster.NoError(err)
			cluster.Len(status.Voters, 3)
			cluster.Zero(status.DiscardedStates, "a voter restarted without its state")
		}
	}
	t.Log("measured mixed-versions coordinator-disk rounds=3 discarded_states=0")
}

// TestMixedVersionsShareAStore repeatedly restarts a server, each time with the other build. Each build must read the
// store that the other one wrote: a repeated request gets the first result, and no key runs twice.
func TestMixedVersionsShareAStore(t *testing.T) {
	old := oldBuild(t)
	server := servertest.New(t)
	server.Service = servertest.StoreSection(filepath.Join(t.TempDir(), "store"), "")
	config := server.Config
	programs := []string{old, "", old, ""}
	repeats := 0
	for round, program := range programs {
		server.Program = program
		interpreter := server.StartWithInterpreter(t, config)
		router := server.ConnectRouter()
		for n := range round + 1 { // the keys of all earlier rounds, then a new key
			key := fmt.Sprint("key-", n)
			router.SendTimedBook(uint16(n+1), key)
			router.ExpectResponse(uint16(n+1), 200, "result of 1 entry "+key)
		}
		repeats += round
		interpreter.Inspect(func(v *emulator.Interpreter) {
			server.Len(v.RunsByBody, 1, "only the new key of this round must run")
		})
		if round > 0 {
			server.Regexp(`event=warm_start .*(taken|used)=true`, server.LogText())
		}
		if round%2 == 0 {
			server.NoError(server.Process.Process.Signal(syscall.SIGTERM))
			server.WaitForExit()
		} else {
			server.NoError(server.Process.Process.Kill())
			<-server.Exited()
		}
		interpreter.Close()
	}
	t.Logf("measured mixed-versions store rounds=%d keys=%d repeats=%d duplicate_runs=0", len(programs), len(programs),
		repeats)
}
