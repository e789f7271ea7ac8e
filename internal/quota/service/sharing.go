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
	tickInterval    = 50 * time.Millisecond
	refreshInterval = 200 * time.Millisecond
	maxQueuedTasks  = 1024 // letters and requests that wait for the worker
	maxUnanswered   = 2    // requests without an answer, and another keeper is asked
	rejoinDelay     = 10 * time.Second
)

// The letters among servers.
const (
	kindRaft byte = gossip.FirstEnvelopeKind + iota
	kindRequest
	kindResponse
)

// Config are what a server takes part with.
type Config struct {
	ServerName   string   // of this server
	LimitNames   []string // of the limits
	Limits       []quota.LimitConfig
	ConfigDigest uint32
	Revision     uint64
	Coordinators []string
	BootstrapLog bool // an empty disk of a named keeper is as it should be
	ClusterName  string
	Storage      Storage // nil: nothing lasts
	Seed         int64
	OnResponse   func(quota.Response) // called by the worker
	Log          func(event string, keys ...any)
}

// Service is one server's part. Its methods may be called from anywhere.
type Service struct {
	config         Config
	gossip         *gossip.Node
	localID        membership.ID
	coordinator    *coordinator.Coordinator
	tasks          chan func()
	done           chan struct{}
	goroutines     sync.WaitGroup
	lastRefresh    time.Time
	membersByVoter map[uint64]membership.Member // by number, who is there
	addresses      map[membership.ID]string     // addresses
	clusterVoters  []membership.ID              // voters of the fleet
	requesters     map[uint64]membership.ID     // who waits for a reply
	lastRequestID  uint64
	leader         membership.ID // that is asked
	unanswered     int
	pending        *quota.Request // with no answer yet
	nextRejoin     time.Time      // when a memory that was lost is begun anew
	wasLeader      bool
	wasOpened      bool
	totals         []quota.Amount
}

// Handlers are the letters that are for it, for peers.Terms: they are given to the worker.
func (s *Service) Handlers() map[byte]func(membership.ID, []byte) {
	to := func(do func(membership.ID, []byte)) func(membership.ID, []byte) {
		return func(from membership.ID, text []byte) { s.enqueue(func() { do(from, text) }) }
	}
	return map[byte]func(membership.ID, []byte){kindRaft: to(s.handleRaftMessage), kindRequest: to(s.handleRequest), kindResponse: to(s.handleResponse)}
}

// New makes it; Start has it take part over a talk that was begun with its Mail.
func New(t Config) *Service {
	if t.Log == nil {
		t.Log = func(string, ...any) {}
	}
	s := &Service{config: t, tasks: make(chan func(), maxQueuedTasks), done: make(chan struct{}), membersByVoter: map[uint64]membership.Member{},
		addresses: map[membership.ID]string{}, requesters: map[uint64]membership.ID{}}
	for _, l := range t.Limits {
		s.totals = append(s.totals, l.Total)
	}
	return s
}

// Start begins.
func (s *Service) Start(p *gossip.Node) error {
	s.gossip, s.localID = p, p.LocalID()
	t := coordinator.Config{VoterID: func(log uint64) uint64 { return voterNumber(s.localID, log) }, Limits: s.config.Limits, ConfigDigest: s.config.ConfigDigest, Revision: s.config.Revision, NamedCoordinators: s.config.Coordinators}
	if len(t.NamedCoordinators) > 0 {
		t.LogID = xxh3.HashString(s.config.ClusterName) | 1
	}
	s.coordinator = coordinator.New(t, rand.New(rand.NewSource(s.config.Seed)), timeunit.Milliseconds(p.Now()))
	if err := s.restoreState(); err != nil {
		return err
	}
	s.goroutines.Add(1)
	go s.run()
	return nil
}

