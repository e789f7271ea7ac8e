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
	g := startQuotaCluster(t, 5, 8, calls, calls/5, 6, 60*time.Millisecond, "")
	all := slices.Clone(g.Servers)
	lock := sync.Mutex{}
	list := slices.Clone(all)
	serving := func(of []*clustertest.Server) {
		lock.Lock()
		list = of
		lock.Unlock()
	}
	g.waitForQuota("grants", all, hasLease)
	end := g.startLoad(600, func() []*clustertest.Server {
		lock.Lock()
		defer lock.Unlock()
		return list
	})
	g.Eventually(func() bool { return g.Index.PeakInFlight() > calls/2 }, servertest.EventTimeout, 100*time.Millisecond,
		"the load asks for too little")
	over := 0
	peaks := 0
	within := func(what string, whole int) {
		peak := g.Index.PeakInFlight()
		g.Record("", "%s: %d in hand at most", what, peak)
		peaks = max(peaks, peak)
		if peak > whole {
			over++
			t.Logf("%s: %d calls in hand, %d are the whole", what, peak, whole)
		}
	}

	// The leader is killed: another one takes over, and lease holders go on meanwhile.
	leader := g.waitForLeader(all)
	serving(serversExcept(all, leader))
	g.NoError(leader.Kill())
	g.waitForQuota("after the leader's death", serversExcept(all, leader), hasLease)
	g.waitForLeader(serversExcept(all, leader))
	within("leader killed", calls)
	g.NoError(leader.Start())
	g.NoError(emulator.WaitUntilServing(leader.RouterAddress))
	serving(all)
	g.waitForQuota("it is back", all, hasLease)
	within("leader back", calls)

	// The leader is paused for five seconds, then a lease holder with calls in flight, across the expiry of its
	// lease.
	leader = g.waitForLeader(all)
	serving(serversExcept(all, leader))
	g.NoError(leader.Signal(syscall.SIGSTOP))
	time.Sleep(5 * time.Second) // the fault itself
	g.NoError(leader.Signal(syscall.SIGCONT))
	serving(all)
	g.waitForQuota("after a leader's stop", all, hasLease)
	within("leader stopped", calls)
	holder := all[4]
	for range 3 {
		g.NoError(holder.Signal(syscall.SIGSTOP))
		time.Sleep(3 * time.Second)
		g.NoError(holder.Signal(syscall.SIGCONT))
		within("holder stopped", calls)
	}

	// Partitioned into two and three: the two keep to their guaranteed minimum, the three take over expired leases.
	five := func(r service.Status) bool {
		return r.Voter != 0 && len(r.Voters) == 5 && !slices.Contains(r.Voters, "?")
	}
	g.waitForQuota("five keepers", all, five)
	two := []*clustertest.Server{all[0], all[1]}
	g.Partition(func(s *clustertest.Server) int { return boolInt(s.Index > 1) })
	g.waitForQuota("the two", two, onGuaranteedMinimum)
	g.waitForQuota("the three", all[2:], hasLease)
	within("split", calls)
	g.Heal()
	g.waitForQuota("they meet", all, hasLease)
	within("healed", calls)

	// The total is lowered by half while in use, at one server after the other.
	half := calls / 2
	g.ServiceYAML = func(*clustertest.Server) string {
		return fmt.Sprintf("shares:\n  calls: %d\n  slots: 8\n  revision: 2\n", half)
	}
	for _, s := range all {
		g.NoError(s.ReloadWithKeys(clustertest.DefaultKey))
	}
	g.waitForQuota("a lowered whole", []*clustertest.Server{g.waitForLeader(all)},
		func(r service.Status) bool { return r.Limits[0].Total == float64(half) })
	within("lowered", calls)
	time.Sleep(500 * time.Millisecond) // calls begun before the change end
	g.Index.PeakInFlight()
	time.Sleep(2 * time.Second)
	within("at half", half)
	g.ServiceYAML = func(*clustertest.Server) string {
		return fmt.Sprintf("shares:\n  calls: %d\n  slots: 8\n  revision: 3\n", calls)
	}
	for _, s := range all {
		g.NoError(s.ReloadWithKeys(clustertest.DefaultKey))
	}
	g.waitForLeader(all)

	// All are killed and started again at once: no lease is granted before all earlier ones have expired.
	serving(nil)
	for _, s := range all {
		g.NoError(s.Signal(syscall.SIGKILL))
	}
	for _, s := range all {
		<-s.Exited()
		g.NoError(s.Start())
	}
	g.waitUntilServing(all)
	serving(all)
	again := g.waitForQuota("after all died", all, hasLease)
	within("all restarted", calls)
	o := end()
	t.Logf("measured shares-faults servers=5 whole=%d over=%d peak=%d asked=%d in_time=%d late=%d "+
		"granted_again_ms=%d", calls, over, peaks, o.Requests, o.OnTime, o.PastDeadline, again.Milliseconds())
	g.Zero(over)
	g.Greater(o.OnTime, o.Requests/10)

	var out bytes.Buffer
	g.Zero(command.Run([]string{"shares", g.waitForLeader(all).StatusAddress}, &out, &out), out.String())
	g.Contains(out.String(), "leads the keepers")
	g.Contains(out.String(), "calls: whole 20")
	log := filepath.Join(t.TempDir(), "log")
	g.NoError(os.WriteFile(log, []byte(all[2].Log.String()), 0o600))
	out.Reset()
	g.Zero(command.Run([]string{"shares", "--chart", log}, &out, &out), out.String())
	g.Contains(out.String(), "calls in hand that could be used")
}

