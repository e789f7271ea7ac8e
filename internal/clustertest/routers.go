package clustertest

// This file owns a fleet's routers: work items sent to several servers in real time, tried again elsewhere where one declines,
// and what came of each try, second by second. It must never send a try twice, nor count one that the other side could not
// have read.

import (
	"cmp"
	"fmt"
	"math/rand"
	"sync"
	"time"

	"thistlequay/internal/emulator"
)

// Traffic is what routers send.
type Traffic struct {
	Routers  int
	Rate     float64 // work items a second, in all
	Length   time.Duration
	WorkMs   float64 // of a core, in the mean
	Contract time.Duration
	Expiry   time.Duration
	Harmless string // the categories
	Stamped  string
	Stamps   float64 // part of the work items that are stamped
	Tries    int     // servers that are tried
	Tenant   string  // whose they are; acme where empty
	Lists    func(at time.Duration) []*Server
	At       map[time.Duration]func(t *Routers) // what is done meanwhile
}

// Tally is what came of it. Lost, Late and Double must be 0.
type Tally struct {
	Asked, Served, InTime int
	Tries, Declined       int
	Failed                int       // tries with a final answer that is neither
	Lost                  int       // tries that were read and got no answer
	Late                  int       // answered after their expiry
	Double                int       // stamped runs beyond one on a server
	Unsent                int       // tries that no server took: refused, or closed under them by a process that was killed
	Seconds               []float64 // what came in each second: the part of it that was served in time
	Done                  []int     // served in time, by the second of the answer
	Worst                 float64   // the least share that was served in time of what came in one second
}

// Routers send traffic to a rig.
type Routers struct {
	Traffic
	rig    *Rig
	lock   sync.Mutex
	rand   *rand.Rand
	lines  []map[*Server]*line // by router
	begun  time.Time
	tally  Tally
	second []int
	good   []int
	left   sync.WaitGroup
	killed map[*Server]bool // by the test, so that what is open there is no one's fault
}

type line struct {
	*emulator.Link
	lock sync.Mutex
	next uint16
	open map[uint16]chan result
	dead bool
}

type result struct {
	emulator.Answer
	err error
}

// slack is what the rules allow on sockets.
const slack = 50 * time.Millisecond

// Play sends the traffic and gives what came of it.
func (r *Rig) Play(t Traffic) Tally {
	s := &Routers{Traffic: t, rig: r, rand: rand.New(rand.NewSource(r.Seed)), begun: time.Now(), killed: map[*Server]bool{}}
	for range t.Routers {
		s.lines = append(s.lines, map[*Server]*line{})
	}
	seconds := int(t.Length/time.Second) + 1
	s.second, s.good = make([]int, seconds), make([]int, seconds)
	s.tally.Done = make([]int, seconds+int(t.Contract/time.Second)+1)
	for at, do := range t.At {
		s.left.Add(1)
		time.AfterFunc(at, func() { defer s.left.Done(); do(s) })
	}
	for at, next := time.Duration(0), time.Duration(0); at < t.Length; at = next {
		time.Sleep(time.Until(s.begun.Add(at)))
		s.lock.Lock()
		next = at + time.Duration(s.rand.ExpFloat64()/t.Rate*float64(time.Second))
		n := s.tally.Asked
		s.tally.Asked++
		router, work, stamped := s.rand.Intn(t.Routers), t.WorkMs*(0.5+s.rand.Float64()), s.rand.Float64() < t.Stamps
		s.second[int(at/time.Second)]++
		s.lock.Unlock()
		s.left.Add(1)
		go func() { defer s.left.Done(); s.item(n, router, work, stamped, at) }()
	}
	s.left.Wait()
	for _, lines := range s.lines {
		for _, l := range lines {
			l.Close()
		}
	}
	s.tally.Worst = 1
	for i, n := range s.second {
		if n > 0 {
			part := float64(s.good[i]) / float64(n)
			s.tally.Seconds = append(s.tally.Seconds, part)
			s.tally.Worst = min(s.tally.Worst, part)
		}
	}
	for _, server := range r.Servers {
		server.VM.Look(func(v *emulator.Interpreter) {
			for _, runs := range v.Keys {
				s.tally.Double += runs - 1
			}
		})
	}
	return s.tally
}

// Kill kills a server: what is open there is lost by that, not by it.
func (s *Routers) Kill(server *Server) {
	s.lock.Lock()
	s.killed[server] = true
	s.lock.Unlock()
	_ = server.Kill()
}