// restoreState begins with what is on the disk. A named keeper whose disk is empty or spoilt is another voter from now on, unless
// its settings say that the log has never been.
func (s *Service) restoreState() error {
	if s.config.Storage == nil || !slices.Contains(s.config.Coordinators, s.config.ServerName) {
		return nil
	}
	id, saved, err := s.config.Storage.Load()
	if err != nil {
		return err
	}
	if saved != nil {
		if err := s.coordinator.Resume(id, *saved); err == nil {
			s.config.Log("coordinator_started", "voter", id.VoterID, "state", "its memory")
			return nil
		}
		if err := s.config.Storage.SetAside(); err != nil {
			return err
		}
	}
	if s.config.BootstrapLog && saved == nil {
		var first []uint64
		for _, name := range s.config.Coordinators {
			first = append(first, voterNumber(membership.ID{Name: name}, 0))
		}
		s.config.Log("coordinator_started", "voter", voterNumber(membership.ID{Name: s.config.ServerName}, 0), "state", "a first log")
		return s.coordinator.Start(voterNumber(membership.ID{Name: s.config.ServerName}, 0), first)
	}
	voter := voterNumber(s.localID, uint64(time.Now().UnixNano()))
	s.config.Log("coordinator_started", "voter", voter, "state", "no memory, as another voter")
	return s.coordinator.Start(voter, nil)
}

// voterNumber is that of a voter: of one life in one log, where nothing lasts.
func voterNumber(id membership.ID, log uint64) uint64 {
	b := binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64([]byte(id.Name), id.Incarnation), log)
	return xxh3.Hash(b) | 1
}

func (s *Service) enqueue(what func()) {
	select {
	case s.tasks <- what:
	default: // all of it comes again
	}
}

// Close stops taking part. What was granted runs out by itself.
func (s *Service) Close() {
	close(s.done)
	s.goroutines.Wait()
	if s.config.Storage != nil {
		s.config.Storage.Close()
	}
}

func (s *Service) now() timeunit.Milliseconds { return timeunit.Milliseconds(s.gossip.Now()) }

// Now is the clock of grants, in milliseconds: one that never goes back.
func (s *Service) Now() timeunit.Milliseconds { return timeunit.Milliseconds(s.gossip.Now()) }

func (s *Service) run() {
	defer s.goroutines.Done()
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-s.done:
			return
		case what := <-s.tasks:
			what()
		case <-t.C:
			if time.Since(s.lastRefresh) >= refreshInterval {
				s.lastRefresh = time.Now()
				s.refreshView()
			}
		}
		s.coordinator.Tick(s.now())
		s.processReady()
	}
}

// refreshView takes what the view says.
func (s *Service) refreshView() {
	sight := coordinator.ClusterView{MajorityUntil: -1}
	var there []membership.Member
	stuck := s.coordinator.LeaderLost()
	if s.gossip.Inspect(func(v *membership.View, a *membership.Agreement) {
		f := a.Configuration()
		a.StartNewGenesis = stuck
		if a.QuorumStatus().Permits(membership.QuotaOperation) == membership.Unrestricted {
			sight.MajorityUntil = timeunit.Milliseconds(a.MajorityUntil())
		}
		sight.GenesisEpoch, sight.IsGenesis = f.GenesisEpoch, f.GenesisEpoch == f.Epoch
		s.clusterVoters = s.clusterVoters[:0]
		for _, one := range f.Voters {
			s.clusterVoters = append(s.clusterVoters, one.ID)
		}
		for _, m := range v.Members() {
			if m.State < membership.StateSuspected {
				there = append(there, *m)
			}
		}
	}) != nil {
		return
	}
	clear(s.membersByVoter)
	clear(s.addresses)
	for _, m := range there {
		voter, of := m.QuotaVoter, m.QuotaLog
		if len(s.config.Coordinators) == 0 {
			voter, of = voterNumber(m.ID, sight.GenesisEpoch), sight.GenesisEpoch
		}
		if m.ID == s.localID {
			voter, of = s.coordinator.Identity().VoterID, s.coordinator.Identity().LogID
		}
		if voter != 0 {
			s.membersByVoter[voter] = m
		}
		s.addresses[m.ID] = m.Address
		sight.Members = append(sight.Members, coordinator.Candidate{Name: m.Name, VoterID: voter, LogID: of})
	}
	for _, id := range s.clusterVoters {
		sight.Voters = append(sight.Voters, coordinator.Candidate{Name: id.Name, VoterID: voterNumber(id, sight.GenesisEpoch), LogID: sight.GenesisEpoch})
	}
	s.coordinator.UpdateView(sight, s.now())
	id := s.coordinator.Identity()
	s.gossip.SetCoordinatorIdentity(gossip.CoordinatorIdentity{VoterID: id.VoterID, LogID: id.LogID})
	if len(s.config.Coordinators) > 0 && s.config.Storage != nil && id.VoterID == 0 && slices.Contains(s.config.Coordinators, s.config.ServerName) && time.Now().After(s.nextRejoin) {
		s.nextRejoin = time.Now().Add(rejoinDelay) // its memory was lost: it is another voter
		if s.config.Storage.SetAside() == nil {
			_ = s.coordinator.Start(voterNumber(s.localID, uint64(time.Now().UnixNano())), nil)
		}
	}
}

