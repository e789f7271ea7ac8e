package service

import (
	"slices"

	"github.com/fxamacker/cbor/v2"

	"thistlequay/internal/membership"
	"thistlequay/internal/quota"
	"thistlequay/internal/quota/coordinator"
)

const (
	// maxRequesters is the maximum number of requests without a reply whose requesters the service remembers. If there
	// are more, the service forgets all of them, and the servers repeat their requests.
	maxRequesters = 8192
	// maxUnansweredRequests is the number of consecutive requests that a coordinator may leave unanswered before the
	// service switches to another one.
	maxUnansweredRequests = 2
)

// Request sends a request from this server to the coordinator that is believed to be the leader. It does not wait for
// the response; Config.OnResponse receives the leases that are granted.
func (s *Service) Request(request quota.Request) {
	s.enqueue(func() {
		request.ConfigDigest = s.config.ConfigDigest
		request.Revision = s.config.Revision
		request.Totals = s.totals
		if s.pendingRequest != nil {
			s.unansweredCount++
		}
		s.pendingRequest = &request
		s.chooseLeader()
		if s.leader == s.localID {
			s.enqueueRequest(s.localID, request)
			return
		}
		payload, err := cbor.Marshal(leaseRequest{Request: request})
		if address := s.addresses[s.leader]; err == nil && address != "" {
			s.gossip.Send(s.leader, address, kindLeaseRequest, payload)
		}
	})
}

// chooseLeader selects the coordinator that requests are sent to. If this server is the leader, it is this server.
// Otherwise the previous choice remains, unless that coordinator is no longer alive or does not answer, or is this
// server, which has then lost its leadership.
func (s *Service) chooseLeader() {
	if s.coordinator.IsLeader() {
		s.leader = s.localID
		s.unansweredCount = 0
		return
	}
	if s.addresses[s.leader] == "" || s.unansweredCount > maxUnansweredRequests || s.leader == s.localID {
		s.selectNextCoordinator()
	}
}

// selectNextCoordinator directs requests to the leader that this server's voter knows of. If that is unknown, is this
// server or was already the choice, it selects the next coordinator in order.
func (s *Service) selectNextCoordinator() {
	s.unansweredCount = 0
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

// coordinators returns the members that may become leader, in a stable order.
func (s *Service) coordinators() []membership.ID {
	if len(s.config.Coordinators) == 0 {
		return slices.Clone(s.clusterVoters[:min(len(s.clusterVoters), coordinator.MaxVoters)])
	}
	var namedMembers []membership.ID
	for _, member := range s.membersByVoter {
		if slices.Contains(s.config.Coordinators, member.Name) {
			namedMembers = append(namedMembers, member.ID)
		}
	}
	slices.SortFunc(namedMembers, membership.ID.Compare)
	return namedMembers
}

// handleRequest handles a request from another server. It drops a request for any lease holder other than its sender.
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
	s.enqueueRequest(from, message.Request)
}

// enqueueRequest passes a request to the coordinator and remembers which server to reply to.
func (s *Service) enqueueRequest(from membership.ID, request quota.Request) {
	if len(s.requesters) >= maxRequesters {
		clear(s.requesters)
	}
	s.lastRequestID++
	s.requesters[s.lastRequestID] = from
	s.coordinator.EnqueueRequest(s.lastRequestID, request)
}

// sendReply sends the coordinator's reply to the server that made the request. If that is this server, it applies the
// reply directly.
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
		s.applyResponse(s.localID, response)
		return
	}
	payload, err := cbor.Marshal(response)
	if address := s.addresses[requester]; err == nil && address != "" {
		s.gossip.Send(requester, address, kindLeaseResponse, payload)
	}
}

// handleResponse handles a response that a coordinator sent to this server.
func (s *Service) handleResponse(from membership.ID, payload []byte) {
	var response leaseResponse
	if messageDecoder.Unmarshal(payload, &response) == nil {
		s.applyResponse(from, response)
	}
}

// applyResponse applies a response, including a late one from a coordinator that was asked earlier. A lease is valid
// whichever coordinator sends it, because the response contains the time of the request.
func (s *Service) applyResponse(from membership.ID, response leaseResponse) {
	switch {
	case response.Granted:
		s.recordAnswer(from)
		s.config.OnResponse(response.Response)
	case response.Leader != nil && *response.Leader == from: // it is the leader, but cannot grant leases yet
		s.recordAnswer(from)
	case response.Leader != nil:
		s.leader = *response.Leader
	case s.pendingRequest != nil && from == s.leader:
		s.unansweredCount++
	}
}

// recordAnswer records that a coordinator is the leader and has answered the last request.
func (s *Service) recordAnswer(leader membership.ID) {
	s.leader = leader
	s.unansweredCount = 0
	s.pendingRequest = nil
}
