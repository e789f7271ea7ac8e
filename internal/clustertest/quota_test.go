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

// coordinatorDisk is the directory that one coordinator stores its log in.
type coordinatorDisk struct {
	cluster *testCluster
	server  *clustertest.Server
}

// path returns the path of the directory.
func (d coordinatorDisk) path() string {
	return filepath.Join(d.cluster.WorkDirectory, "keeper-"+d.server.Name)
}

// truncateFirstFile truncates the first file in the middle of a page.
func (d coordinatorDisk) truncateFirstFile() {
	d.cluster.t.Helper()
	files, err := filepath.Glob(filepath.Join(d.path(), "*"))
	d.cluster.NoError(err)
	text, err := os.ReadFile(files[0])
	d.cluster.NoError(err)
	d.cluster.NoError(os.WriteFile(files[0], text[:len(text)*2/5+100], 0o600))
}

// remove deletes the directory.
func (d coordinatorDisk) remove() {
	d.cluster.t.Helper()
	d.cluster.NoError(os.RemoveAll(d.path()))
}

// voterID returns a server's voter ID among the coordinators, or 0 if it is not a voter.
func (c *testCluster) voterID(server *clustertest.Server) uint64 {
	c.t.Helper()
	status, err := server.QuotaStatus()
	c.NoError(err)
	return status.Voter
}

// TestCoordinatorsRecoverFromDisk kills and restarts three named coordinators, one after the other. While they are
// down, a file of the second is truncated and the directory of the third removed. Only the one with an intact log may
// restart as the same voter. Then all servers are killed at once and restarted, and the committed log must continue.
func TestCoordinatorsRecoverFromDisk(t *testing.T) {
	t.Parallel()
	cluster := startQuotaCluster(t, quotaClusterConfig{
		servers:    4,
		slots:      4,
		totalCalls: 12,
		callShare:  3,
		seed:       9,
		replyDelay: 30 * time.Millisecond,
		quotaYAML:  newLogYAML,
	})
	all := slices.Clone(cluster.Servers)
	coordinators := all[:3]
	cluster.waitForQuota("leases granted", all, hasLease)
	cluster.ServiceYAML = func(server *clustertest.Server) string {
		return quotaYAML(12, 4) + namedCoordinatorsYAML(server)
	}
	for _, test := range []struct {
		killed    *clustertest.Server
		damage    func(disk coordinatorDisk)
		sameVoter bool
	}{
		{killed: coordinators[0], damage: func(coordinatorDisk) {}, sameVoter: true},
		{killed: coordinators[1], damage: coordinatorDisk.truncateFirstFile, sameVoter: false},
		{killed: coordinators[2], damage: coordinatorDisk.remove, sameVoter: false},
	} {
		cluster.waitForView("four in the configuration", all, agreedOn(4))
		before := cluster.voterID(test.killed)
		cluster.NoError(test.killed.Kill())
		test.damage(coordinatorDisk{cluster, test.killed})
		cluster.waitForQuota("leases at the others", serversExcept(all, test.killed), hasLease)
		cluster.NoError(test.killed.Start())
		cluster.NoError(emulator.WaitUntilServing(test.killed.RouterAddress))
		cluster.waitForQuota("three voters", coordinators, func(status service.Status) bool {
			return knowsVoters(status, 3) && status.Opened
		})
		cluster.waitForQuota("leases granted again", all, hasLease)
		if test.sameVoter {
			cluster.Equal(before, cluster.voterID(test.killed))
		} else {
			cluster.NotEqual(before, cluster.voterID(test.killed), test.killed.Name)
		}
	}
	cluster.killAllAndRestart(all) // the coordinators must continue the stored log and not begin a new one
	cluster.waitForQuota("leases after all were killed", all, hasLease)
	for _, server := range coordinators {
		cluster.Contains(server.Log.String(), "state=restored")
	}
}

// quotaChanges is a cluster whose servers change under a load that exceeds its quota.
type quotaChanges struct {
	*testCluster
	load  *quotaLoad
	peaks callPeaks
	total int
}

