package membership

import (
	"math"
	"slices"
	"thistlequay/timeunit"
)

// StatusSince is when it began to stand so, as of the last Tick.
func (a *Agreement) StatusSince() timeunit.Milliseconds { return a.statusSince }

// Agreement is one server's part in the agreement.
type Agreement struct {
	view          *View
	config        Config
	configuration Configuration
	inForceFrom   timeunit.Milliseconds // in force
	conflicting   bool                  // two fleets of one epoch were heard of
	votesFrom     timeunit.Milliseconds // a new life votes on a first fleet from then on
	highestEpoch  uint64

	promised, acceptedBallot Ballot // as a voter, for what follows
	acceptedValue            *Configuration

	ballot          Ballot // as a proposer; no round: none under way
	proposal        *Configuration
	highestAccepted Ballot
	promises        []ID
	acceptances     []ID
	retryAfter      timeunit.Milliseconds
	round           uint64

	leases               map[ID]timeunit.Milliseconds // as one who asks: until when each voter supports it
	nextLeaseRequest     timeunit.Milliseconds
	changeWantedSince    timeunit.Milliseconds // since when another fleet is wished for
	lastStatus           QuorumStatus
	statusSince          timeunit.Milliseconds
	outbox               []Message
	ConfigurationChanges int  // fleets that were taken up
	StartNewGenesis      bool // the next fleet begins a line of its own: what the line kept in memory is lost
}

// NewAgreement begins without a fleet.
func NewAgreement(v *View) *Agreement {
	t := v.config
	return &Agreement{view: v, config: t, votesFrom: v.now + 2*t.LeaseDuration + t.StabilityWindow, leases: map[ID]timeunit.Milliseconds{}, changeWantedSince: notWanted, lastStatus: Isolated, statusSince: v.now}
}

// Configuration is the one that was agreed on last.
func (a *Agreement) Configuration() Configuration { return a.configuration }

// TakeMessages gives the notes to be sent.
func (a *Agreement) TakeMessages() []Message {
	n := a.outbox
	a.outbox = nil
	return n
}

func (a *Agreement) send(to ID, n Message) {
	n.From, n.To, n.Epoch = a.config.Self, to, a.configuration.Epoch
	if to == a.config.Self {
		a.Step(n)
		return
	}
	a.outbox = append(a.outbox, n)
}

