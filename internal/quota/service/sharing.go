// Package sharing has a server take part in the shares of its fleet: its keeper (package keepers) gets time, letters and a disk,
// its own requests find the keeper that leads, and what is granted goes to the loop.
//
// This file owns the worker beside the loop. It must never block the loop or the talk, send a letter before what it rests on
// was saved, or decide what is granted.
package service

import (
	"encoding/binary"
	"fmt"
	"math/rand"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/xxh3"

	"thistlequay/internal/consensus"
	"thistlequay/internal/gossip"
	"thistlequay/internal/membership"
	"thistlequay/internal/quota"
	"thistlequay/internal/quota/coordinator"
	"thistlequay/timeunit"
)

const (
	tick        = 50 * time.Millisecond
	lookEvery   = 200 * time.Millisecond
	mostWaiting = 1024 // letters and requests that wait for the worker
	mostMissed  = 2    // requests without an answer, and another keeper is asked
	againAfter  = 10 * time.Second
)

// The letters among servers.
const (
	raftMail byte = gossip.FirstMail + iota
	askMail
	answerMail
)

// Terms are what a server takes part with.
type Terms struct {
	Name     string   // of this server
	Names    []string // of the limits
	Limits   []quota.Terms
	Digest   uint32
	Revision uint64
	Named    []string
	Fresh    bool // an empty disk of a named keeper is as it should be
	Fleet    string
	Disk     Disk // nil: nothing lasts
	Seed     int64
	Answered func(quota.Answers) // called by the worker
	Log      func(event string, keys ...any)
}

// Sharing is one server's part. Its methods may be called from anywhere.
type Sharing struct {
	terms   Terms
	peers   *gossip.Peers
	me      membership.ID
	core    *coordinator.Core
	inbox   chan func()
	done    chan struct{}
	ended   sync.WaitGroup
	looked  time.Time
	seats   map[uint64]membership.Member // by number, who is there
	byID    map[membership.ID]string     // addresses
	fleet   []membership.ID              // voters of the fleet
	askers  map[uint64]membership.ID     // who waits for a reply
	nextAsk uint64
	leader  membership.ID // that is asked
	missed  int
	asked   *quota.Asking // with no answer yet
	again   time.Time     // when a memory that was lost is begun anew
	term    bool
	opened  bool
	wholes  []quota.Amount
}

// Mail are the letters that are for it, for peers.Terms: they are given to the worker.
func (s *Sharing) Mail() map[byte]func(membership.ID, []byte) {
	to := func(do func(membership.ID, []byte)) func(membership.ID, []byte) {
		return func(from membership.ID, text []byte) { s.do(func() { do(from, text) }) }
	}
	return map[byte]func(membership.ID, []byte){raftMail: to(s.raft), askMail: to(s.wasAsked), answerMail: to(s.answered)}
}

// New makes it; Start has it take part over a talk that was begun with its Mail.
func New(t Terms) *Sharing {
	if t.Log == nil {
		t.Log = func(string, ...any) {}
	}
	s := &Sharing{terms: t, inbox: make(chan func(), mostWaiting), done: make(chan struct{}), seats: map[uint64]membership.Member{},
		byID: map[membership.ID]string{}, askers: map[uint64]membership.ID{}}
	for _, l := range t.Limits {
		s.wholes = append(s.wholes, l.Whole)
	}
	return s
}

// Start begins.
func (s *Sharing) Start(p *gossip.Peers) error {
	s.peers, s.me = p, p.Me()
	t := coordinator.Terms{Number: func(log uint64) uint64 { return number(s.me, log) }, Limits: s.terms.Limits, Digest: s.terms.Digest, Revision: s.terms.Revision, Named: s.terms.Named}
	if len(t.Named) > 0 {
		t.Log = xxh3.HashString(s.terms.Fleet) | 1
	}
	s.core = coordinator.New(t, rand.New(rand.NewSource(s.terms.Seed)), timeunit.Milliseconds(p.Now()))
	if err := s.remember(); err != nil {
		return err
	}
	s.ended.Add(1)
	go s.work()
	return nil
}

