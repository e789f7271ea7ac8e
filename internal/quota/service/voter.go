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

// rejoinDelay is how long a coordinator waits after a storage failure before it joins the log as a new voter.
const rejoinDelay = 10 * time.Second

// HolderName returns the name of the lease holder of one incarnation of a server.
func HolderName(id membership.ID) string {
	return fmt.Sprintf("%s.%016x", id.Name, id.Incarnation)
}

// voterIDFor returns the voter ID of one incarnation of a server in a log. It is never 0, which means no voter.
func voterIDFor(id membership.ID, logID uint64) uint64 {
	encoded := binary.BigEndian.AppendUint64([]byte(id.Name), id.Incarnation)
	return xxh3.Hash(binary.BigEndian.AppendUint64(encoded, logID)) | 1
}

// newVoterID returns a voter ID that this server has never used.
func (s *Service) newVoterID() uint64 {
	return voterIDFor(s.localID, uint64(time.Now().UnixNano()))
}

// isNamedCoordinator reports whether the settings name this server as a coordinator.
func (s *Service) isNamedCoordinator() bool {
	return slices.Contains(s.config.Coordinators, s.config.ServerName)
}

// restoreState starts the coordinator with the state in the storage. It does nothing without storage, or on a server
// that is not a named coordinator.
//
// If Storage.Load returns no state, because the storage was empty or unreadable, and BootstrapLog states that there has
// never been a log, it starts the first log. In all other cases without a usable state, the coordinator joins the log
// as a new voter, because under its old voter ID it may have cast votes that it no longer knows of. A state that was
// loaded but from which the coordinator cannot resume is such a case, even if BootstrapLog is set.
func (s *Service) restoreState() error {
	if s.config.Storage == nil || !s.isNamedCoordinator() {
		return nil
	}
	identity, saved, err := s.config.Storage.Load()
	if err != nil {
		return fmt.Errorf("load coordinator state: %w", err)
	}
	if saved != nil {
		if err := s.coordinator.Resume(identity, *saved); err == nil {
			s.config.Log("coordinator_started", "voter", identity.VoterID, "state", "restored")
			return nil
		}
		if err := s.config.Storage.SetAside(); err != nil {
			return fmt.Errorf("set coordinator state aside: %w", err)
		}
	}
	if s.config.BootstrapLog && saved == nil {
		return s.bootstrapLog()
	}
	voter := s.newVoterID()
	s.config.Log("coordinator_started", "voter", voter, "state", "new_voter")
	return s.coordinator.Start(voter, nil)
}

// bootstrapLog starts the first log of the named coordinators. Their first voter IDs are derived from their names
// alone, so that each of them knows the IDs of the others.
func (s *Service) bootstrapLog() error {
	var voters []uint64
	for _, name := range s.config.Coordinators {
		voters = append(voters, voterIDFor(membership.ID{Name: name}, 0))
	}
	voter := voterIDFor(membership.ID{Name: s.config.ServerName}, 0)
	s.config.Log("coordinator_started", "voter", voter, "state", "first_log")
	return s.coordinator.Start(voter, voters)
}

// discardState discards the coordinator's state after the storage failed to save it with the error cause.
func (s *Service) discardState(cause error) {
	s.config.Log("coordinator_state_lost", "reason", cause.Error())
	s.coordinator.DiscardState()
	s.nextRejoinAt = time.Now().Add(rejoinDelay)
}

// rejoinIfStateLost makes a named coordinator that discarded its state join the log as a new voter, once rejoinDelay
// has passed.
func (s *Service) rejoinIfStateLost() {
	isVoter := s.coordinator.Identity().VoterID != 0
	if isVoter || s.config.Storage == nil || !s.isNamedCoordinator() || !time.Now().After(s.nextRejoinAt) {
		return
	}
	s.nextRejoinAt = time.Now().Add(rejoinDelay)
	if s.config.Storage.SetAside() == nil {
		_ = s.coordinator.Start(s.newVoterID(), nil) // if this fails, it is tried again after rejoinDelay
	}
}

// processReady makes the coordinator's new state durable before it sends the messages and replies that depend on it.
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
	s.logLeadershipChange()
}

// persist saves the changes of the coordinator's state. They are durable when it returns.
func (s *Service) persist(ready *coordinator.Ready) error {
	if s.config.Storage == nil {
		return nil
	}
	if ready.IsNewState {
		return s.config.Storage.Reset(s.coordinator.Identity(), ready.State)
	}
	if ready.State.IsEmpty() {
		return nil
	}
	return s.config.Storage.Save(ready.State)
}

// logLeadershipChange logs an event if the coordinator has gained or lost the leadership, or if its limits have been
// opened or closed, since the last event.
func (s *Service) logLeadershipChange() {
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
