package membership

import (
	"math"

	"thistlequay/timeunit"
)

// Agreement is one server's part in agreeing on the cluster's configuration.
//
// Each configuration has at most one successor, which a majority of its voters chooses by single-decree Paxos (Lamport,
// "Paxos Made Simple", 2001). An acceptor that has accepted the next configuration grants no more leases in the current
// one, and the next configuration comes into force only when every lease granted before has expired on every clock. Two
// configurations are therefore never in force at once.
//
// Voters are incarnations, and nothing is stored on disk: a process that restarts is a new incarnation without a vote,
// so no voter can vote twice because it forgot its first vote.
//
// Agreement is not safe for concurrent use. It must be used from the goroutine of its View.
type Agreement struct {
	view               *View
	config             Config
	configuration      Configuration         // the latest learned configuration
	learnedAt          timeunit.Milliseconds // when configuration was learned
	leavingWhenLearned int                   // members counted in configuration that were already leaving at learnedAt
	inForceFrom        timeunit.Milliseconds // when configuration comes into force
	isConflicting      bool                  // a different configuration of the same epoch has been received
	bootstrapVotesFrom timeunit.Milliseconds // when this incarnation may first vote while bootstrapping
	highestEpoch       uint64                // highest epoch seen in any message or configuration

	acceptor acceptor
	proposer proposer
	lease    quorumLease

	lastStatus  QuorumStatus // as of the last Tick
	statusSince timeunit.Milliseconds
	outbox      []Message

	// ConfigurationChanges is the number of configurations learned.
	ConfigurationChanges int
	// StartNewGenesis makes the next configuration that this server proposes start a new genesis epoch. Whatever the
	// members kept in memory on behalf of earlier epochs is then lost. Learning a configuration clears the flag.
	StartNewGenesis bool
}

// NewAgreement returns an Agreement without a configuration. It does not vote on a first configuration until every
// lease that an earlier incarnation of this server may have granted has expired.
func NewAgreement(view *View) *Agreement {
	config := view.config
	return &Agreement{
		view:               view,
		config:             config,
		bootstrapVotesFrom: view.now + 2*config.LeaseDuration + config.StabilityWindow,
		proposer:           newProposer(),
		lease:              newQuorumLease(),
		lastStatus:         Isolated,
		statusSince:        view.now,
	}
}

// Configuration returns the latest learned configuration. Its epoch is 0 if none has been learned.
func (a *Agreement) Configuration() Configuration { return a.configuration }

// TakeMessages returns the messages to send and removes them from the outbox. The host may lose or reorder them.
func (a *Agreement) TakeMessages() []Message {
	messages := a.outbox
	a.outbox = nil
	return messages
}

// send addresses a message and adds it to the outbox. A message to this server itself is handled immediately.
func (a *Agreement) send(to ID, message Message) {
	message.From = a.config.Self
	message.To = to
	message.Epoch = a.configuration.Epoch
	if to == a.config.Self {
		a.Step(message)
		return
	}
	a.outbox = append(a.outbox, message)
}

// Step handles a message from another member or from this one.
func (a *Agreement) Step(message Message) {
	a.highestEpoch = max(a.highestEpoch, message.Epoch)
	if message.Kind == MessageCommitted {
		a.handleCommitted(message)
		return
	}
	if message.Epoch != a.configuration.Epoch {
		a.handleEpochMismatch(message)
		return
	}
	switch message.Kind {
	case MessageLeaseRequest:
		a.handleLeaseRequest(message)
	case MessageLeaseGrant:
		a.handleLeaseGrant(message)
	case MessagePrepare:
		a.handlePrepare(message)
	case MessagePromise:
		a.handlePromise(message)
	case MessageAccept:
		a.handleAccept(message)
	case MessageAccepted:
		a.handleAccepted(message)
	}
}

// handleEpochMismatch brings the server that is behind up to date. A sender that is behind receives the current
// configuration. A sender that is ahead receives a lease request, which has an outdated epoch and is therefore answered
// with the newer configuration.
func (a *Agreement) handleEpochMismatch(message Message) {
	switch {
	case message.Epoch < a.configuration.Epoch:
		configuration := a.configuration
		a.send(message.From, Message{Kind: MessageCommitted, Configuration: &configuration})
	case message.Kind != MessageLeaseRequest: // answering a request with a request would never end
		a.send(message.From, Message{Kind: MessageLeaseRequest, RequestedAt: a.view.now})
	}
}

// handleCommitted learns the configuration chosen for an epoch.
func (a *Agreement) handleCommitted(message Message) {
	if message.Configuration.Validate() == nil {
		a.learn(*message.Configuration)
	}
}

// learn adopts a chosen configuration if it is newer than the current one. It comes into force when all leases in the
// previous configuration have expired, even by the slowest clock.
func (a *Agreement) learn(next Configuration) {
	if next.Epoch == a.configuration.Epoch && next.Epoch > 0 && !next.equal(&a.configuration) {
		// Two first configurations were chosen by incarnations that did not know of each other. Neither is used, and
		// the founders agree on a third.
		a.isConflicting = true
		return
	}
	if next.Epoch <= a.configuration.Epoch {
		return
	}
	longestLease := max(a.configuration.LeaseDuration, next.LeaseDuration, a.config.LeaseDuration)
	waitMs := math.Ceil(float64(longestLease) * (1 + a.config.MaxClockDrift))
	a.configuration = next
	a.isConflicting = false
	a.learnedAt = a.view.now
	a.leavingWhenLearned = a.countLeavingWhenLearned(next)
	a.inForceFrom = a.view.now + timeunit.Milliseconds(waitMs)
	a.view.configuredSize = next.MemberCount
	a.highestEpoch = max(a.highestEpoch, next.Epoch)
	a.acceptor = acceptor{}
	a.proposer.reset()
	a.lease.reset()
	a.StartNewGenesis = false
	a.ConfigurationChanges++
}

// Tick requests lease grants and proposes a new configuration when either is due. The host calls it a few times per
// second.
func (a *Agreement) Tick() {
	a.requestLease()
	a.requestNewerConfiguration()
	a.proposeIfNeeded()
	if status := a.QuorumStatus(); status != a.lastStatus {
		a.lastStatus = status
		a.statusSince = a.view.now
	}
}

// requestNewerConfiguration requests the configuration from one of the members that act on a newer one.
func (a *Agreement) requestNewerConfiguration() {
	for _, member := range a.view.members {
		if member.Epoch > a.configuration.Epoch && member.isAlive() && member != a.view.self {
			a.send(member.ID, Message{Kind: MessageLeaseRequest, RequestedAt: a.view.now})
			return
		}
	}
}

// StatusSince returns when the quorum status last changed, as of the last Tick.
func (a *Agreement) StatusSince() timeunit.Milliseconds { return a.statusSince }
