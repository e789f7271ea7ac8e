package coordinator

import (
	"thistlequay/internal/quota"
	"thistlequay/timeunit"
)

const (
	// maxPendingRequests is the maximum number of requests that wait for a confirmation round. Further requests are
	// dropped, as servers repeat their requests.
	maxPendingRequests = 4096

	// confirmTimeout is how long a confirmation round may take before it is abandoned and another one may start.
	confirmTimeout timeunit.Milliseconds = 1000
)

// pendingRequest is a request that waits until a majority has confirmed that this server is the leader.
type pendingRequest struct {
	id      uint64
	request quota.Request
}

// Reply answers the request that was enqueued with the ID RequestID.
type Reply struct {
	RequestID uint64
	Response  quota.Response
	Granted   bool   // Response contains a lease
	Leader    uint64 // ID of the voter to send requests to, zero if unknown
}

// EnqueueRequest enqueues a request. A later Ready returns its reply.
func (c *Coordinator) EnqueueRequest(requestID uint64, request quota.Request) {
	switch {
	case !c.IsLeader() || !c.InMajority():
		c.replies = append(c.replies, Reply{RequestID: requestID, Leader: c.otherLeader()})
	case len(c.pending) < maxPendingRequests:
		c.pending = append(c.pending, pendingRequest{id: requestID, request: request})
	}
}

// otherLeader returns the voter ID of the leader, or zero if the leader is unknown or is this server.
func (c *Coordinator) otherLeader() uint64 {
	leader := c.Leader()
	if leader == c.identity.VoterID {
		return 0
	}
	return leader
}

// confirmPending starts one confirmation round for all pending requests, in which a majority confirms that this server
// is still the leader. The requests of a round that takes too long are dropped.
func (c *Coordinator) confirmPending() {
	if len(c.confirming) > 0 && c.now-c.confirmStartedAt > confirmTimeout {
		c.confirming = nil
	}
	if len(c.confirming) > 0 || len(c.pending) == 0 {
		return
	}
	token, ok := c.voter.ReadIndex()
	if !ok {
		return
	}
	c.confirming = c.pending
	c.pending = nil
	c.confirmToken = token
	c.confirmStartedAt = c.now
}

// answerConfirmed answers the requests whose confirmation round has completed. Requests that arrived after the round
// started wait for the next round.
func (c *Coordinator) answerConfirmed(tokens []uint64) (replies []Reply) {
	for _, token := range tokens {
		if token != c.confirmToken || !c.IsLeader() || !c.InMajority() {
			continue
		}
		for _, pending := range c.confirming {
			response, granted := c.limits.HandleRequest(pending.request, c.now)
			replies = append(replies, Reply{
				RequestID: pending.id,
				Response:  response,
				Granted:   granted,
				Leader:    c.identity.VoterID,
			})
		}
		c.confirming = nil
	}
	return replies
}
