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
	Routers            int
	RequestsPerSecond  float64 // work items a second, in all
	Length             time.Duration
	WorkMs             float64 // of a core, in the mean
	SoftDeadline       time.Duration
	Deadline           time.Duration
	IdempotentCategory string // the categories
	KeyedCategory      string
	KeyedShare         float64 // part of the work items that are stamped
	MaxAttempts        int     // servers that are tried
	Tenant             string  // whose they are; acme where empty
	EndpointsAt        func(at time.Duration) []*Server
	Actions            map[time.Duration]func(t *Routers) // what is done meanwhile
}

// Tally is what came of it. Lost, Late and Double must be 0.
type Tally struct {
	Requested, Served, OnTime int
	Attempts, Rejected        int
	Failed                    int       // tries with a final answer that is neither
	Unanswered                int       // tries that were read and got no answer
	PastDeadline              int       // answered after their expiry
	DuplicateRuns             int       // stamped runs beyond one on a server
	Unsent                    int       // tries that no server took: refused, or closed under them by a process that was killed
	OnTimeShareBySecond       []float64 // what came in each second: the part of it that was served in time
	OnTimeBySecond            []int     // served in time, by the second of the answer
	WorstSecond               float64   // the least share that was served in time of what came in one second
}

// Routers send traffic to a rig.
type Routers struct {
	Traffic
	cluster           *Cluster
	lock              sync.Mutex
	rand              *rand.Rand
	connections       []map[*Server]*routerConnection // by router
	begun             time.Time
	tally             Tally
	requestedBySecond []int
	servedBySecond    []int
	pending           sync.WaitGroup
	killed            map[*Server]bool // by the test, so that what is open there is no one's fault
}

type routerConnection struct {
	*emulator.Link
	lock sync.Mutex
	next uint16
	open map[uint16]chan attemptResult
	dead bool
}

type attemptResult struct {
	emulator.Response
	err error
}

// ruleSlack is what the rules allow on sockets.
const ruleSlack = 50 * time.Millisecond

