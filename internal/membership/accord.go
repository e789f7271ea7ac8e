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

// Fleet is what was agreed upon.
type Fleet struct {
	Epoch  uint64                `cbor:"1,keyasint"` // 0: none yet
	Voters []Voter               `cbor:"2,keyasint"`
	Count  int                   `cbor:"3,keyasint"`           // members when it was agreed on
	Lease  timeunit.Milliseconds `cbor:"4,keyasint"`           // how long support holds in it
	Born   uint64                `cbor:"5,keyasint,omitempty"` // the epoch of the fleet that this one came from without a break
}

// Ballot orders proposals for what follows one fleet.
type Ballot struct {
	Round uint64 `cbor:"1,keyasint"`
	By    ID     `cbor:"2,keyasint"`
}

func (a Ballot) compare(b Ballot) int {
	return cmp.Or(cmp.Compare(a.Round, b.Round), a.By.Compare(b.By))
}

// Kind is what a note says.
type Kind int

// The notes of members among each other.
const (
	Ask      Kind = iota + 1 // support me in this epoch
	Support                  // for as long as the fleet says, from when that was asked
	Prepare                  // promise to take nothing of a lower ballot
	Promise                  // with what was accepted before, if anything
	Accept                   // this fleet under this ballot
	Accepted                 // it is
	Chosen                   // the fleet of an epoch
)

// Note is one message between two members.
type Note struct {
	Kind   Kind                  `cbor:"1,keyasint"`
	From   ID                    `cbor:"2,keyasint"`
	Epoch  uint64                `cbor:"3,keyasint"`           // the fleet that the sender goes by
	Asked  timeunit.Milliseconds `cbor:"4,keyasint,omitempty"` // by the asker's clock, given back as it came
	Ballot Ballot                `cbor:"5,keyasint,omitempty"`
	Before Ballot                `cbor:"6,keyasint,omitempty"` // under which the fleet was accepted
	Fleet  *Fleet                `cbor:"7,keyasint,omitempty"`
	To     ID                    `cbor:"8,keyasint"`
}

// Accord is one server's part in the agreement.
type Accord struct {
	view    *View
	terms   Terms
	fleet   Fleet
	from    timeunit.Milliseconds // in force
	torn    bool                  // two fleets of one epoch were heard of
	awake   timeunit.Milliseconds // a new life votes on a first fleet from then on
	highest uint64

	promised, accepted Ballot // as a voter, for what follows
	value              *Fleet

	ballot   Ballot // as a proposer; no round: none under way
	proposal *Fleet
	best     Ballot
	promises []ID
	accepts  []ID
	retry    timeunit.Milliseconds
	round    uint64

	leases  map[ID]timeunit.Milliseconds // as one who asks: until when each voter supports it
	nextAsk timeunit.Milliseconds
	wish    timeunit.Milliseconds // since when another fleet is wished for
	stood   Standing
	since   timeunit.Milliseconds
	out     []Note
	Changes int  // fleets that were taken up
	Renew   bool // the next fleet begins a line of its own: what the line kept in memory is lost
}

// NewAccord begins without a fleet.
func NewAccord(v *View) *Accord {
	t := v.terms
	return &Accord{view: v, terms: t, awake: v.now + 2*t.Lease + t.Settle, leases: map[ID]timeunit.Milliseconds{}, wish: forever, stood: Alone, since: v.now}
}

// Fleet is the one that was agreed on last.
func (a *Accord) Fleet() Fleet { return a.fleet }

// Out gives the notes to be sent.
func (a *Accord) Out() []Note {
	n := a.out
	a.out = nil
	return n
}

func (a *Accord) send(to ID, n Note) {
	n.From, n.To, n.Epoch = a.terms.Me, to, a.fleet.Epoch
	if to == a.terms.Me {
		a.Take(n)
		return
	}
	a.out = append(a.out, n)
}

func (f *Fleet) voter(id ID) bool {
	return slices.ContainsFunc(f.Voters, func(v Voter) bool { return v.ID == id })
}