// Named coordinators with a disk: one whose file is truncated, one whose directory is gone and one that is killed come
// back, each as what it can prove to be, and the log goes on with what was committed.
func TestCoordinatorsRecoverFromDisk(t *testing.T) {
	t.Parallel()
	g := startQuotaCluster(t, 4, 4, 12, 3, 9, 30*time.Millisecond,
		"  keepers: [n00, n01, n02]\n  directory: keeper-{name}\n  fresh: true\n")
	all := slices.Clone(g.Servers)
	g.waitForQuota("grants", all, hasLease)
	directory := func(s *clustertest.Server) string { return filepath.Join(g.WorkDirectory, "keeper-"+s.Name) }
	files := func(s *clustertest.Server) (names []string) {
		names, err := filepath.Glob(filepath.Join(directory(s), "*"))
		g.NoError(err)
		return names
	}
	voter := func(s *clustertest.Server) uint64 {
		r, err := s.QuotaStatus()
		g.NoError(err)
		return r.Voter
	}
	g.ServiceYAML = func(s *clustertest.Server) string {
		return fmt.Sprintf("shares:\n  calls: 12\n  slots: 4\n  keepers: [n00, n01, n02]\n  directory: keeper-%s\n",
			s.Name)
	}
	killed := all[0]
	torn := all[1]
	gone := all[2]
	for _, one := range []struct {
		s     *clustertest.Server
		spoil func(s *clustertest.Server)
		same  bool
	}{
		{killed, func(*clustertest.Server) {}, true},
		{torn, func(s *clustertest.Server) { // a tail that is torn off in the middle of a page
			text, err := os.ReadFile(files(s)[0])
			g.NoError(err)
			g.NoError(os.WriteFile(files(s)[0], text[:len(text)*2/5+100], 0o600))
		}, false},
		{gone, func(s *clustertest.Server) { g.NoError(os.RemoveAll(directory(s))) }, false},
	} {
		g.waitForView("the fleet has its voters", all, agreedOn(4))
		before := voter(one.s)
		g.NoError(one.s.Kill())
		one.spoil(one.s)
		g.waitForQuota("the others go on", serversExcept(all, one.s), hasLease)
		g.NoError(one.s.Start())
		g.NoError(emulator.WaitUntilServing(one.s.RouterAddress))
		g.waitForQuota("it is a voter again", all[:3], func(r service.Status) bool {
			return len(r.Voters) == 3 && !slices.Contains(r.Voters, "?") && r.Opened
		})
		g.waitForQuota("grants again", all, hasLease)
		if one.same {
			g.Equal(before, voter(one.s))
		} else {
			g.NotEqual(before, voter(one.s), one.s.Name)
		}
	}
	for _, s := range all { // all at once: the persisted log goes on, and no other is begun
		g.NoError(s.Signal(syscall.SIGKILL))
	}
	for _, s := range all {
		<-s.Exited()
		g.NoError(s.Start())
	}
	g.waitForQuota("after all died", all, hasLease)
	for _, s := range all[:3] {
		g.Contains(s.Log.String(), "state=restored")
	}
}