// Play sends the traffic and gives what came of it.
func (r *Cluster) Play(t Traffic) Tally {
	s := &Routers{Traffic: t, cluster: r, rand: rand.New(rand.NewSource(r.Seed)), begun: time.Now(), killed: map[*Server]bool{}}
	for range t.Routers {
		s.connections = append(s.connections, map[*Server]*routerConnection{})
	}
	seconds := int(t.Length/time.Second) + 1
	s.requestedBySecond, s.servedBySecond = make([]int, seconds), make([]int, seconds)
	s.tally.OnTimeBySecond = make([]int, seconds+int(t.SoftDeadline/time.Second)+1)
	for at, do := range t.Actions {
		s.pending.Add(1)
		time.AfterFunc(at, func() { defer s.pending.Done(); do(s) })
	}
	for at, next := time.Duration(0), time.Duration(0); at < t.Length; at = next {
		time.Sleep(time.Until(s.begun.Add(at)))
		s.lock.Lock()
		next = at + time.Duration(s.rand.ExpFloat64()/t.RequestsPerSecond*float64(time.Second))
		n := s.tally.Requested
		s.tally.Requested++
		router, work, stamped := s.rand.Intn(t.Routers), t.WorkMs*(0.5+s.rand.Float64()), s.rand.Float64() < t.KeyedShare
		s.requestedBySecond[int(at/time.Second)]++
		s.lock.Unlock()
		s.pending.Add(1)
		go func() { defer s.pending.Done(); s.sendRequest(n, router, work, stamped, at) }()
	}
	s.pending.Wait()
	for _, lines := range s.connections {
		for _, l := range lines {
			l.Close()
		}
	}
	s.tally.WorstSecond = 1
	for i, n := range s.requestedBySecond {
		if n > 0 {
			part := float64(s.servedBySecond[i]) / float64(n)
			s.tally.OnTimeShareBySecond = append(s.tally.OnTimeShareBySecond, part)
			s.tally.WorstSecond = min(s.tally.WorstSecond, part)
		}
	}
	for _, server := range r.Servers {
		server.Interpreter.Inspect(func(v *emulator.Interpreter) {
			for _, runs := range v.RunsByBody {
				s.tally.DuplicateRuns += runs - 1
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
	for i := range int(part * float64(len(s.connections))) {
		for server, l := range s.connections[i] {
			l.lock.Lock()
			l.dead = true
			l.lock.Unlock()
			l.Close()
			delete(s.connections[i], server)
		}
	}
}

// sendRequest sends one work item, to other servers where one declines.
func (s *Routers) sendRequest(n, router int, work float64, stamped bool, at time.Duration) {
	begun := time.Now()
	for try := range s.MaxAttempts {
		list := s.EndpointsAt(time.Since(s.begun))
		left := s.Deadline - time.Since(begun)
		if len(list) == 0 || left <= 0 {
			return
		}
		s.lock.Lock()
		server := list[(n+try*7+s.rand.Intn(2))%len(list)]
		s.lock.Unlock()
		status := s.attempt(n, router, server, work, stamped, left)
		took := time.Since(begun)
		s.lock.Lock()
		switch {
		case status == 200:
			if s.tally.Served++; took <= s.SoftDeadline {
				s.tally.OnTime++
				s.tally.OnTimeBySecond[min(int(time.Since(s.begun)/time.Second), len(s.tally.OnTimeBySecond)-1)]++
				s.servedBySecond[int(at/time.Second)]++
			}
		case status == 503 || status == 429:
			s.tally.Rejected++
		case status > 0:
			s.tally.Failed++
		}
		s.lock.Unlock()
		if status == 200 || status > 0 && status != 503 && status != 429 && !stamped {
			return
		}
	}
}

// attempt sends one try and waits for its answer: its status, 0 where it was never read.
func (s *Routers) attempt(n, router int, server *Server, work float64, stamped bool, left time.Duration) int {
	l := s.connection(router, server)
	if l == nil {
		s.lock.Lock()
		s.tally.Unsent++
		s.lock.Unlock()
		return 0
	}
	s.lock.Lock()
	s.tally.Attempts++
	id := fmt.Sprintf("%016x", uint64(s.cluster.Seed)<<40|s.cluster.attempts.Add(1))
	s.lock.Unlock()
	category, body := s.IdempotentCategory, fmt.Sprintf("%.2f %s", work, id)
	with := emulator.RequestParameters(id, cmp.Or(s.Tenant, "acme"), left)
	with["HTTP_SENT_BY"] = fmt.Sprint(router)
	if stamped {
		category, body = s.KeyedCategory, fmt.Sprintf("%.2f stamped %d", work, n)
		with["HTTP_ONCE_KEY"] = fmt.Sprintf("%032x", n)
	}
	came := make(chan attemptResult, 1)
	l.lock.Lock()
	for l.next++; l.next == 0 || l.open[l.next] != nil; l.next++ {
	}
	slot := l.next
	l.open[slot] = came
	_, err := l.Write(emulator.FastCGIRequest(slot, "/rpc/"+category, body, with))
	sent := time.Now()
	l.lock.Unlock()
	var got attemptResult
	select {
	case got = <-came:
	case <-time.After(left + 2*time.Second):
		got.err = errNoAnswer
	}
	took := time.Since(sent)
	server.Interpreter.RequestEnded(id)
	s.lock.Lock()
	defer s.lock.Unlock()
	l.lock.Lock()
	defer l.lock.Unlock()
	switch {
	case got.err == nil && took > left+ruleSlack:
		s.tally.PastDeadline++
		return got.Status
	case got.err == nil:
		return got.Status
	case err != nil || l.dead || s.killed[server]:
		s.tally.Unsent++
	default:
		s.tally.Unanswered++
	}
	return 0
}

var errNoAnswer = fmt.Errorf("no answer")

// connection gives a router's connection to a server with room on it; nil where none can be had.
func (s *Routers) connection(router int, server *Server) *routerConnection {
	s.lock.Lock()
	l := s.connections[router][server]
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
	l = &routerConnection{Link: link, open: map[uint16]chan attemptResult{}}
	s.lock.Lock()
	s.connections[router][server] = l
	s.lock.Unlock()
	go l.readResponses()
	return l
}

func (l *routerConnection) readResponses() {
	for {
		a, err := l.ReadResponse()
		l.lock.Lock()
		if err != nil {
			l.dead = l.dead || len(l.open) == 0
			for slot, came := range l.open {
				came <- attemptResult{err: err}
				delete(l.open, slot)
			}
			l.lock.Unlock()
			return
		}
		if came := l.open[a.Slot]; came != nil {
			came <- attemptResult{Response: a}
			delete(l.open, a.Slot)
		}
		l.lock.Unlock()
	}
}
