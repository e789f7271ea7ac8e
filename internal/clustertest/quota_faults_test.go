package clustertest_test

import (
	"bytes"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/clustertest"
	"thistlequay/internal/command"
	"thistlequay/internal/emulator"
	"thistlequay/internal/quota/service"
	"thistlequay/internal/servertest"
)

// quotaFaults is a cluster under a load that exceeds its quota, with checks of the calls in flight at the index.
type quotaFaults struct {
	*testCluster
	all   []*clustertest.Server
	load  *quotaLoad
	peaks callPeaks
	total int // of the quota that is in force, in calls
}

// TestQuotaIsNeverExceededThroughFaults makes the leader, voters and lease holders fail and lowers the total, under a
// load that exceeds the quota. The index must never count more calls in flight than the total.
func TestQuotaIsNeverExceededThroughFaults(t *testing.T) {
	t.Parallel()
	const totalCalls = 20
	cluster := startQuotaCluster(t, quotaClusterConfig{
		servers:    5,
		slots:      8,
		totalCalls: totalCalls,
		callShare:  totalCalls / 5,
		seed:       6,
		replyDelay: 60 * time.Millisecond,
	})
	all := slices.Clone(cluster.Servers)
	cluster.waitForQuota("leases granted", all, hasLease)
	f := &quotaFaults{
		testCluster: cluster,
		all:         all,
		load:        cluster.startLoad(600, all),
		peaks:       callPeaks{cluster: cluster},
		total:       totalCalls,
	}
	isLoaded := func() bool { return cluster.Index.PeakInFlight() > totalCalls/2 }
	cluster.Eventually(isLoaded, servertest.EventTimeout, 100*time.Millisecond, "the load is too small for the quota")

	f.killLeader()
	f.stopLeader()
	f.stopLeaseHolder()
	f.partition()
	f.lowerTotal()
	granted := f.restartAll()

	stats := f.load.stop()
	t.Logf("measured quota-faults servers=5 total=%d over=%d peak=%d requests=%d on_time=%d past_deadline=%d "+
		"late_without_pause=%d granted_again_ms=%d", totalCalls, f.peaks.exceeded, f.peaks.maxPeak, stats.Requests,
		stats.OnTime, stats.PastDeadline, stats.LateWithoutPause, granted.Milliseconds())
	cluster.Zero(f.peaks.exceeded)
	t.Run("late_only_while_stopped", func(t *testing.T) {
		require.Zero(t, stats.LateWithoutPause, "late though the process was not stopped: %v", cluster.History())
	})
	cluster.Greater(stats.OnTime, stats.Requests/10)
	cluster.requireSharesCommand(cluster.waitForLeader(all), all[2])
}

// check compares the peak of calls in flight with the total in force.
func (f *quotaFaults) check(step string) {
	f.t.Helper()
	f.peaks.check(step, f.total)
}

// killLeader kills the leader and restarts it. Meanwhile another server must take over as leader, and lease holders
// must continue.
func (f *quotaFaults) killLeader() {
	f.t.Helper()
	leader := f.waitForLeader(f.all)
	others := serversExcept(f.all, leader)
	f.load.setEndpoints(others)
	f.NoError(leader.Kill())
	f.waitForQuota("leases after the leader was killed", others, hasLease)
	f.waitForLeader(others)
	f.check("leader killed")
	f.NoError(leader.Start())
	f.NoError(emulator.WaitUntilServing(leader.RouterAddress))
	f.load.setEndpoints(f.all)
	f.waitForQuota("leases after the leader's restart", f.all, hasLease)
	f.check("leader restarted")
}

// stopLeader pauses the leader for five seconds.
func (f *quotaFaults) stopLeader() {
	f.t.Helper()
	leader := f.waitForLeader(f.all)
	f.load.setEndpoints(serversExcept(f.all, leader))
	f.NoError(leader.Signal(syscall.SIGSTOP))
	time.Sleep(5 * time.Second) // the fault itself
	f.NoError(leader.Signal(syscall.SIGCONT))
	f.load.setEndpoints(f.all)
	f.waitForQuota("leases after the leader's stop", f.all, hasLease)
	f.check("leader stopped")
}