// The cluster changes under a load that wants more than there is: half of it is replaced within seconds, it doubles
// and shrinks back, one server asks for everything, and more than half of the coordinators pause while all ask. The
// index never has more in flight than the total; without a quorum all keep to their guaranteed minimum, and after it
// all have leases.
func TestQuotaIsNeverExceededAsClusterChanges(t *testing.T) {
	t.Parallel()
	const calls = 24
	g := startQuotaCluster(t, 4, 12, calls, 6, 12, 50*time.Millisecond, "")
	var lock sync.Mutex
	list := slices.Clone(g.Servers)
	serving := func(of []*clustertest.Server) {
		lock.Lock()
		list = slices.Clone(of)
		lock.Unlock()
	}
	g.waitForQuota("grants", list, hasLease)
	end := g.startLoad(500, func() []*clustertest.Server {
		lock.Lock()
		defer lock.Unlock()
		return list
	})
	over := 0
	within := func(what string) {
		peak := g.Index.PeakInFlight()
		g.Record("", "%s: %d in hand at most", what, peak)
		if peak > calls {
			over++
			t.Logf("%s: %d calls in hand, %d are the whole", what, peak, calls)
		}
	}
	more := func(n int) (new []*clustertest.Server) {
		for range n {
			s, err := g.AddServer(len(g.Servers))
			g.NoError(err)
			s.Interpreter.CallProbability = 1
			g.NoError(s.Start())
			new = append(new, s)
		}
		g.waitUntilServing(new)
		return new
	}
	leave := func(of []*clustertest.Server) {
		for _, s := range of {
			g.NoError(s.Signal(syscall.SIGTERM))
		}
		for _, s := range of {
			<-s.Exited()
			g.Zero(s.ExitCode())
		}
	}
	all := slices.Clone(g.Servers)
	gone := all[2:]
	now := append(slices.Clone(all[:2]), more(2)...)
	serving(now)
	leave(gone)
	g.waitForQuota("half are replaced", now, hasLease)
	within("half replaced")
	now = append(now, more(4)...)
	g.waitForQuota("twice as many", now, func(r service.Status) bool { return r.Limits[0].ExpiresInMs > 0 })
	serving(now)
	g.waitForView("eight are agreed on", now, agreedOn(8))
	within("doubled")
	serving(now[:4])
	leave(now[4:])
	now = now[:4]
	g.waitForQuota("as many as before", now, hasLease)
	within("shrunk")
	serving(now[:1]) // it asks for everything
	g.waitForQuota("one takes what the others leave", now[:1],
		func(r service.Status) bool { return r.Limits[0].UsableHere > calls/3 })
	within("greedy")
	serving(now)
	g.waitForView("four are agreed on", now, agreedOn(4))
	var voters []*clustertest.Server
	for _, s := range now {
		if r, err := s.QuotaStatus(); err == nil && r.Voter != 0 && slices.Contains(r.Voters, s.Name) {
			voters = append(voters, s)
		}
	}
	still := voters[:len(voters)/2+1]
	for _, s := range still {
		g.NoError(s.Signal(syscall.SIGSTOP))
	}
	rest := serversExcept(now, still...)
	serving(rest)
	g.waitForQuota("no agreement", rest, onGuaranteedMinimum)
	time.Sleep(3 * time.Second) // the fault goes on
	g.waitForQuota("still none", rest, onGuaranteedMinimum)
	within("no agreement")
	for _, s := range still {
		g.NoError(s.Signal(syscall.SIGCONT))
	}
	serving(now)
	g.waitForQuota("agreement again", now, hasLease)
	within("agreement again")
	o := end()
	t.Logf("measured shares-changes whole=%d over=%d asked=%d in_time=%d", calls, over, o.Requests, o.OnTime)
	g.Zero(over)
}