// processReady saves and sends what has come of what was heard.
func (s *Service) processReady() {
	for {
		o, more := s.coordinator.Ready()
		if !more {
			break
		}
		if err := s.persist(&o); err != nil {
			s.config.Log("coordinator_state_lost", "reason", err.Error())
			s.coordinator.DiscardState()
			s.nextRejoin = time.Now().Add(rejoinDelay)
			continue
		}
		for _, l := range o.Messages {
			if m, is := s.membersByVoter[l.To]; is {
				id := s.coordinator.Identity()
				text, err := cbor.Marshal(raftMessage{LogID: id.LogID, From: id.VoterID, Payload: l.Data})
				if err == nil {
					s.gossip.Send(m.ID, m.Address, kindRaft, text)
				}
			}
		}
		for _, r := range o.Replies {
			s.sendReply(r)
		}
	}
	if leads, opened := s.coordinator.IsLeader(), s.coordinator.Limits().Opened(); leads != s.wasLeader || opened != s.wasOpened {
		s.wasLeader, s.wasOpened = leads, opened
		s.config.Log("coordinator_status", "is_leader", leads, "opened", opened, "voter", s.coordinator.Identity().VoterID, "log", s.coordinator.Identity().LogID, "entries", s.coordinator.AppliedCommands)
	}
}

func (s *Service) persist(o *coordinator.Ready) error {
	if s.config.Storage == nil {
		return nil
	}
	if o.IsNewState {
		return s.config.Storage.Begin(s.coordinator.Identity(), o.State)
	}
	if o.State.IsEmpty() {
		return nil
	}
	return s.config.Storage.Save(o.State)
}

type raftMessage struct {
	LogID   uint64 `cbor:"1,keyasint"`
	From    uint64 `cbor:"2,keyasint"`
	Payload []byte `cbor:"3,keyasint"`
}

func (s *Service) handleRaftMessage(from membership.ID, text []byte) {
	var l raftMessage
	if messageDecoder.Unmarshal(text, &l) != nil {
		return
	}
	if m, is := s.membersByVoter[l.From]; !is || m.ID != from { // it speaks for a voter that it is not, or is not known yet
		return
	}
	s.coordinator.Step(l.From, l.LogID, l.Payload)
}

// messageDecoder are read within these bounds.
var messageDecoder = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 1024, MaxMapPairs: 4096, MaxNestedLevels: 8, IndefLength: cbor.IndefLengthForbidden}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// leaseRequest and answer carry a request and what it is told.
type leaseRequest struct {
	RequestID uint64        `cbor:"1,keyasint"`
	Request   quota.Request `cbor:"2,keyasint"`
}

type leaseResponse struct {
	Response quota.Response `cbor:"2,keyasint"`
	Granted  bool           `cbor:"3,keyasint"`
	Leader   *membership.ID `cbor:"4,keyasint,omitempty"`
}

func (s *Service) handleRequest(from membership.ID, text []byte) {
	var q leaseRequest
	if messageDecoder.Unmarshal(text, &q) != nil || len(q.Request.Limits) == 0 {
		return
	}
	for _, r := range q.Request.Limits {
		if r.Server != HolderName(from) { // nobody asks for another
			return
		}
	}
	s.admitRequest(from, q.Request)
}

func (s *Service) admitRequest(from membership.ID, a quota.Request) {
	if len(s.requesters) >= maxRequesters {
		clear(s.requesters)
	}
	s.lastRequestID++
	s.requesters[s.lastRequestID] = from
	s.coordinator.HandleRequest(s.lastRequestID, a)
}

