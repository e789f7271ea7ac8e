package clustertest_test

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"thistlequay/internal/clustertest"
	"thistlequay/internal/command"
	"thistlequay/internal/emulator"
	"thistlequay/internal/quota/service"
	"thistlequay/internal/servertest"
)

// Faults of leaders, voters and lease holders and a change of the total, under a load that wants more than there is:
// the index never has more calls in flight than the total, by its own count.
func TestQuotaIsNeverExceededThroughFaults(t *testing.T) {
	t.Parallel()
	const calls = 20
	cluster := startQuotaCluster(t, 5, 8, calls, calls/5, 6, 60*time.Millisecond, "")
	all := slices.Clone(cluster.Servers)
	lock := sync.Mutex{}
	list := slices.Clone(all)
	serving := func(of []*clustertest.Server) {
		lock.Lock()
		list = of
		lock.Unlock()
	}
	cluster.waitForQuota("grants", all, hasLease)
	end := cluster.startLoad(600, func() []*clustertest.Server {
		lock.Lock()
		defer lock.Unlock()
		return list
	})
	cluster.Eventually(func() bool { return cluster.Index.PeakInFlight() > calls/2 }, servertest.EventTimeout,
		100*time.Millisecond,
		"the load asks for too little")
	over := 0
	peaks := 0
	within := func(what string, whole int) {
		peak := cluster.Index.PeakInFlight()
		cluster.Record("", "%s: %d in hand at most", what, peak)
		peaks = max(peaks, peak)
		if peak > whole {
			over++
			t.Logf("%s: %d calls in hand, %d are the whole", what, peak, whole)
		}
	}

	// The leader is killed: another one takes over, and lease holders go on meanwhile.
	leader := cluster.waitForLeader(all)
	serving(serversExcept(all, leader))
	cluster.NoError(leader.Kill())
	cluster.waitForQuota("after the leader's death", serversExcept(all, leader), hasLease)
	cluster.waitForLeader(serversExcept(all, leader))
	within("leader killed", calls)
	cluster.NoError(leader.Start())
	cluster.NoError(emulator.WaitUntilServing(leader.RouterAddress))
	serving(all)
	cluster.waitForQuota("it is back", all, hasLease)
	within("leader back", calls)

	// The leader is paused for five seconds, then a lease holder with calls in flight, across the expiry of its
	// lease.
	leader = cluster.waitForLeader(all)
	serving(serversExcept(all, leader))
	cluster.NoError(leader.Signal(syscall.SIGSTOP))
	time.Sleep(5 * time.Second) // the fault itself
	cluster.NoError(leader.Signal(syscall.SIGCONT))
	serving(all)
	cluster.waitForQuota("after a leader's stop", all, hasLease)
	within("leader stopped", calls)
	holder := all[4]
	for range 3 {
		cluster.NoError(holder.Signal(syscall.SIGSTOP))
		time.Sleep(3 * time.Second)
		cluster.NoError(holder.Signal(syscall.SIGCONT))
		within("holder stopped", calls)
	}

	// Partitioned into two and three: the two keep to their guaranteed minimum, the three take over expired leases.
	five := func(status service.Status) bool {
		return status.Voter != 0 && len(status.Voters) == 5 && !slices.Contains(status.Voters, "?")
	}
	cluster.waitForQuota("five keepers", all, five)
	two := []*clustertest.Server{all[0], all[1]}
	cluster.Partition(func(server *clustertest.Server) int { return boolInt(server.Index > 1) })
	cluster.waitForQuota("the two", two, onGuaranteedMinimum)
	cluster.waitForQuota("the three", all[2:], hasLease)
	within("split", calls)
	cluster.Heal()
	cluster.waitForQuota("they meet", all, hasLease)
	within("healed", calls)

	// The total is lowered by half while in use, at one server after the other.
	half := calls / 2
	cluster.ServiceYAML = func(*clustertest.Server) string {
		return fmt.Sprintf("shares:\n  calls: %d\n  slots: 8\n  revision: 2\n", half)
	}
	for _, server := range all {
		cluster.NoError(server.ReloadWithKeys(clustertest.DefaultKey))
	}
	cluster.waitForQuota("a lowered whole", []*clustertest.Server{cluster.waitForLeader(all)},
		func(status service.Status) bool { return status.Limits[0].Total == float64(half) })
	within("lowered", calls)
	time.Sleep(500 * time.Millisecond) // calls begun before the change end
	cluster.Index.PeakInFlight()
	time.Sleep(2 * time.Second)
	within("at half", half)
	cluster.ServiceYAML = func(*clustertest.Server) string {
		return fmt.Sprintf("shares:\n  calls: %d\n  slots: 8\n  revision: 3\n", calls)
	}
	for _, server := range all {
		cluster.NoError(server.ReloadWithKeys(clustertest.DefaultKey))
	}
	cluster.waitForLeader(all)

	// All are killed and started again at once: no lease is granted before all earlier ones have expired.
	serving(nil)
	for _, server := range all {
		cluster.NoError(server.Signal(syscall.SIGKILL))
	}
	for _, server := range all {
		<-server.Exited()
		cluster.NoError(server.Start())
	}
	cluster.waitUntilServing(all)
	serving(all)
	again := cluster.waitForQuota("after all died", all, hasLease)
	within("all restarted", calls)
	stats := end()
	t.Logf("measured shares-faults servers=5 whole=%d over=%d peak=%d asked=%d in_time=%d late=%d "+
		"granted_again_ms=%d", calls, over, peaks, stats.Requests, stats.OnTime, stats.PastDeadline,
		again.Milliseconds())
	cluster.Zero(over)
	cluster.Greater(stats.OnTime, stats.Requests/10)

	var out bytes.Buffer
	cluster.Zero(command.Run([]string{"shares", cluster.waitForLeader(all).StatusAddress}, &out, &out), out.String())
	cluster.Contains(out.String(), "leads the keepers")
	cluster.Contains(out.String(), "calls: whole 20")
	log := filepath.Join(t.TempDir(), "log")
	cluster.NoError(os.WriteFile(log, []byte(all[2].Log.String()), 0o600))
	out.Reset()
	cluster.Zero(command.Run([]string{"shares", "--chart", log}, &out, &out), out.String())
	cluster.Contains(out.String(), "calls in hand that could be used")
}