func (f *Fleet) same(g *Fleet) bool {
	return f.Epoch == g.Epoch && f.Count == g.Count && f.Lease == g.Lease && f.Born == g.Born && slices.Equal(f.Voters, g.Voters)
}

// sane says whether a fleet that was heard of can be meant.
func (f *Fleet) sane() bool {
	return f != nil && f.Epoch > 0 && len(f.Voters) > 0 && len(f.Voters) <= mostVoters && f.Count >= len(f.Voters) && f.Lease > 0 && f.Lease <= mostLease
}

const (
	mostVoters = 15
	mostLease  = 60 * timeunit.MillisecondsPerSecond
	askParts   = 3 // support is asked for so often in a lease
)

// electorate gives those who vote on what follows and how many of them it takes. A first fleet takes all its founders: each
// may have been part of another that it has forgotten, and only together they know that there is none.
func (a *Accord) electorate() (voters []ID, quorum int) {
	if a.forms() {
		for _, name := range a.terms.Founders {
			if id, is := a.view.Holder(name); is {
				voters = append(voters, id)
			}
		}
		return voters, max(1, len(a.terms.Founders))
	}
	for _, v := range a.fleet.Voters {
		voters = append(voters, v.ID)
	}
	return voters, len(voters)/2 + 1
}

// forms says that there is no fleet to follow: none was heard of, or every voter of the last one is over for good.
func (a *Accord) forms() bool {
	if a.fleet.Epoch == 0 || a.torn {
		return true
	}
	for _, v := range a.fleet.Voters {
		m := a.view.Member(v.ID)
		holder, is := a.view.Holder(v.Name)
		over := m != nil && m.over
		// Another life has been on its address for longer than one that is over is held to be there.
		if h := a.view.Member(holder); is && h != nil && holder != v.ID && h.Address == v.Address && h.there() && a.view.now-h.First > a.terms.SwingFor {
			over = true
		}
		if !over {
			return false
		}
	}
	return true
}

// votes says whether this server may vote on what follows now.
func (a *Accord) votes() bool {
	if a.forms() { // one that leaves still votes on what follows it: else half of the voters could not be replaced
		return a.view.now >= a.awake && slices.Contains(a.terms.Founders, a.terms.Me.Name)
	}
	return a.fleet.voter(a.terms.Me)
}

// Take takes a note.
func (a *Accord) Take(n Note) {
	now := a.view.now
	a.highest = max(a.highest, n.Epoch)
	if n.Kind == Chosen {
		if n.Fleet.sane() {
			a.adopt(*n.Fleet)
		}
		return
	}
	if n.Epoch != a.fleet.Epoch {
		if n.Epoch < a.fleet.Epoch {
			fleet := a.fleet
			a.send(n.From, Note{Kind: Chosen, Fleet: &fleet})
		} else if n.Kind != Ask { // the sender knows more
			a.send(n.From, Note{Kind: Ask, Asked: now})
		}
		return
	}
	switch n.Kind {
	case Ask:
		if a.fleet.Epoch > 0 && a.fleet.voter(a.terms.Me) && a.value == nil && !a.torn && a.view.me.Word.State != Leaving {
			a.send(n.From, Note{Kind: Support, Asked: n.Asked})
		}
	case Support:
		if a.fleet.voter(n.From) && n.Asked <= now {
			until := n.Asked + timeunit.Milliseconds(float64(a.fleet.Lease)*(1-a.terms.Drift))
			a.leases[n.From] = max(a.leases[n.From], until)
		}
	case Prepare:
		if a.votes() && n.Ballot.compare(a.promised) >= 0 {
			a.promised = n.Ballot
			a.send(n.From, Note{Kind: Promise, Ballot: n.Ballot, Before: a.accepted, Fleet: a.value})
		}
	case Promise:
		if n.Ballot != a.ballot || a.ballot.Round == 0 || a.accepts != nil || slices.Contains(a.promises, n.From) || !a.elects(n.From) {
			return
		}
		a.promises = append(a.promises, n.From)
		if n.Fleet.sane() && n.Before.compare(a.best) > 0 {
			a.best, a.proposal = n.Before, n.Fleet
		}
		if voters, quorum := a.electorate(); len(a.promises) >= quorum {
			a.accepts = []ID{}
			for _, id := range voters {
				a.send(id, Note{Kind: Accept, Ballot: a.ballot, Fleet: a.proposal})
			}
		}
	case Accept:
		if a.votes() && n.Ballot.compare(a.promised) >= 0 && n.Fleet.sane() && n.Fleet.Epoch > a.fleet.Epoch {
			fleet := *n.Fleet
			a.promised, a.accepted, a.value = n.Ballot, n.Ballot, &fleet
			a.send(n.From, Note{Kind: Accepted, Ballot: n.Ballot})
		}
	case Accepted:
		if n.Ballot != a.ballot || a.accepts == nil || slices.Contains(a.accepts, n.From) || !a.elects(n.From) {
			return
		}
		a.accepts = append(a.accepts, n.From)
		if voters, quorum := a.electorate(); len(a.accepts) >= quorum {
			fleet := *a.proposal
			for _, v := range fleet.Voters {
				if !slices.Contains(voters, v.ID) {
					voters = append(voters, v.ID)
				}
			}
			a.adopt(fleet)
			for _, id := range voters {
				a.send(id, Note{Kind: Chosen, Fleet: &fleet})
			}
		}
	}
}

