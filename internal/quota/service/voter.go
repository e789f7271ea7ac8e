package service

import (
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"thistlequay/internal/membership"
	"thistlequay/internal/quota/coordinator"
)

// rejoinDelay is how long a coordinator whose storage failed waits before it joins the log as a new voter.
const rejoinDelay = 10 * time.Second

// HolderName returns the name under which leases are granted to one incarnation of a server.
func HolderName(id membership.ID) string {
	return fmt.Sprintf("%s.%016x", id.Name, id.Incarnation)
}

// voterNumber returns the number under which an incarnation of a server votes in a log. It is never 0, which stands for
// no voter.
func voterNumber(id membership.ID, log uint64) uint64 {
	identity := binary.BigEndian.AppendUint64([]byte(id.Name), id.Incarnation)
	return xxh3.Hash(binary.BigEndian.AppendUint64(identity, log)) | 1
}

// newVoterNumber returns a number that this server has never voted under.
func (s *Service) newVoterNumber() uint64 {
	return voterNumber(s.localID, uint64(time.Now().UnixNano()))
}

// isNamedCoordinator reports whether the settings name this server as a coordinator.
func (s *Service) isNamedCoordinator() bool {
	return slices.Contains(s.config.Coordinators, s.config.ServerName)
}

// restoreState starts the coordinator with the state in the storage. A named coordinator whose storage is empty or
// corrupt joins as a new voter, because its old number may have voted for what it no longer knows. Only if the settings
// say that the log has never existed, it begins the first log.
func (s *Service) restoreState() error {
	if s.config.Storage == nil || !s.isNamedCoordinator() {
		return nil
	}
	identity, saved, err := s.config.Storage.Load()
	if err != nil {
		return fmt.Errorf("load the coordinator's state: %w", err)
	}
	if saved != nil {
		if err := s.coordinator.Resume(identity, *saved); err == nil {
			s.config.Log("coordinator_started", "voter", identity.VoterID, "state", "restored")
			return nil
		}
		if err := s.config.Storage.SetAside(); err != nil {
			return fmt.Errorf("set the coordinator's state aside: %w", err)
		}
	}
	if s.config.BootstrapLog && saved == nil {
		return s.bootstrapLog()
	}
	voter := s.newVoterNumber()
	s.config.Log("coordinator_started", "voter", voter, "state", "new_voter")
	return s.coordinator.Start(voter, nil)
}

// bootstrapLog begins the first log of the named coordinators. All of them know each other's first numbers, which are
// made of the names alone.
func (s *Service) bootstrapLog() error {
	var voters []uint64
	for _, name := range s.config.Coordinators {
		voters = append(voters, voterNumber(membership.ID{Name: name}, 0))
	}
	voter := voterNumber(membership.ID{Name: s.config.ServerName}, 0)
	s.config.Log("coordinator_started", "voter", voter, "state", "first_log")
	return s.coordinator.Start(voter, voters)
}

// discardState gives up the coordinator's state after the storage refused it with cause.
func (s *Service) discardState(cause error) {
	s.config.Log("coordinator_state_lost", "reason", cause.Error())
	s.coordinator.DiscardState()
	s.nextRejoin = time.Now().Add(rejoinDelay)
}

// rejoinIfStateLost lets a named coordinator that gave up its state join the log as a new voter.
func (s *Service) rejoinIfStateLost() {
	isVoter := s.coordinator.Identity().VoterID != 0
	if isVoter || s.config.Storage == nil || !s.isNamedCoordinator() || !time.Now().After(s.nextRejoin) {
		return
	}
	s.nextRejoin = time.Now().Add(rejoinDelay)
	if s.config.Storage.SetAside() == nil {
		_ = s.coordinator.Start(s.newVoterNumber(), nil) // without success it is tried again after rejoinDelay
	}
}

// processReady makes the coordinator's new state durable and only then sends the messages and replies that rest on it.
func (s *Service) processReady() {
	for {
		ready, more := s.coordinator.Ready()
		if !more {
			break
		}
		if err := s.persist(&ready); err != nil {
			s.discardState(err)
			continue
		}
		for _, message := range ready.Messages {
			s.sendRaftMessage(message)
		}
		for _, reply := range ready.Replies {
			s.sendReply(reply)
		}
	}
	s.logLeadership()
}

// persist saves what is new in the coordinator's state. It returns after the state is durable.
func (s *Service) persist(ready *coordinator.Ready) error {
	if s.config.Storage == nil {
		return nil
	}
	if ready.IsNewState {
		return s.config.Storage.Begin(s.coordinator.Identity(), ready.State)
	}
	if ready.State.IsEmpty() {
		return nil
	}
	return s.config.Storage.Save(ready.State)
}

// logLeadership writes an event when the coordinator has become leader, is no longer, or may grant leases from now on.
func (s *Service) logLeadership() {
	isLeader := s.coordinator.IsLeader()
	isOpened := s.coordinator.Limits().Opened()
	if isLeader == s.wasLeader && isOpened == s.wasOpened {
		return
	}
	s.wasLeader = isLeader
	s.wasOpened = isOpened
	identity := s.coordinator.Identity()
	s.config.Log("coordinator_status", "is_leader", isLeader, "opened", isOpened, "voter", identity.VoterID,
		"log", identity.LogID, "entries", s.coordinator.AppliedCommands)
}