// TestQuotaIsNeverExceededAsClusterChanges changes the cluster under a load that exceeds the quota: half of the servers
// are replaced within seconds, the cluster doubles and shrinks back, one server gets the whole load, and more than half
// of the coordinators pause under load. The index must never have more calls in flight than the total. Without a
// quorum, the running servers must limit themselves to their guaranteed minimum; with a quorum again, all must have
// leases.
func TestQuotaIsNeverExceededAsClusterChanges(t *testing.T) {
	t.Parallel()
	const totalCalls = 24
	cluster := startQuotaCluster(t, quotaClusterConfig{
		servers:    4,
		slots:      12,
		totalCalls: totalCalls,
		callShare:  6,
		seed:       12,
		replyDelay: 50 * time.Millisecond,
	})
	first := slices.Clone(cluster.Servers)
	cluster.waitForQuota("leases granted", first, hasLease)
	c := &quotaChanges{
		testCluster: cluster,
		load:        cluster.startLoad(500, first),
		peaks:       callPeaks{cluster: cluster},
		total:       totalCalls,
	}

	servers := c.replaceHalf(first)
	c.doubleAndShrink(servers)
	c.loadOneServer(servers)
	c.loseQuorum(servers)

	stats := c.load.stop()
	t.Logf("measured quota-changes total=%d over=%d requests=%d on_time=%d",
		totalCalls, c.peaks.exceeded, stats.Requests, stats.OnTime)
	cluster.Zero(c.peaks.exceeded)
}

// addServers adds the given number of servers to the cluster and waits until they serve.
func (c *quotaChanges) addServers(count int) []*clustertest.Server {
	c.t.Helper()
	var added []*clustertest.Server
	for range count {
		server, err := c.AddServer(len(c.Servers))
		c.NoError(err)
		server.Interpreter.CallProbability = 1
		c.NoError(server.Start())
		added = append(added, server)
	}
	c.waitUntilServing(added)
	return added
}

// drain shuts the servers down gracefully, all at once, and checks that they exit with code 0.
func (c *quotaChanges) drain(servers []*clustertest.Server) {
	c.t.Helper()
	c.signal(servers, syscall.SIGTERM)
	for _, server := range servers {
		<-server.Exited()
		c.Zero(server.ExitCode())
	}
}

// replaceHalf replaces the last two of four servers by new ones, and returns the four current servers.
func (c *quotaChanges) replaceHalf(first []*clustertest.Server) []*clustertest.Server {
	c.t.Helper()
	servers := slices.Concat(first[:2], c.addServers(2))
	c.load.setEndpoints(servers)
	c.drain(first[2:])
	c.waitForQuota("leases after half were replaced", servers, hasLease)
	c.peaks.check("half replaced", c.total)
	return servers
}

// doubleAndShrink doubles the cluster from four to eight servers, then drains the four that it added.
func (c *quotaChanges) doubleAndShrink(servers []*clustertest.Server) {
	c.t.Helper()
	added := c.addServers(4)
	doubled := slices.Concat(servers, added)
	c.waitForQuota("leases at twice as many", doubled, hasAnyLease)
	c.load.setEndpoints(doubled)
	c.waitForView("eight in the configuration", doubled, agreedOn(8))
	c.peaks.check("doubled", c.total)
	c.load.setEndpoints(servers)
	c.drain(added)
	c.waitForQuota("leases at as many as before", servers, hasLease)
	c.peaks.check("shrunk", c.total)
}

// loadOneServer sends the whole load to one server. It must be granted the calls that the others do not need.
func (c *quotaChanges) loadOneServer(servers []*clustertest.Server) {
	c.t.Helper()
	c.load.setEndpoints(servers[:1])
	c.waitForQuota("large lease at one server", servers[:1], func(status service.Status) bool {
		return status.Limits[0].UsableHere > float64(c.total/3)
	})
	c.peaks.check("one server loaded", c.total)
	c.load.setEndpoints(servers)
}

// loseQuorum pauses more than half of the coordinators and later lets them continue.
func (c *quotaChanges) loseQuorum(servers []*clustertest.Server) {
	c.t.Helper()
	c.waitForView("four in the configuration", servers, agreedOn(4))
	var voters []*clustertest.Server
	for _, server := range servers {
		status, err := server.QuotaStatus()
		if err == nil && status.Voter != 0 && slices.Contains(status.Voters, server.Name) {
			voters = append(voters, server)
		}
	}
	stopped := voters[:len(voters)/2+1]
	c.signal(stopped, syscall.SIGSTOP)
	running := serversExcept(servers, stopped...)
	c.load.setEndpoints(running)
	c.waitForQuota("no quorum", running, isOnGuaranteedMinimum)
	time.Sleep(3 * time.Second) // the fault continues
	c.waitForQuota("still no quorum", running, isOnGuaranteedMinimum)
	c.peaks.check("no quorum", c.total)
	c.signal(stopped, syscall.SIGCONT)
	c.load.setEndpoints(servers)
	c.waitForQuota("leases after the quorum is back", servers, hasLease)
	c.peaks.check("quorum again", c.total)
}
