package membership

// This file owns the fleet that is agreed upon: who its voters are, how one fleet follows another, and the support by which a
// server may hold itself for part of the whole. A fleet is followed by one other at most, chosen by a majority of its voters
// as in the single-decree synod; a voter that has accepted what follows supports the old fleet no more, and what follows is
// in force only when all support given before has run out. It must never give support twice, nor have a life that kept
// nothing vote in the place of the one before.

import (
	"cmp"
	"math"
	"slices"

	"thistlequay/timeunit"
)

// Voter is a life and its address: another life there proves that this one is over.
type Voter struct {
	ID
	Address string `cbor:"3,keyasint"`
}

// Configuration is what was agreed upon.
type Configuration struct {
	Epoch         uint64                `cbor:"1,keyasint"` // 0: none yet
	Voters        []Voter               `cbor:"2,keyasint"`
	MemberCount   int                   `cbor:"3,keyasint"`           // members when it was agreed on
	LeaseDuration timeunit.Milliseconds `cbor:"4,keyasint"`           // how long support holds in it
	GenesisEpoch  uint64                `cbor:"5,keyasint,omitempty"` // the epoch of the fleet that this one came from without a break
}

// Ballot orders proposals for what follows one fleet.
type Ballot struct {
	Round    uint64 `cbor:"1,keyasint"`
	Proposer ID     `cbor:"2,keyasint"`
}

func (a Ballot) compare(b Ballot) int {
	return cmp.Or(cmp.Compare(a.Round, b.Round), a.Proposer.Compare(b.Proposer))
}

// MessageKind is what a note says.
type MessageKind int

// The notes of members among each other.
const (
	MessageLeaseRequest MessageKind = iota + 1 // support me in this epoch
	MessageLeaseGrant                          // for as long as the fleet says, from when that was asked
	MessagePrepare                             // promise to take nothing of a lower ballot
	MessagePromise                             // with what was accepted before, if anything
	MessageAccept                              // this fleet under this ballot
	MessageAccepted                            // it is
	MessageCommitted                           // the fleet of an epoch
)

// Message is one message between two members.
type Message struct {
	Kind           MessageKind           `cbor:"1,keyasint"`
	From           ID                    `cbor:"2,keyasint"`
	Epoch          uint64                `cbor:"3,keyasint"`           // the fleet that the sender goes by
	RequestedAt    timeunit.Milliseconds `cbor:"4,keyasint,omitempty"` // by the asker's clock, given back as it came
	Ballot         Ballot                `cbor:"5,keyasint,omitempty"`
	AcceptedBallot Ballot                `cbor:"6,keyasint,omitempty"` // under which the fleet was accepted
	Configuration  *Configuration        `cbor:"7,keyasint,omitempty"`
	To             ID                    `cbor:"8,keyasint"`
}

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
	return &Agreement{view: v, config: t, votesFrom: v.now + 2*t.LeaseDuration + t.StabilityWindow, leases: map[ID]timeunit.Milliseconds{}, changeWantedSince: forever, lastStatus: Isolated, statusSince: v.now}
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

func (f *Configuration) hasVoter(id ID) bool {
	return slices.ContainsFunc(f.Voters, func(v Voter) bool { return v.ID == id })
}

func (f *Configuration) equal(g *Configuration) bool {
	return f.Epoch == g.Epoch && f.MemberCount == g.MemberCount && f.LeaseDuration == g.LeaseDuration && f.GenesisEpoch == g.GenesisEpoch && slices.Equal(f.Voters, g.Voters)
}

// sane says whether a fleet that was heard of can be meant.
func (f *Configuration) sane() bool {
	return f != nil && f.Epoch > 0 && len(f.Voters) > 0 && len(f.Voters) <= maxVoters && f.MemberCount >= len(f.Voters) && f.LeaseDuration > 0 && f.LeaseDuration <= maxLeaseDuration
}

const (
	maxVoters             = 15
	maxLeaseDuration      = 60 * timeunit.MillisecondsPerSecond
	leaseRequestsPerLease = 3 // support is asked for so often in a lease
)

// electorate gives those who vote on what follows and how many of them it takes. A first fleet takes all its founders: each
// may have been part of another that it has forgotten, and only together they know that there is none.
func (a *Agreement) electorate() (voters []ID, quorum int) {
	if a.isForming() {
		for _, name := range a.config.Founders {
			if id, is := a.view.NameOwner(name); is {
				voters = append(voters, id)
			}
		}
		return voters, max(1, len(a.config.Founders))
	}
	for _, v := range a.configuration.Voters {
		voters = append(voters, v.ID)
	}
	return voters, len(voters)/2 + 1
}

// isForming says that there is no fleet to follow: none was heard of, or every voter of the last one is over for good.
func (a *Agreement) isForming() bool {
	if a.configuration.Epoch == 0 || a.conflicting {
		return true
	}
	for _, v := range a.configuration.Voters {
		m := a.view.Member(v.ID)
		holder, is := a.view.NameOwner(v.Name)
		over := m != nil && m.terminated
		// Another life has been on its address for longer than one that is over is held to be there.
		if h := a.view.Member(holder); is && h != nil && holder != v.ID && h.Address == v.Address && h.isAlive() && a.view.now-h.FirstSeen > a.config.FlapHold {
			over = true
		}
		if !over {
			return false
		}
	}
	return true
}