// Named coordinators with a disk: one whose file is truncated, one whose directory is gone and one that is killed come
// back, each as what it can prove to be, and the log goes on with what was committed.
func TestCoordinatorsRecoverFromDisk(t *testing.T) {
	t.Parallel()
	cluster := startQuotaCluster(t, 4, 4, 12, 3, 9, 30*time.Millisecond,
		"  keepers: [n00, n01, n02]\n  directory: keeper-{name}\n  fresh: true\n")
	all := slices.Clone(cluster.Servers)
	cluster.waitForQuota("grants", all, hasLease)
	directory := func(server *clustertest.Server) string {
		return filepath.Join(cluster.WorkDirectory, "keeper-"+server.Name)
	}
	files := func(server *clustertest.Server) (names []string) {
		names, err := filepath.Glob(filepath.Join(directory(server), "*"))
		cluster.NoError(err)
		return names
	}
	voter := func(server *clustertest.Server) uint64 {
		status, err := server.QuotaStatus()
		cluster.NoError(err)
		return status.Voter
	}
	cluster.ServiceYAML = func(server *clustertest.Server) string {
		return fmt.Sprintf("shares:\n  calls: 12\n  slots: 4\n  keepers: [n00, n01, n02]\n  directory: keeper-%s\n",
			server.Name)
	}
	killed := all[0]
	torn := all[1]
	gone := all[2]
	for _, one := range []struct {
		s     *clustertest.Server
		spoil func(server *clustertest.Server)
		same  bool
	}{
		{killed, func(*clustertest.Server) {}, true},
		{torn, func(server *clustertest.Server) { // a tail that is torn off in the middle of a page
			text, err := os.ReadFile(files(server)[0])
			cluster.NoError(err)
			cluster.NoError(os.WriteFile(files(server)[0], text[:len(text)*2/5+100], 0o600))
		}, false},
		{gone, func(server *clustertest.Server) { cluster.NoError(os.RemoveAll(directory(server))) }, false},
	} {
		cluster.waitForView("the fleet has its voters", all, agreedOn(4))
		before := voter(one.s)
		cluster.NoError(one.s.Kill())
		one.spoil(one.s)
		cluster.waitForQuota("the others go on", serversExcept(all, one.s), hasLease)
		cluster.NoError(one.s.Start())
		cluster.NoError(emulator.WaitUntilServing(one.s.RouterAddress))
		cluster.waitForQuota("it is a voter again", all[:3], func(status service.Status) bool {
			return len(status.Voters) == 3 && !slices.Contains(status.Voters, "?") && status.Opened
		})
		cluster.waitForQuota("grants again", all, hasLease)
		if one.same {
			cluster.Equal(before, voter(one.s))
		} else {
			cluster.NotEqual(before, voter(one.s), one.s.Name)
		}
	}
	for _, server := range all { // all at once: the persisted log goes on, and no other is begun
		cluster.NoError(server.Signal(syscall.SIGKILL))
	}
	for _, server := range all {
		<-server.Exited()
		cluster.NoError(server.Start())
	}
	cluster.waitForQuota("after all died", all, hasLease)
	for _, server := range all[:3] {
		cluster.Contains(server.Log.String(), "state=restored")
	}
}