// remember begins with what is on the disk. A named keeper whose disk is empty or spoilt is another voter from now on, unless
// its settings say that the log has never been.
func (s *Sharing) remember() error {
	if s.terms.Disk == nil || !slices.Contains(s.terms.Named, s.terms.Name) {
		return nil
	}
	id, saved, err := s.terms.Disk.Load()
	if err != nil {
		return err
	}
	if saved != nil {
		if err := s.core.Resume(id, *saved); err == nil {
			s.terms.Log("keeper", "voter", id.Voter, "with", "its memory")
			return nil
		}
		if err := s.terms.Disk.Spoilt(); err != nil {
			return err
		}
	}
	if s.terms.Fresh && saved == nil {
		var first []uint64
		for _, name := range s.terms.Named {
			first = append(first, number(membership.ID{Name: name}, 0))
		}
		s.terms.Log("keeper", "voter", number(membership.ID{Name: s.terms.Name}, 0), "with", "a first log")
		return s.core.Begin(number(membership.ID{Name: s.terms.Name}, 0), first)
	}
	voter := number(s.me, uint64(time.Now().UnixNano()))
	s.terms.Log("keeper", "voter", voter, "with", "no memory, as another voter")
	return s.core.Begin(voter, nil)
}

// number is that of a voter: of one life in one log, where nothing lasts.
func number(id membership.ID, log uint64) uint64 {
	b := binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64([]byte(id.Name), id.Life), log)
	return xxh3.Hash(b) | 1
}

func (s *Sharing) do(what func()) {
	select {
	case s.inbox <- what:
	default: // all of it comes again
	}
}

// End stops taking part. What was granted runs out by itself.
func (s *Sharing) End() {
	close(s.done)
	s.ended.Wait()
	if s.terms.Disk != nil {
		s.terms.Disk.Close()
	}
}

func (s *Sharing) now() timeunit.Milliseconds { return timeunit.Milliseconds(s.peers.Now()) }

// Now is the clock of grants, in milliseconds: one that never goes back.
func (s *Sharing) Now() timeunit.Milliseconds { return timeunit.Milliseconds(s.peers.Now()) }

func (s *Sharing) work() {
	defer s.ended.Done()
	t := time.NewTicker(tick)
	defer t.Stop()
	for {
		select {
		case <-s.done:
			return
		case what := <-s.inbox:
			what()
		case <-t.C:
			if time.Since(s.looked) >= lookEvery {
				s.looked = time.Now()
				s.look()
			}
		}
		s.core.At(s.now())
		s.carry()
	}
}

// look takes what the view says.
func (s *Sharing) look() {
	sight := coordinator.Sight{Until: -1}
	var there []membership.Member
	stuck := s.core.Stuck()
	if s.peers.Look(func(v *membership.View, a *membership.Accord) {
		f := a.Fleet()
		a.Renew = stuck
		if a.Standing().Allows(membership.ShareUse) == membership.Full {
			sight.Until = timeunit.Milliseconds(a.Until())
		}
		sight.Born, sight.First = f.Born, f.Born == f.Epoch
		s.fleet = s.fleet[:0]
		for _, one := range f.Voters {
			s.fleet = append(s.fleet, one.ID)
		}
		for _, m := range v.Members() {
			if m.State < membership.Suspected {
				there = append(there, *m)
			}
		}
	}) != nil {
		return
	}
	clear(s.seats)
	clear(s.byID)
	for _, m := range there {
		voter, of := m.Keeper, m.Group
		if len(s.terms.Named) == 0 {
			voter, of = number(m.ID, sight.Born), sight.Born
		}
		if m.ID == s.me {
			voter, of = s.core.Identity().Voter, s.core.Identity().Log
		}
		if voter != 0 {
			s.seats[voter] = m
		}
		s.byID[m.ID] = m.Address
		sight.Members = append(sight.Members, coordinator.Seat{Name: m.Name, Voter: voter, Log: of})
	}
	for _, id := range s.fleet {
		sight.Voters = append(sight.Voters, coordinator.Seat{Name: id.Name, Voter: number(id, sight.Born), Log: sight.Born})
	}
	s.core.See(sight, s.now())
	id := s.core.Identity()
	s.peers.Keep(gossip.Keeping{Keeper: id.Voter, Group: id.Log})
	if len(s.terms.Named) > 0 && s.terms.Disk != nil && id.Voter == 0 && slices.Contains(s.terms.Named, s.terms.Name) && time.Now().After(s.again) {
		s.again = time.Now().Add(againAfter) // its memory was lost: it is another voter
		if s.terms.Disk.Spoilt() == nil {
			_ = s.core.Begin(number(s.me, uint64(time.Now().UnixNano())), nil)
		}
	}
}