// mayVote says whether this server may vote on what follows now.
func (a *Agreement) mayVote() bool {
	if a.isForming() { // one that leaves still votes on what follows it: else half of the voters could not be replaced
		return a.view.now >= a.votesFrom && slices.Contains(a.config.Founders, a.config.Self.Name)
	}
	return a.configuration.hasVoter(a.config.Self)
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

func (a *Agreement) isElector(id ID) bool {
	voters, _ := a.electorate()
	return slices.Contains(voters, id)
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
	a.changeWantedSince, a.StartNewGenesis = forever, false
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

// proposeIfNeeded: the first of the voters that are there sees to a fleet that fits who is there.
func (a *Agreement) proposeIfNeeded() {
	now := a.view.now
	if !a.mayVote() {
		a.changeWantedSince = forever
		return
	}
	there := a.view.Alive()
	need := a.changeUrgency(there)
	if need == noChange {
		a.changeWantedSince = forever
		return
	}
	if a.changeWantedSince == forever {
		a.changeWantedSince = now
	}
	voters, quorum := a.electorate()
	able, count := voters[:0:0], 0
	for _, id := range voters {
		if m := a.view.Member(id); m != nil && m.isAlive() {
			if count++; m.State != StateDraining {
				able = append(able, id)
			}
		}
	}
	slices.SortFunc(able, ID.Compare)
	rank := slices.Index(able, a.config.Self)
	if count < quorum || rank < 0 || now < a.retryAfter || need < immediate && now-a.changeWantedSince < a.config.StabilityWindow {
		return
	}
	if rank > 0 && (need == countDrifted || now-a.changeWantedSince < a.config.StabilityWindow*timeunit.Milliseconds(2+rank)) { // the first has its time, and the say on counts
		return
	}
	next := a.nextConfiguration(there)
	if next.MemberCount <= a.requiredCount()/2 {
		return
	}
	a.retryAfter = now + a.config.StabilityWindow/2*timeunit.Milliseconds(1+rank)
	a.startProposal(next)
}

// startProposal puts a fleet to those who vote on it, under a ballot above all that this server has seen.
func (a *Agreement) startProposal(next Configuration) {
	a.round = max(a.round, a.promised.Round) + 1
	a.ballot, a.highestAccepted, a.promises, a.acceptances = Ballot{a.round, a.config.Self}, Ballot{}, nil, nil
	a.proposal = &next
	voters, _ := a.electorate()
	for _, id := range voters {
		a.send(id, Message{Kind: MessagePrepare, Ballot: a.ballot})
	}
}

// requiredCount is what a fleet must have more than half of: the last one's members, and at first those that there are to be.
func (a *Agreement) requiredCount() int {
	if a.isForming() {
		return a.config.InitialSize
	}
	return a.configuration.MemberCount
}

// What calls for another fleet, the more pressing later.
type urgency int

const (
	noChange      urgency = iota
	countDrifted          // it counts others than are there
	votersMissing         // there is none, a voter is not there, or there are too few
	immediate             // a voter leaves and must be replaced before it has gone, or another fleet has been begun
)

func (a *Agreement) changeUrgency(there []ID) urgency {
	if a.acceptedValue != nil {
		return immediate
	}
	if a.configuration.Epoch == 0 || a.conflicting {
		return votersMissing
	}
	n, least := a.countStaying(there), noChange
	if a.StartNewGenesis {
		least = countDrifted
	}
	if off := n - a.configuration.MemberCount; max(off, -off) > a.configuration.MemberCount/countDriftFraction {
		least = countDrifted
	}
	if len(a.configuration.Voters) < largestOdd(min(n, a.config.MaxVoters)) {
		least = votersMissing
	}
	for _, v := range a.configuration.Voters {
		m := a.view.Member(v.ID)
		if m != nil && m.isAlive() && m.State == StateDraining {
			return immediate
		}
		if m == nil || !m.isAlive() {
			least = votersMissing
		}
	}
	return least
}

const countDriftFraction = 10 // a fleet that differs by more than one in so many is another

func largestOdd(n int) int { return n - (n+1)%2 }

func (a *Agreement) countStaying(there []ID) (n int) {
	for _, id := range there {
		if a.view.Member(id).State != StateDraining {
			n++
		}
	}
	return n
}

// nextConfiguration is the fleet of those who are there. Voters that stay keep their places, the others go to the lives that began
// first, one zone after the other, so that the loss of a zone takes as few as can be.
func (a *Agreement) nextConfiguration(there []ID) Configuration {
	f := Configuration{Epoch: max(a.highestEpoch, a.configuration.Epoch) + 1, MemberCount: a.countStaying(there), GenesisEpoch: a.configuration.GenesisEpoch}
	if a.isForming() || a.StartNewGenesis {
		f.GenesisEpoch = f.Epoch
	}
	f.LeaseDuration = max(a.config.LeaseDuration, timeunit.Milliseconds(f.MemberCount)*leasePerMember)
	most := largestOdd(min(f.MemberCount, a.config.MaxVoters))
	zones := map[string]int{}
	add := func(m *Member) {
		f.Voters = append(f.Voters, Voter{m.ID, m.Address})
		zones[m.Zone]++
	}
	var rest []*Member
	for _, id := range there {
		switch m := a.view.Member(id); {
		case m.State == StateDraining:
		case a.configuration.hasVoter(id) && len(f.Voters) < most:
			add(m)
		default:
			rest = append(rest, m)
		}
	}
	for len(f.Voters) < most && len(rest) > 0 {
		i := 0
		for j, m := range rest {
			if cmp.Or(cmp.Compare(zones[m.Zone], zones[rest[i].Zone]), cmp.Compare(m.Incarnation, rest[i].Incarnation)) < 0 {
				i = j
			}
		}
		add(rest[i])
		rest = slices.Delete(rest, i, i+1)
	}
	slices.SortFunc(f.Voters, func(x, y Voter) int { return x.Compare(y.ID) })
	return f
}

const leasePerMember timeunit.Milliseconds = 5 // ms of a lease for each member, so that what voters are asked stays flat