func (a *Accord) elects(id ID) bool {
	voters, _ := a.electorate()
	return slices.Contains(voters, id)
}

// adopt takes up a fleet that was chosen. It is in force when all support for the one before has run out, on every clock.
func (a *Accord) adopt(f Fleet) {
	if f.Epoch == a.fleet.Epoch && !f.same(&a.fleet) && f.Epoch > 0 {
		a.torn = true // two first fleets of lives that had forgotten: neither acts, the founders form another
		return
	}
	if f.Epoch <= a.fleet.Epoch {
		return
	}
	lease := max(a.fleet.Lease, f.Lease, a.terms.Lease)
	a.fleet, a.torn, a.from = f, false, a.view.now+timeunit.Milliseconds(math.Ceil(float64(lease)*(1+a.terms.Drift)))
	a.view.agreed, a.highest = f.Count, max(a.highest, f.Epoch)
	a.promised, a.accepted, a.value = Ballot{}, Ballot{}, nil
	a.ballot, a.proposal, a.best, a.promises, a.accepts = Ballot{}, nil, Ballot{}, nil, nil
	a.wish, a.Renew = forever, false
	clear(a.leases)
	a.nextAsk = 0
	a.Changes++
}

// Tick asks for support and proposes another fleet where that is due. It is to be called a few times a second.
func (a *Accord) Tick() {
	now := a.view.now
	if now >= a.nextAsk {
		lease := a.fleet.Lease
		if lease == 0 {
			lease = a.terms.Lease
		}
		a.nextAsk = now + lease/askParts
		for _, v := range a.fleet.Voters {
			a.send(v.ID, Note{Kind: Ask, Asked: now})
		}
	}
	for _, m := range a.view.all { // one that goes by a later fleet tells of it
		if m.Epoch > a.fleet.Epoch && m.there() && m != a.view.me {
			a.send(m.ID, Note{Kind: Ask, Asked: now})
			break
		}
	}
	a.propose()
	if s := a.Standing(); s != a.stood {
		a.stood, a.since = s, now
	}
}

// propose: the first of the voters that are there sees to a fleet that fits who is there.
func (a *Accord) propose() {
	now := a.view.now
	if !a.votes() {
		a.wish = forever
		return
	}
	there := a.view.There()
	need := a.need(there)
	if need == nothing {
		a.wish = forever
		return
	}
	if a.wish == forever {
		a.wish = now
	}
	voters, quorum := a.electorate()
	able, count := voters[:0:0], 0
	for _, id := range voters {
		if m := a.view.Member(id); m != nil && m.there() {
			if count++; m.State != Leaving {
				able = append(able, id)
			}
		}
	}
	slices.SortFunc(able, ID.Compare)
	rank := slices.Index(able, a.terms.Me)
	if count < quorum || rank < 0 || now < a.retry || need < urgent && now-a.wish < a.terms.Settle {
		return
	}
	if rank > 0 && (need == another || now-a.wish < a.terms.Settle*timeunit.Milliseconds(2+rank)) { // the first has its time, and the say on counts
		return
	}
	next := a.next(there)
	if next.Count <= a.least()/2 {
		return
	}
	a.retry = now + a.terms.Settle/2*timeunit.Milliseconds(1+rank)
	a.begin(next)
}