const maxRequesters = 8192

// HolderName is one life of a server, as grants name it.
func HolderName(id membership.ID) string {
	return fmt.Sprintf("%s.%016x", id.Name, id.Incarnation)
}

func (s *Service) sendReply(r coordinator.Reply) {
	to, is := s.requesters[r.RequestID]
	if !is {
		return
	}
	delete(s.requesters, r.RequestID)
	a := leaseResponse{Response: r.Response, Granted: r.Granted}
	if m, is := s.membersByVoter[r.Leader]; is && r.Leader != 0 {
		a.Leader = &m.ID
	}
	if to == s.localID {
		s.recordResponse(s.localID, a)
		return
	}
	if text, err := cbor.Marshal(a); err == nil && s.addresses[to] != "" {
		s.gossip.Send(to, s.addresses[to], kindResponse, text)
	}
}

func (s *Service) handleResponse(from membership.ID, text []byte) {
	var a leaseResponse
	if messageDecoder.Unmarshal(text, &a) == nil {
		s.recordResponse(from, a)
	}
}

// recordResponse: an answer, of whom it asked or of one it asked before. What an answer grants holds whoever brings it: it says when
// it was asked for.
func (s *Service) recordResponse(from membership.ID, a leaseResponse) {
	switch {
	case a.Granted:
		s.leader, s.unanswered, s.pending = from, 0, nil
		s.config.OnResponse(a.Response)
	case a.Leader != nil && *a.Leader == from: // it leads, and has nothing to grant yet
		s.leader, s.unanswered, s.pending = from, 0, nil
	case a.Leader != nil:
		s.leader = *a.Leader
	default:
		if s.pending != nil && from == s.leader {
			s.unanswered++
		}
	}
}

// Request sends the server's request to the keeper that leads, as far as it is known.
func (s *Service) Request(a quota.Request) {
	s.enqueue(func() {
		a.ConfigDigest, a.Revision, a.Totals = s.config.ConfigDigest, s.config.Revision, s.totals
		if s.pending != nil {
			s.unanswered++
		}
		s.pending = &a
		if s.coordinator.IsLeader() {
			s.leader, s.unanswered = s.localID, 0
		} else if s.addresses[s.leader] == "" || s.unanswered > maxUnanswered || s.leader == s.localID {
			s.selectNextCoordinator()
		}
		if s.leader == s.localID {
			s.admitRequest(s.localID, a)
		} else if text, err := cbor.Marshal(leaseRequest{Request: a}); err == nil && s.addresses[s.leader] != "" {
			s.gossip.Send(s.leader, s.addresses[s.leader], kindRequest, text)
		}
	})
}

// UpdateTotals takes up other wholes, by a later revision of the settings.
func (s *Service) UpdateTotals(revision uint64, wholes []quota.Amount) {
	s.enqueue(func() { s.config.Revision, s.totals = revision, wholes })
}

// selectNextCoordinator is the next keeper to be asked.
func (s *Service) selectNextCoordinator() {
	s.unanswered = 0
	if m, is := s.membersByVoter[s.coordinator.Leader()]; is && m.ID != s.leader && m.ID != s.localID {
		s.leader = m.ID
		return
	}
	var able []membership.ID
	if len(s.config.Coordinators) > 0 {
		for _, m := range s.membersByVoter {
			if slices.Contains(s.config.Coordinators, m.Name) {
				able = append(able, m.ID)
			}
		}
		slices.SortFunc(able, membership.ID.Compare)
	} else {
		able = s.clusterVoters[:min(len(s.clusterVoters), coordinator.MaxVoters)]
	}
	able = slices.DeleteFunc(slices.Clone(able), func(id membership.ID) bool { return id == s.localID })
	if len(able) > 0 {
		s.leader = able[(slices.Index(able, s.leader)+1)%len(able)]
	}
}

// Storage keeps what a keeper must find again.
type Storage interface {
	Load() (id coordinator.Identity, saved *consensus.PersistentState, err error) // nil: nothing is there
	Begin(id coordinator.Identity, s consensus.PersistentState) error             // another memory
	Save(s consensus.PersistentState) error                                       // durable when it returns
	SetAside() error                                                              // sets aside what cannot be gone on with
	Close() error
}