// carry saves and sends what has come of what was heard.
func (s *Sharing) carry() {
	for {
		o, more := s.core.Take()
		if !more {
			break
		}
		if err := s.save(&o); err != nil {
			s.terms.Log("keeper_lost", "reason", err.Error())
			s.core.Forget()
			s.again = time.Now().Add(againAfter)
			continue
		}
		for _, l := range o.Letters {
			if m, is := s.seats[l.To]; is {
				id := s.core.Identity()
				text, err := cbor.Marshal(raftLetter{Log: id.Log, From: id.Voter, Text: l.Text})
				if err == nil {
					s.peers.Post(m.ID, m.Address, raftMail, text)
				}
			}
		}
		for _, r := range o.Replies {
			s.reply(r)
		}
	}
	if leads, opened := s.core.Leads(), s.core.Book().Opened(); leads != s.term || opened != s.opened {
		s.term, s.opened = leads, opened
		s.terms.Log("keeping", "leads", leads, "opened", opened, "voter", s.core.Identity().Voter, "log", s.core.Identity().Log, "entries", s.core.Agreed)
	}
}

func (s *Sharing) save(o *coordinator.Output) error {
	if s.terms.Disk == nil {
		return nil
	}
	if o.Begin {
		return s.terms.Disk.Begin(s.core.Identity(), o.Save)
	}
	if o.Save.Empty() {
		return nil
	}
	return s.terms.Disk.Save(o.Save)
}

type raftLetter struct {
	Log  uint64 `cbor:"1,keyasint"`
	From uint64 `cbor:"2,keyasint"`
	Text []byte `cbor:"3,keyasint"`
}

func (s *Sharing) raft(from membership.ID, text []byte) {
	var l raftLetter
	if letters.Unmarshal(text, &l) != nil {
		return
	}
	if m, is := s.seats[l.From]; !is || m.ID != from { // it speaks for a voter that it is not, or is not known yet
		return
	}
	s.core.Letter(l.From, l.Log, l.Text)
}

// letters are read within these bounds.
var letters = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 1024, MaxMapPairs: 4096, MaxNestedLevels: 8, IndefLength: cbor.IndefLengthForbidden}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// question and answer carry a request and what it is told.
type question struct {
	Number uint64       `cbor:"1,keyasint"`
	Asking quota.Asking `cbor:"2,keyasint"`
}

type answer struct {
	Answers quota.Answers  `cbor:"2,keyasint"`
	Granted bool           `cbor:"3,keyasint"`
	Leader  *membership.ID `cbor:"4,keyasint,omitempty"`
}

func (s *Sharing) wasAsked(from membership.ID, text []byte) {
	var q question
	if letters.Unmarshal(text, &q) != nil || len(q.Asking.Of) == 0 {
		return
	}
	for _, r := range q.Asking.Of {
		if r.Server != HolderName(from) { // nobody asks for another
			return
		}
	}
	s.ask(from, q.Asking)
}

func (s *Sharing) ask(from membership.ID, a quota.Asking) {
	if len(s.askers) >= mostAskers {
		clear(s.askers)
	}
	s.nextAsk++
	s.askers[s.nextAsk] = from
	s.core.Ask(s.nextAsk, a)
}