// Reconnect drops the connections of a part of the routers, all at once. What was open on them is asked for no more.
func (s *Routers) Reconnect(part float64) {
	s.lock.Lock()
	defer s.lock.Unlock()
	for i := range int(part * float64(len(s.lines))) {
		for server, l := range s.lines[i] {
			l.lock.Lock()
			l.dead = true
			l.lock.Unlock()
			l.Close()
			delete(s.lines[i], server)
		}
	}
}

// item sends one work item, to other servers where one declines.
func (s *Routers) item(n, router int, work float64, stamped bool, at time.Duration) {
	begun := time.Now()
	for try := range s.Tries {
		list := s.Lists(time.Since(s.begun))
		left := s.Expiry - time.Since(begun)
		if len(list) == 0 || left <= 0 {
			return
		}
		s.lock.Lock()
		server := list[(n+try*7+s.rand.Intn(2))%len(list)]
		s.lock.Unlock()
		status := s.try(n, router, server, work, stamped, left)
		took := time.Since(begun)
		s.lock.Lock()
		switch {
		case status == 200:
			if s.tally.Served++; took <= s.Contract {
				s.tally.InTime++
				s.tally.Done[min(int(time.Since(s.begun)/time.Second), len(s.tally.Done)-1)]++
				s.good[int(at/time.Second)]++
			}
		case status == 503 || status == 429:
			s.tally.Declined++
		case status > 0:
			s.tally.Failed++
		}
		s.lock.Unlock()
		if status == 200 || status > 0 && status != 503 && status != 429 && !stamped {
			return
		}
	}
}

// try sends one try and waits for its answer: its status, 0 where it was never read.
func (s *Routers) try(n, router int, server *Server, work float64, stamped bool, left time.Duration) int {
	l := s.line(router, server)
	if l == nil {
		s.lock.Lock()
		s.tally.Unsent++
		s.lock.Unlock()
		return 0
	}
	s.lock.Lock()
	s.tally.Tries++
	id := fmt.Sprintf("%016x", uint64(s.rig.Seed)<<40|s.rig.tries.Add(1))
	s.lock.Unlock()
	category, body := s.Harmless, fmt.Sprintf("%.2f %s", work, id)
	with := emulator.Fields(id, cmp.Or(s.Tenant, "acme"), left)
	with["HTTP_SENT_BY"] = fmt.Sprint(router)
	if stamped {
		category, body = s.Stamped, fmt.Sprintf("%.2f stamped %d", work, n)
		with["HTTP_ONCE_KEY"] = fmt.Sprintf("%032x", n)
	}
	came := make(chan result, 1)
	l.lock.Lock()
	for l.next++; l.next == 0 || l.open[l.next] != nil; l.next++ {
	}
	slot := l.next
	l.open[slot] = came
	_, err := l.Write(emulator.Request(slot, "/rpc/"+category, body, with))
	sent := time.Now()
	l.lock.Unlock()
	var got result
	select {
	case got = <-came:
	case <-time.After(left + 2*time.Second):
		got.err = errSilent
	}
	took := time.Since(sent)
	server.VM.Over(id)
	s.lock.Lock()
	defer s.lock.Unlock()
	l.lock.Lock()
	defer l.lock.Unlock()
	switch {
	case got.err == nil && took > left+slack:
		s.tally.Late++
		return got.Status
	case got.err == nil:
		return got.Status
	case err != nil || l.dead || s.killed[server]:
		s.tally.Unsent++
	default:
		s.tally.Lost++
	}
	return 0
}

var errSilent = fmt.Errorf("no answer")

// line gives a router's connection to a server with room on it; nil where none can be had.
func (s *Routers) line(router int, server *Server) *line {
	s.lock.Lock()
	l := s.lines[router][server]
	s.lock.Unlock()
	if l != nil {
		l.lock.Lock()
		ok := !l.dead && len(l.open) < 24
		l.lock.Unlock()
		if ok {
			return l
		}
	}
	link, err := emulator.Dial(server.Listen)
	if err != nil {
		return nil
	}
	l = &line{Link: link, open: map[uint16]chan result{}}
	s.lock.Lock()
	s.lines[router][server] = l
	s.lock.Unlock()
	go l.answers()
	return l
}

func (l *line) answers() {
	for {
		a, err := l.Answer()
		l.lock.Lock()
		if err != nil {
			l.dead = l.dead || len(l.open) == 0
			for slot, came := range l.open {
				came <- result{err: err}
				delete(l.open, slot)
			}
			l.lock.Unlock()
			return
		}
		if came := l.open[a.Slot]; came != nil {
			came <- result{Answer: a}
			delete(l.open, a.Slot)
		}
		l.lock.Unlock()
	}
}