// Step takes a note.
func (a *Agreement) Step(n Message) {
	now := a.view.now
	a.highestEpoch = max(a.highestEpoch, n.Epoch)
	if n.Kind == MessageCommitted {
		if n.Configuration.sane() {
			a.learn(*n.Configuration)
		}
		return
	}
	if n.Epoch != a.configuration.Epoch {
		if n.Epoch < a.configuration.Epoch {
			fleet := a.configuration
			a.send(n.From, Message{Kind: MessageCommitted, Configuration: &fleet})
		} else if n.Kind != MessageLeaseRequest { // the sender knows more
			a.send(n.From, Message{Kind: MessageLeaseRequest, RequestedAt: now})
		}
		return
	}
	switch n.Kind {
	case MessageLeaseRequest:
		if a.configuration.Epoch > 0 && a.configuration.hasVoter(a.config.Self) && a.acceptedValue == nil && !a.conflicting && a.view.self.StateUpdate.State != StateDraining {
			a.send(n.From, Message{Kind: MessageLeaseGrant, RequestedAt: n.RequestedAt})
		}
	case MessageLeaseGrant:
		if a.configuration.hasVoter(n.From) && n.RequestedAt <= now {
			until := n.RequestedAt + timeunit.Milliseconds(float64(a.configuration.LeaseDuration)*(1-a.config.MaxClockDrift))
			a.leases[n.From] = max(a.leases[n.From], until)
		}
	case MessagePrepare:
		if a.mayVote() && n.Ballot.compare(a.promised) >= 0 {
			a.promised = n.Ballot
			a.send(n.From, Message{Kind: MessagePromise, Ballot: n.Ballot, AcceptedBallot: a.acceptedBallot, Configuration: a.acceptedValue})
		}
	case MessagePromise:
		if n.Ballot != a.ballot || a.ballot.Round == 0 || a.acceptances != nil || slices.Contains(a.promises, n.From) || !a.isElector(n.From) {
			return
		}
		a.promises = append(a.promises, n.From)
		if n.Configuration.sane() && n.AcceptedBallot.compare(a.highestAccepted) > 0 {
			a.highestAccepted, a.proposal = n.AcceptedBallot, n.Configuration
		}
		if voters, quorum := a.electorate(); len(a.promises) >= quorum {
			a.acceptances = []ID{}
			for _, id := range voters {
				a.send(id, Message{Kind: MessageAccept, Ballot: a.ballot, Configuration: a.proposal})
			}
		}
	case MessageAccept:
		if a.mayVote() && n.Ballot.compare(a.promised) >= 0 && n.Configuration.sane() && n.Configuration.Epoch > a.configuration.Epoch {
			fleet := *n.Configuration
			a.promised, a.acceptedBallot, a.acceptedValue = n.Ballot, n.Ballot, &fleet
			a.send(n.From, Message{Kind: MessageAccepted, Ballot: n.Ballot})
		}
	case MessageAccepted:
		if n.Ballot != a.ballot || a.acceptances == nil || slices.Contains(a.acceptances, n.From) || !a.isElector(n.From) {
			return
		}
		a.acceptances = append(a.acceptances, n.From)
		if voters, quorum := a.electorate(); len(a.acceptances) >= quorum {
			fleet := *a.proposal
			for _, v := range fleet.Voters {
				if !slices.Contains(voters, v.ID) {
					voters = append(voters, v.ID)
				}
			}
			a.learn(fleet)
			for _, id := range voters {
				a.send(id, Message{Kind: MessageCommitted, Configuration: &fleet})
			}
		}
	}
}

// learn takes up a fleet that was chosen. It is in force when all support for the one before has run out, on every clock.
func (a *Agreement) learn(f Configuration) {
	if f.Epoch == a.configuration.Epoch && !f.equal(&a.configuration) && f.Epoch > 0 {
		a.conflicting = true // two first fleets of lives that had forgotten: neither acts, the founders form another
		return
	}
	if f.Epoch <= a.configuration.Epoch {
		return
	}
	lease := max(a.configuration.LeaseDuration, f.LeaseDuration, a.config.LeaseDuration)
	a.configuration, a.conflicting, a.inForceFrom = f, false, a.view.now+timeunit.Milliseconds(math.Ceil(float64(lease)*(1+a.config.MaxClockDrift)))
	a.view.configuredSize, a.highestEpoch = f.MemberCount, max(a.highestEpoch, f.Epoch)
	a.promised, a.acceptedBallot, a.acceptedValue = Ballot{}, Ballot{}, nil
	a.ballot, a.proposal, a.highestAccepted, a.promises, a.acceptances = Ballot{}, nil, Ballot{}, nil, nil
	a.changeWantedSince, a.StartNewGenesis = notWanted, false
	clear(a.leases)
	a.nextLeaseRequest = 0
	a.ConfigurationChanges++
}

// Tick asks for support and proposes another fleet where that is due. It is to be called a few times a second.
func (a *Agreement) Tick() {
	now := a.view.now
	if now >= a.nextLeaseRequest {
		lease := a.configuration.LeaseDuration
		if lease == 0 {
			lease = a.config.LeaseDuration
		}
		a.nextLeaseRequest = now + lease/leaseRequestsPerLease
		for _, v := range a.configuration.Voters {
			a.send(v.ID, Message{Kind: MessageLeaseRequest, RequestedAt: now})
		}
	}
	for _, m := range a.view.members { // one that goes by a later fleet tells of it
		if m.Epoch > a.configuration.Epoch && m.isAlive() && m != a.view.self {
			a.send(m.ID, Message{Kind: MessageLeaseRequest, RequestedAt: now})
			break
		}
	}
	a.proposeIfNeeded()
	if s := a.QuorumStatus(); s != a.lastStatus {
		a.lastStatus, a.statusSince = s, now
	}
}