const mostAskers = 8192

// HolderName is one life of a server, as grants name it.
func HolderName(id membership.ID) string {
	return fmt.Sprintf("%s.%016x", id.Name, id.Life)
}

func (s *Sharing) reply(r coordinator.Reply) {
	to, is := s.askers[r.To]
	if !is {
		return
	}
	delete(s.askers, r.To)
	a := answer{Answers: r.Answers, Granted: r.Granted}
	if m, is := s.seats[r.Leader]; is && r.Leader != 0 {
		a.Leader = &m.ID
	}
	if to == s.me {
		s.heard(s.me, a)
		return
	}
	if text, err := cbor.Marshal(a); err == nil && s.byID[to] != "" {
		s.peers.Post(to, s.byID[to], answerMail, text)
	}
}

func (s *Sharing) answered(from membership.ID, text []byte) {
	var a answer
	if letters.Unmarshal(text, &a) == nil {
		s.heard(from, a)
	}
}

// heard: an answer, of whom it asked or of one it asked before. What an answer grants holds whoever brings it: it says when
// it was asked for.
func (s *Sharing) heard(from membership.ID, a answer) {
	switch {
	case a.Granted:
		s.leader, s.missed, s.asked = from, 0, nil
		s.terms.Answered(a.Answers)
	case a.Leader != nil && *a.Leader == from: // it leads, and has nothing to grant yet
		s.leader, s.missed, s.asked = from, 0, nil
	case a.Leader != nil:
		s.leader = *a.Leader
	default:
		if s.asked != nil && from == s.leader {
			s.missed++
		}
	}
}

// Ask sends the server's request to the keeper that leads, as far as it is known.
func (s *Sharing) Ask(a quota.Asking) {
	s.do(func() {
		a.Terms, a.Revision, a.Wholes = s.terms.Digest, s.terms.Revision, s.wholes
		if s.asked != nil {
			s.missed++
		}
		s.asked = &a
		if s.core.Leads() {
			s.leader, s.missed = s.me, 0
		} else if s.byID[s.leader] == "" || s.missed > mostMissed || s.leader == s.me {
			s.another()
		}
		if s.leader == s.me {
			s.ask(s.me, a)
		} else if text, err := cbor.Marshal(question{Asking: a}); err == nil && s.byID[s.leader] != "" {
			s.peers.Post(s.leader, s.byID[s.leader], askMail, text)
		}
	})
}

// Reform takes up other wholes, by a later revision of the settings.
func (s *Sharing) Reform(revision uint64, wholes []quota.Amount) {
	s.do(func() { s.terms.Revision, s.wholes = revision, wholes })
}

// another is the next keeper to be asked.
func (s *Sharing) another() {
	s.missed = 0
	if m, is := s.seats[s.core.Leader()]; is && m.ID != s.leader && m.ID != s.me {
		s.leader = m.ID
		return
	}
	var able []membership.ID
	if len(s.terms.Named) > 0 {
		for _, m := range s.seats {
			if slices.Contains(s.terms.Named, m.Name) {
				able = append(able, m.ID)
			}
		}
		slices.SortFunc(able, membership.ID.Compare)
	} else {
		able = s.fleet[:min(len(s.fleet), coordinator.Most)]
	}
	able = slices.DeleteFunc(slices.Clone(able), func(id membership.ID) bool { return id == s.me })
	if len(able) > 0 {
		s.leader = able[(slices.Index(able, s.leader)+1)%len(able)]
	}
}

// Disk keeps what a keeper must find again.
type Disk interface {
	Load() (id coordinator.Identity, saved *consensus.Saved, err error) // nil: nothing is there
	Begin(id coordinator.Identity, s consensus.Saved) error             // another memory
	Save(s consensus.Saved) error                                       // durable when it returns
	Spoilt() error                                                      // sets aside what cannot be gone on with
	Close() error
}