// stopLeaseHolder pauses a lease holder with calls in flight across the expiry of its lease, three times.
func (f *quotaFaults) stopLeaseHolder() {
	f.t.Helper()
	holder := f.all[4]
	for range 3 {
		f.NoError(holder.Signal(syscall.SIGSTOP))
		time.Sleep(3 * time.Second) // the fault itself
		f.NoError(holder.Signal(syscall.SIGCONT))
		f.check("lease holder stopped")
	}
}

// partition separates two servers from the other three. The two must limit themselves to their guaranteed minimum, and
// the three must take over expired leases.
func (f *quotaFaults) partition() {
	f.t.Helper()
	// The other servers saw the stopped lease holder as failed. Until the cluster has agreed on all five servers again,
	// three of the other four are the voters, and the partition would leave two of them in the minority.
	f.waitForView("all five agreed on", f.all, agreedOn(5))
	f.waitForQuota("five coordinators", f.all, func(status service.Status) bool {
		return status.Voter != 0 && knowsVoters(status, 5)
	})
	f.Partition(isAmongFirstTwo)
	f.waitForQuota("minority on its guaranteed minimum", f.all[:2], isOnGuaranteedMinimum)
	f.waitForQuota("leases in the majority", f.all[2:], hasLease)
	f.check("partitioned")
	f.Heal()
	f.waitForQuota("leases after the partition", f.all, hasLease)
	f.check("healed")
}

// isAmongFirstTwo returns the group of a server in a partition of the first two servers from the others: 1 for the
// first two, 0 for the others.
func isAmongFirstTwo(server *clustertest.Server) int {
	if server.Index < 2 {
		return 1
	}
	return 0
}

// lowerTotal halves the total while it is in use, on one server after the other, and then restores it.
func (f *quotaFaults) lowerTotal() {
	f.t.Helper()
	full := f.total
	half := full / 2
	f.reloadQuota(half, "  revision: 2\n")
	leader := []*clustertest.Server{f.waitForLeader(f.all)}
	f.waitForQuota("lower total in force", leader, func(status service.Status) bool {
		return status.Limits[0].Total == float64(half)
	})
	f.check("total lowered")
	time.Sleep(500 * time.Millisecond) // calls that began before the change end meanwhile
	f.Index.PeakInFlight()
	time.Sleep(2 * time.Second) // makes calls under the lower total
	f.total = half
	f.check("at half of the total")
	f.total = full
	f.reloadQuota(full, "  revision: 3\n")
	f.waitForLeader(f.all)
}

// reloadQuota changes the quota settings of all servers, one after the other.
func (f *quotaFaults) reloadQuota(totalCalls int, moreYAML string) {
	f.t.Helper()
	f.ServiceYAML = func(*clustertest.Server) string { return quotaYAML(totalCalls, 8) + moreYAML }
	for _, server := range f.all {
		f.NoError(server.ReloadWithKeys(clustertest.DefaultKey))
	}
}

// restartAll kills all servers at once and restarts them. No lease may be granted before all earlier ones have expired.
// It returns the time from when all servers serve until all have leases.
func (f *quotaFaults) restartAll() time.Duration {
	f.t.Helper()
	f.load.setEndpoints(nil)
	f.killAllAndRestart(f.all)
	f.waitUntilServing(f.all)
	f.load.setEndpoints(f.all)
	granted := f.waitForQuota("leases after all were killed", f.all, hasLease)
	f.check("all restarted")
	return granted
}

// requireSharesCommand runs the command "shares" against the leader, and with --chart on the log of a server, and
// checks the output.
func (c *testCluster) requireSharesCommand(leader, loggedServer *clustertest.Server) {
	c.t.Helper()
	var output bytes.Buffer
	c.Zero(command.Run([]string{"shares", leader.StatusAddress}, &output, &output), output.String())
	c.Contains(output.String(), "leads the keepers")
	c.Contains(output.String(), "calls: whole 20")
	logPath := filepath.Join(c.t.TempDir(), "log")
	c.NoError(os.WriteFile(logPath, []byte(loggedServer.Log.String()), 0o600))
	output.Reset()
	c.Zero(command.Run([]string{"shares", "--chart", logPath}, &output, &output), output.String())
	c.Contains(output.String(), "calls in hand that could be used")
}
