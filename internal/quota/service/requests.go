package service

import (
	"slices"

	"github.com/fxamacker/cbor/v2"

	"thistlequay/internal/membership"
	"thistlequay/internal/quota"
	"thistlequay/internal/quota/coordinator"
)

const (
	// maxRequesters bounds the requests that the coordinator has not replied to. When there are more, the service
	// forgets whom the replies are for; the servers ask again.
	maxRequesters = 8192
	// maxUnanswered is how many requests in a row a coordinator may leave unanswered before another one is asked.
	maxUnanswered = 2
)

// Request sends a request of this server to the coordinator that leads, as far as is known. It does not wait:
// Config.OnResponse receives what is granted.
func (s *Service) Request(request quota.Request) {
	s.enqueue(func() {
		request.ConfigDigest = s.config.ConfigDigest
		request.Revision = s.config.Revision
		request.Totals = s.totals
		if s.pending != nil {
			s.unanswered++
		}
		s.pending = &request
		s.chooseLeader()
		if s.leader == s.localID {
			s.admitRequest(s.localID, request)
			return
		}
		payload, err := cbor.Marshal(leaseRequest{Request: request})
		if address := s.addresses[s.leader]; err == nil && address != "" {
			s.gossip.Send(s.leader, address, kindRequest, payload)
		}
	})
}

// chooseLeader decides which coordinator requests go to: this server, if it leads; otherwise the same as before, unless
// that one is no longer alive, does not answer, or is this server, which then has lost the leadership.
func (s *Service) chooseLeader() {
	if s.coordinator.IsLeader() {
		s.leader = s.localID
		s.unanswered = 0
		return
	}
	if s.addresses[s.leader] == "" || s.unanswered > maxUnanswered || s.leader == s.localID {
		s.selectNextCoordinator()
	}
}

// selectNextCoordinator has requests go to the leader that the log knows of, or else to the next coordinator in order.
func (s *Service) selectNextCoordinator() {
	s.unanswered = 0
	member, isKnown := s.membersByVoter[s.coordinator.Leader()]
	if isKnown && member.ID != s.leader && member.ID != s.localID {
		s.leader = member.ID
		return
	}
	others := slices.DeleteFunc(s.coordinators(), func(id membership.ID) bool { return id == s.localID })
	if len(others) > 0 {
		s.leader = others[(slices.Index(others, s.leader)+1)%len(others)]
	}
}

// coordinators returns the members that may lead, in an order that does not change.
func (s *Service) coordinators() []membership.ID {
	if len(s.config.Coordinators) == 0 {
		return slices.Clone(s.clusterVoters[:min(len(s.clusterVoters), coordinator.MaxVoters)])
	}
	var named []membership.ID
	for _, member := range s.membersByVoter {
		if slices.Contains(s.config.Coordinators, member.Name) {
			named = append(named, member.ID)
		}
	}
	slices.SortFunc(named, membership.ID.Compare)
	return named
}

// handleRequest takes another server's request. A request for anybody but its sender is dropped.
func (s *Service) handleRequest(from membership.ID, payload []byte) {
	var message leaseRequest
	if messageDecoder.Unmarshal(payload, &message) != nil || len(message.Request.Limits) == 0 {
		return
	}
	for _, limit := range message.Request.Limits {
		if limit.Server != HolderName(from) {
			return
		}
	}
	s.admitRequest(from, message.Request)
}

// admitRequest hands a request to the coordinator and keeps in mind whom the reply is for.
func (s *Service) admitRequest(from membership.ID, request quota.Request) {
	if len(s.requesters) >= maxRequesters {
		clear(s.requesters)
	}
	s.lastRequestID++
	s.requesters[s.lastRequestID] = from
	s.coordinator.EnqueueRequest(s.lastRequestID, request)
}

// sendReply sends the coordinator's reply to the server that asked, or takes it up if that is this server.
func (s *Service) sendReply(reply coordinator.Reply) {
	requester, isKnown := s.requesters[reply.RequestID]
	if !isKnown {
		return
	}
	delete(s.requesters, reply.RequestID)
	response := leaseResponse{Response: reply.Response, Granted: reply.Granted}
	if member, isAlive := s.membersByVoter[reply.Leader]; isAlive && reply.Leader != 0 {
		response.Leader = &member.ID
	}
	if requester == s.localID {
		s.recordResponse(s.localID, response)
		return
	}
	payload, err := cbor.Marshal(response)
	if address := s.addresses[requester]; err == nil && address != "" {
		s.gossip.Send(requester, address, kindResponse, payload)
	}
}

// handleResponse takes a coordinator's response to this server.
func (s *Service) handleResponse(from membership.ID, payload []byte) {
	var response leaseResponse
	if messageDecoder.Unmarshal(payload, &response) == nil {
		s.recordResponse(from, response)
	}
}

// recordResponse takes up a response, also a late one of a coordinator that was asked before: leases count whoever
// brings them, because a response says when it was requested.
func (s *Service) recordResponse(from membership.ID, response leaseResponse) {
	switch {
	case response.Granted:
		s.setAnswered(from)
		s.config.OnResponse(response.Response)
	case response.Leader != nil && *response.Leader == from: // it leads, and cannot grant anything yet
		s.setAnswered(from)
	case response.Leader != nil:
		s.leader = *response.Leader
	case s.pending != nil && from == s.leader:
		s.unanswered++
	}
}

// setAnswered notes that a coordinator leads and has answered the last request.
func (s *Service) setAnswered(leader membership.ID) {
	s.leader = leader
	s.unanswered = 0
	s.pending = nil
}
