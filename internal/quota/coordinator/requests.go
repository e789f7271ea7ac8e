package coordinator

import (
	"thistlequay/internal/quota"
	"thistlequay/timeunit"
)

const (
	// maxPendingRequests bounds the requests that wait for a round of confirmation. Servers ask again.
	maxPendingRequests = 4096

	// confirmTimeout is how long a round of confirmation may take before another one is begun.
	confirmTimeout timeunit.Milliseconds = 1000
)

// pendingRequest is a request that waits until a majority has confirmed that this server leads.
type pendingRequest struct {
	id      uint64
	request quota.Request
}

// Reply answers the request that was handed in under RequestID.
type Reply struct {
	RequestID uint64
	Response  quota.Response
	Granted   bool   // Response has a lease
	Leader    uint64 // the voter to be asked, zero where none is known
}

// EnqueueRequest takes a request. Its reply comes in a Ready.
func (c *Coordinator) EnqueueRequest(requestID uint64, request quota.Request) {
	switch {
	case !c.IsLeader() || !c.InMajority():
		c.replies = append(c.replies, Reply{RequestID: requestID, Leader: c.otherLeader()})
	case len(c.pending) < maxPendingRequests:
		c.pending = append(c.pending, pendingRequest{id: requestID, request: request})
	}
}

// otherLeader returns the leader, if that is not this server.
func (c *Coordinator) otherLeader() uint64 {
	leader := c.Leader()
	if leader == c.identity.VoterID {
		return 0
	}
	return leader
}

// confirmPending asks a majority, in one round for all requests that wait, whether this server still leads. The
// requests of a round that takes too long are dropped.
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

// answerConfirmed answers the requests whose round of confirmation has ended. Those that came after the round began
// wait for the next one.
func (c *Coordinator) answerConfirmed(tokens []uint64) (replies []Reply) {
	for _, token := range tokens {
		if token != c.confirmToken || !c.IsLeader() || !c.InMajority() {
			continue
		}
		for _, waiting := range c.confirming {
			response, granted := c.limits.HandleRequest(waiting.request, c.now)
			replies = append(replies, Reply{
				RequestID: waiting.id,
				Response:  response,
				Granted:   granted,
				Leader:    c.identity.VoterID,
			})
		}
		c.confirming = nil
	}
	return replies
}
