// Package ledger decides whose turn it is at the door: what each tenant's part of a server's work is, how far ahead of
// it a tenant is, and when one that was turned away has room again.
//
// This file owns the books on tenants and their claims. It knows no clock but what it is told, does no I/O and starts
// nothing. It must never say what is taken, run or declined: it hands out turns, which the admission module orders by.
//
// The turn of a work item is a start tag of start-time fair queueing (Goyal, Vin and Cheng, 1996): what its tenant's
// work items have been charged, over the tenant's weight, but no further back than a burst behind the turn that
// the server has come to. A work item is charged an estimate when it comes and what it really took when its run ends.
package fairqueue

import (
	"math/rand"

	"github.com/zeebo/xxh3"

	"thistlequay/timeunit"
)

// Tenant is one that is known by name.
type Tenant struct {
	Name  string
	Share float64 // its weight, above 0; only ratios count
}

// Terms are what the books are kept by.
type Terms struct {
	Tenants   []Tenant
	Others    float64          // weight of all that are not named, together; above 0
	Newcomers float64          // part of that, above 0 and under 1, for those without a history
	Books     int              // that are kept exactly for tenants not named, the heaviest
	Groups    int              // that all others are hashed into
	Burst     timeunit.Ticks   // of the whole server's work: what may be had at once after a rest
	History   timeunit.Ticks   // a tenant must have been asking for so long to get a book
	Reshuffle timeunit.Ticks   // the groups are made anew after this
	Cores     int              // what the server has
	Contracts []timeunit.Ticks // contract times by category: runs are first taken to need a small part of them
}

const (
	beat     = 2_500     // rates are measured and the books looked through this often: 250 ms
	keep     = 0.75      // part of a measured rate that is left after a beat
	forget   = 0.96      // and of what a tenant has used: half in about four seconds
	guessed  = 1.0 / 16  // part of the contract time that a run is taken to need until some have been measured
	learning = 1.0 / 8   // weight of the newest in a running mean
	slowly   = 1.0 / 64  // and in one over all tenants
	dearest  = 64        // a tenant's runs are not expected to take more than so many usual ones
	displace = 2         // a newcomer must have used so many times what the lightest book has
	tracked  = 256       // candidates for a book
	lightest = 1.0 / 256 // what has used less of a core's beat is not kept for its own sake
)

// Ledger is the books of one server.
type Ledger struct {
	terms  Terms
	chance *rand.Rand
	now    timeunit.Ticks
	turn   float64

	named  map[string]*account
	heavy  map[uint64]*account // by hash, so that a book costs the same whatever the name
	groups []account
	order  []*account // of named and heavy, that no decision hangs on the order of a map
	seed   uint64     // of the hash that tells tenants apart
	salt   uint64     // of the hash that puts them into groups
	salted timeunit.Ticks
	heard  candidates

	clock   float64 // core time that one run had which never waited
	on      int     // runs that want a core
	usual   []float64
	beaten  timeunit.Ticks
	work    float64 // charged since the last beat
	rate    float64 // core time a tenth that the server gets done while some wait
	sum     float64 // of all weights
	weights float64 // of those active
	heavies int     // of these that have a book though they are not named
	groupsN int     // of these groups
	turned  bool    // somebody was turned away since the last beat
	sources map[string]*source
}

type kind int

const (
	named kind = iota
	heavy
	group
)

// account is the book of a tenant or of a group of them.
type account struct {
	ledger *Ledger
	kind   kind
	share  float64 // of a named one
	hash   uint64
	finish float64 // the turn after all that it was charged
	inHand int     // claims open
	runs   int     // of these running
	began  float64 // sum of their beginnings by the ledger's clock
	booked float64 // and of their estimates
	cost   float64 // what its runs take, in usual ones
	since  float64 // work charged since the last beat
	rate   float64 // of late, a tenth
	total  float64 // work charged here from the start
	beside float64 // work given elsewhere since the last beat: turns go by it too
	used   float64 // of late
	seen   timeunit.Ticks
	active bool
	told   timeunit.Ticks // the last return time that was told
}

// New opens the books. The hash that tells tenants apart and all spreading come from chance.
func New(t Terms, chance *rand.Rand, now timeunit.Ticks) *Ledger {
	l := &Ledger{chance: chance, now: now, beaten: now, salted: now, named: map[string]*account{},
		heavy: map[uint64]*account{}, sources: map[string]*source{}, seed: chance.Uint64(), salt: chance.Uint64(), heard: newCandidates(tracked)}
	l.rate = float64(t.Cores)
	for _, c := range t.Contracts {
		l.usual = append(l.usual, max(1, float64(c)*guessed))
	}
	l.keep(t)
	return l
}

// Change takes up other terms, for the same cores and categories. Tenants that stay keep their books; claims of those that go end on the books they began on.
func (l *Ledger) Change(t Terms, now timeunit.Ticks) {
	l.at(now)
	t.Cores = l.terms.Cores
	l.keep(t)
}