// The cluster changes under a load that wants more than there is: half of it is replaced within seconds, it doubles
// and shrinks back, one server asks for everything, and more than half of the coordinators pause while all ask. The
// index never has more in flight than the total; without a quorum all keep to their guaranteed minimum, and after it
// all have leases.
func TestQuotaIsNeverExceededAsClusterChanges(t *testing.T) {
	t.Parallel()
	const calls = 24
	cluster := startQuotaCluster(t, 4, 12, calls, 6, 12, 50*time.Millisecond, "")
	var lock sync.Mutex
	list := slices.Clone(cluster.Servers)
	serving := func(of []*clustertest.Server) {
		lock.Lock()
		list = slices.Clone(of)
		lock.Unlock()
	}
	cluster.waitForQuota("grants", list, hasLease)
	end := cluster.startLoad(500, func() []*clustertest.Server {
		lock.Lock()
		defer lock.Unlock()
		return list
	})
	over := 0
	within := func(what string) {
		peak := cluster.Index.PeakInFlight()
		cluster.Record("", "%s: %d in hand at most", what, peak)
		if peak > calls {
			over++
			t.Logf("%s: %d calls in hand, %d are the whole", what, peak, calls)
		}
	}
	more := func(n int) (new []*clustertest.Server) {
		for range n {
			server, err := cluster.AddServer(len(cluster.Servers))
			cluster.NoError(err)
			server.Interpreter.CallProbability = 1
			cluster.NoError(server.Start())
			new = append(new, server)
		}
		cluster.waitUntilServing(new)
		return new
	}
	leave := func(of []*clustertest.Server) {
		for _, server := range of {
			cluster.NoError(server.Signal(syscall.SIGTERM))
		}
		for _, server := range of {
			<-server.Exited()
			cluster.Zero(server.ExitCode())
		}
	}
	all := slices.Clone(cluster.Servers)
	gone := all[2:]
	now := append(slices.Clone(all[:2]), more(2)...)
	serving(now)
	leave(gone)
	cluster.waitForQuota("half are replaced", now, hasLease)
	within("half replaced")
	now = append(now, more(4)...)
	cluster.waitForQuota("twice as many", now,
		func(status service.Status) bool { return status.Limits[0].ExpiresInMs > 0 })
	serving(now)
	cluster.waitForView("eight are agreed on", now, agreedOn(8))
	within("doubled")
	serving(now[:4])
	leave(now[4:])
	now = now[:4]
	cluster.waitForQuota("as many as before", now, hasLease)
	within("shrunk")
	serving(now[:1]) // it asks for everything
	cluster.waitForQuota("one takes what the others leave", now[:1],
		func(status service.Status) bool { return status.Limits[0].UsableHere > calls/3 })
	within("greedy")
	serving(now)
	cluster.waitForView("four are agreed on", now, agreedOn(4))
	var voters []*clustertest.Server
	for _, server := range now {
		if status, err := server.QuotaStatus(); err == nil && status.Voter != 0 && slices.Contains(status.Voters,
			server.Name) {
			voters = append(voters, server)
		}
	}
	still := voters[:len(voters)/2+1]
	for _, server := range still {
		cluster.NoError(server.Signal(syscall.SIGSTOP))
	}
	rest := serversExcept(now, still...)
	serving(rest)
	cluster.waitForQuota("no agreement", rest, onGuaranteedMinimum)
	time.Sleep(3 * time.Second) // the fault goes on
	cluster.waitForQuota("still none", rest, onGuaranteedMinimum)
	within("no agreement")
	for _, server := range still {
		cluster.NoError(server.Signal(syscall.SIGCONT))
	}
	serving(now)
	cluster.waitForQuota("agreement again", now, hasLease)
	within("agreement again")
	stats := end()
	t.Logf("measured shares-changes whole=%d over=%d asked=%d in_time=%d", calls, over, stats.Requests, stats.OnTime)
	cluster.Zero(over)
}