// begin puts a fleet to those who vote on it, under a ballot above all that this server has seen.
func (a *Accord) begin(next Fleet) {
	a.round = max(a.round, a.promised.Round) + 1
	a.ballot, a.best, a.promises, a.accepts = Ballot{a.round, a.terms.Me}, Ballot{}, nil, nil
	a.proposal = &next
	voters, _ := a.electorate()
	for _, id := range voters {
		a.send(id, Note{Kind: Prepare, Ballot: a.ballot})
	}
}

// least is what a fleet must have more than half of: the last one's members, and at first those that there are to be.
func (a *Accord) least() int {
	if a.forms() {
		return a.terms.Size
	}
	return a.fleet.Count
}

// What calls for another fleet, the more pressing later.
type need int

const (
	nothing need = iota
	another      // it counts others than are there
	broken       // there is none, a voter is not there, or there are too few
	urgent       // a voter leaves and must be replaced before it has gone, or another fleet has been begun
)

func (a *Accord) need(there []ID) need {
	if a.value != nil {
		return urgent
	}
	if a.fleet.Epoch == 0 || a.torn {
		return broken
	}
	n, least := a.staying(there), nothing
	if a.Renew {
		least = another
	}
	if off := n - a.fleet.Count; max(off, -off) > a.fleet.Count/driftPart {
		least = another
	}
	if len(a.fleet.Voters) < oddUpTo(min(n, a.terms.Voters)) {
		least = broken
	}
	for _, v := range a.fleet.Voters {
		m := a.view.Member(v.ID)
		if m != nil && m.there() && m.State == Leaving {
			return urgent
		}
		if m == nil || !m.there() {
			least = broken
		}
	}
	return least
}

const driftPart = 10 // a fleet that differs by more than one in so many is another

func oddUpTo(n int) int { return n - (n+1)%2 }

func (a *Accord) staying(there []ID) (n int) {
	for _, id := range there {
		if a.view.Member(id).State != Leaving {
			n++
		}
	}
	return n
}

// next is the fleet of those who are there. Voters that stay keep their places, the others go to the lives that began
// first, one zone after the other, so that the loss of a zone takes as few as can be.
func (a *Accord) next(there []ID) Fleet {
	f := Fleet{Epoch: max(a.highest, a.fleet.Epoch) + 1, Count: a.staying(there), Born: a.fleet.Born}
	if a.forms() || a.Renew {
		f.Born = f.Epoch
	}
	f.Lease = max(a.terms.Lease, timeunit.Milliseconds(f.Count)*leaseForEach)
	most := oddUpTo(min(f.Count, a.terms.Voters))
	zones := map[string]int{}
	add := func(m *Member) {
		f.Voters = append(f.Voters, Voter{m.ID, m.Address})
		zones[m.Zone]++
	}
	var rest []*Member
	for _, id := range there {
		switch m := a.view.Member(id); {
		case m.State == Leaving:
		case a.fleet.voter(id) && len(f.Voters) < most:
			add(m)
		default:
			rest = append(rest, m)
		}
	}
	for len(f.Voters) < most && len(rest) > 0 {
		i := 0
		for j, m := range rest {
			if cmp.Or(cmp.Compare(zones[m.Zone], zones[rest[i].Zone]), cmp.Compare(m.Life, rest[i].Life)) < 0 {
				i = j
			}
		}
		add(rest[i])
		rest = slices.Delete(rest, i, i+1)
	}
	slices.SortFunc(f.Voters, func(x, y Voter) int { return x.Compare(y.ID) })
	return f
}

const leaseForEach timeunit.Milliseconds = 5 // ms of a lease for each member, so that what voters are asked stays flat