func (l *Ledger) keep(t Terms) {
	before := l.named
	l.terms, l.named, l.order, l.sum = t, map[string]*account{}, nil, t.Others
	for _, known := range t.Tenants {
		l.sum += known.Share
	}
	for _, known := range t.Tenants {
		a := before[known.Name]
		if a == nil {
			a = l.account(named)
		}
		a.share = known.Share
		l.named[known.Name] = a
		l.order = append(l.order, a)
		if h := xxh3.HashStringSeed(known.Name, l.seed); l.heavy[h] != nil {
			a.finish = l.heavy[h].finish // it was not named until now
			delete(l.heavy, h)
		}
	}
	if len(l.groups) != t.Groups {
		l.groups = make([]account, t.Groups)
		for i := range l.groups {
			l.groups[i] = *l.account(group)
		}
	}
	for _, a := range before {
		a.active = false
	}
	// Those that keep a book stand behind the named ones, the heaviest first.
	rest := make([]*account, 0, len(l.heavy))
	for _, a := range l.heavy {
		rest = append(rest, a)
	}
	byUse(rest)
	for i, a := range rest {
		if i < t.Books {
			l.order = append(l.order, a)
		} else {
			delete(l.heavy, a.hash)
		}
	}
	l.count()
}

func (l *Ledger) account(k kind) *account {
	return &account{ledger: l, kind: k, finish: l.Floor(l.turn), cost: 1, seen: -1 << 60}
}

// burst is how far turns go back: the work of a burst, as if all had a part in it.
func (l *Ledger) burst() float64 {
	return float64(l.terms.Burst) * float64(l.terms.Cores) / l.sum
}

// Floor is the turn of a tenant that had nothing of late: no more than a burst is kept from times of rest.
func (l *Ledger) Floor(turn float64) float64 { return turn - l.burst() }

// find gives the book that a tenant's work items are charged to.
func (l *Ledger) find(tenant []byte) (a *account, hash uint64) {
	if a := l.named[string(tenant)]; a != nil {
		return a, 0
	}
	hash = xxh3.HashSeed(tenant, l.seed)
	if a := l.heavy[hash]; a != nil {
		return a, hash
	}
	// Two that meet in a group part when the groups are made anew.
	mixed := (hash ^ l.salt) * 0x9e3779b97f4a7c15
	return &l.groups[mixed>>32%uint64(len(l.groups))], hash
}

// weight is a tenant's part of the server's work against the others'. Those not named share one part, newcomers a
// bounded part of that: a fresh name buys nothing.
func (a *account) weight() float64 {
	t := &a.ledger.terms
	switch a.kind {
	case named:
		return a.share
	case heavy:
		return t.Others * (1 - t.Newcomers) / float64(max(1, a.ledger.heavies))
	}
	return t.Others * t.Newcomers / float64(max(1, a.ledger.groupsN))
}

// part is the core time a tenth that the tenant may count on: its part among the active ones, or what it gets where
// others leave theirs.
func (a *account) part(gets float64) float64 {
	l, w := a.ledger, a.weight()
	return max(gets, l.rate*w/max(w, l.weights), 1e-9)
}

// lasting is what it got in seconds rather than of late: what is promised must not follow a moment.
func (a *account) lasting() float64 { return a.used * (1 - forget) / beat }

// at moves the clocks on.
func (l *Ledger) at(now timeunit.Ticks) {
	if now > l.now {
		l.clock += float64(now-l.now) * min(1, float64(l.terms.Cores)/float64(max(1, l.on)))
		l.now = now
	}
	if l.now-l.beaten >= beat {
		l.measure()
	}
}

// measure is the beat: rates, who is active, who gets a book and who loses it, new groups.
func (l *Ledger) measure() {
	beats := float64(l.now-l.beaten) / beat
	span := float64(l.now - l.beaten)
	l.beaten = l.now
	if l.turned { // only then the server did all that it could
		l.rate = min(float64(l.terms.Cores), max(l.rate*keep+l.work/span*(1-keep), float64(l.terms.Cores)*lightest))
	} else {
		l.rate = max(l.rate, l.work/span)
	}
	l.work, l.turned = 0, false
	fade := keep
	for range min(int(beats), 20) - 1 {
		fade *= keep
	}
	old := forget
	for range min(int(beats), 400) - 1 {
		old *= forget
	}
	for _, a := range l.order {
		a.settle(span, fade, old)
	}
	for i := range l.groups {
		l.groups[i].settle(span, fade, old)
	}
	l.heard.fade(old)
	l.promote()
	if l.now-l.salted >= l.terms.Reshuffle {
		l.salt, l.salted = l.chance.Uint64(), l.now
	}
	l.count()
}

func (a *account) settle(span, fade, old float64) {
	a.rate = a.rate*fade + (a.since+a.beside)/span*(1-fade)
	a.used = (a.used + a.since) * old
	a.since, a.beside = 0, 0
}

// count finds who is active: those that have something in hand or asked since two beats.
func (l *Ledger) count() {
	l.heavies, l.groupsN, l.weights = 0, 0, 0
	look := func(a *account) {
		if a.active = a.inHand > 0 || l.now-a.seen < 2*beat; a.active && a.kind == heavy {
			l.heavies++
		} else if a.active && a.kind == group {
			l.groupsN++
		}
	}
	for _, a := range l.order {
		look(a)
	}
	for i := range l.groups {
		look(&l.groups[i])
	}
	for _, a := range l.order {
		if a.active {
			l.weights += a.weight()
		}
	}
	for i := range l.groups {
		if a := &l.groups[i]; a.active {
			l.weights += a.weight()
		}
	}
}
