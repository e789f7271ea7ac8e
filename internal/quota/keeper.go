// Package shares divides the limits of a whole fleet among its servers: grants with an end, so that the sum in force never
// exceeds the whole, and so that what one cannot use goes to another.
//
// This file owns the keeper's side: what is granted, to whom, until when it counts, and who gets how much next. It knows no
// socket, no clock and no goroutine. What it decides is an entry that all keepers apply in one order; only the one that was
// elected decides, and times are its own. It must never count a grant as over before it is so on every clock.
package quota

import (
	"cmp"
	"maps"
	"slices"

	"thistlequay/timeunit"
)

// Amount is a part of a limit in thousandths of its unit: whole numbers, so that sums are exact.
type Amount int64

// Unit is one call in hand, or one call a second.
const Unit Amount = 1000

// Terms are what one limit is kept by, the same at all keepers and servers.
type Terms struct {
	Whole  Amount
	Floor  Amount                // what each slot may use without asking, for ever; of the whole, what is not floors is granted
	Slots  int                   // servers that may exist; 0 floors for others
	Length timeunit.Milliseconds // of a grant, from when it was asked for
	Linger timeunit.Milliseconds // how long what was begun under a grant may outlast it
	Drift  float64               // how much faster one clock may run than another, as a part
	Least  Amount                // a newcomer's first part, as far as there is room
	Still  float64               // a wish that differs from the grant by less than this part moves nothing
	Rate   bool                  // units a second, not in hand
	Grain  Amount                // grants are whole numbers of this; 0 where any amount will do
}

// Sane says whether the terms can hold: floors for all slots leave something of the whole.
func (t *Terms) Sane() bool {
	return t.Whole > 0 && t.Floor >= 0 && t.Slots >= 0 && Amount(t.Slots)*t.Floor <= t.Whole && t.Length > 0 && t.Linger >= 0 &&
		t.Drift >= 0 && t.Drift < 0.5 && t.Least >= 0 && t.Still >= 0 && t.Still < 1
}

// Free is what of the whole is granted, floors taken off.
func (t *Terms) free() Amount { return t.Whole - Amount(t.Slots)*t.Floor }

// Entry is one decision, as keepers apply it: from now on so much is granted to a server, under a number that grows; or the
// whole is another.
type Entry struct {
	Server string `cbor:"1,keyasint,omitempty"`
	Serial uint64 `cbor:"2,keyasint,omitempty"`
	Amount Amount `cbor:"3,keyasint,omitempty"`
	Whole  Amount `cbor:"4,keyasint,omitempty"` // of an entry that names no server
	Over   bool   `cbor:"5,keyasint,omitempty"` // the grant is over on every clock: only now others may have it
	Limit  int    `cbor:"6,keyasint,omitempty"` // of which limit, in a Decision
}

// Request is what a server asks, a few times in the length of a grant.
type Request struct {
	Server string                `cbor:"1,keyasint"`
	Asked  timeunit.Milliseconds `cbor:"2,keyasint"` // by the server's clock, given back as it came
	Holds  uint64                `cbor:"3,keyasint"` // the number of the grant that it keeps to, with all that it has in hand
	Wants  Amount                `cbor:"4,keyasint"` // beyond its floor
	Needs  Amount                `cbor:"6,keyasint"` // of that, what it would surely use: the rest is room to grow, where nobody needs it
	Log    uint64                `cbor:"5,keyasint"` // whose number that is
}

// Answer is what it is told.
type Answer struct {
	Asked  timeunit.Milliseconds `cbor:"1,keyasint"`
	Serial uint64                `cbor:"2,keyasint"`
	Amount Amount                `cbor:"3,keyasint"`
	Length timeunit.Milliseconds `cbor:"4,keyasint"`
	Log    uint64                `cbor:"5,keyasint"` // serials of different logs are not to be compared
}

// grant is what a server may hold: every amount under a number that it may not have left yet counts.
type grant struct {
	serial uint64
	amount Amount
	older  []older
	until  timeunit.Milliseconds // by the elected keeper's clock; nothing of it is usable after
	wants  Amount
	needs  Amount
	heard  timeunit.Milliseconds // when it last asked
}

type older struct {
	serial uint64
	amount Amount
}

// counts is the most that the server may be using.
func (g *grant) counts() Amount {
	most := g.amount
	for _, o := range g.older {
		most = max(most, o.amount)
	}
	return most
}

// Keeper is one keeper's state of one limit.
type Keeper struct {
	terms   Terms
	log     uint64
	target  Amount // the whole as it was set last; terms.Whole is what is in force
	grants  map[string]*grant
	serial  uint64
	elected bool
	now     timeunit.Milliseconds
	pending map[string]Amount // decided and not applied yet
	set     Amount            // the whole that is to be, 0 for none: nothing is granted between its entry and its taking effect
	setting bool
}

// NewKeeper keeps a limit of which nothing is granted, by a log.
func NewKeeper(t Terms, log uint64) *Keeper {
	return &Keeper{terms: t, log: log, target: t.Whole, grants: map[string]*grant{}, pending: map[string]Amount{}}
}

func (k *Keeper) span() timeunit.Milliseconds {
	return timeunit.Milliseconds(float64(k.terms.Length)*(1+k.terms.Drift)) + k.terms.Linger + 1
}

// Elected: this keeper decides from now on, or no longer. It cannot know when grants were given out before, so all count for
// their whole length from now.
func (k *Keeper) Elected(is bool, now timeunit.Milliseconds) {
	k.elected, k.now, k.set, k.setting = is, now, 0, false
	clear(k.pending)
	for _, g := range k.grants {
		g.until, g.wants, g.needs, g.heard = now+k.span(), g.amount, g.amount, now
	}
}

// Apply takes an entry that was agreed on, in the order of all keepers.
func (k *Keeper) Apply(e Entry, now timeunit.Milliseconds) {
	k.now = max(k.now, now)
	if e.Server == "" {
		k.target, k.setting = max(e.Whole, Amount(k.terms.Slots)*k.terms.Floor), false // floors are used without asking
		k.settle()
		return
	}
	delete(k.pending, e.Server)
	k.serial = max(k.serial, e.Serial)
	g := k.grants[e.Server]
	if g == nil {
		g = &grant{}
		k.grants[e.Server] = g
	}
	if e.Over {
		if g.amount, g.older, g.serial = 0, nil, 0; !k.elected || k.now-g.heard > k.span() {
			delete(k.grants, e.Server)
		}
		k.settle()
		return
	}
	if g.amount > 0 {
		g.older = append(g.older, older{g.serial, g.amount})
	}
	g.serial, g.amount, g.until = e.Serial, e.Amount, k.now+k.span()
}

// settle has the whole in force follow what was set: larger at once, smaller as far as what is out allows.
func (k *Keeper) settle() {
	floors := Amount(k.terms.Slots) * k.terms.Floor
	k.terms.Whole = max(k.target, min(k.terms.Whole, floors+k.reserved()))
}

// Out is the sum of what may be in use beyond floors.
func (k *Keeper) Out() (sum Amount) {
	for _, g := range k.grants {
		sum += g.counts()
	}
	return sum
}

// reserved is that sum with all that is under way: a grant that was decided when an older one counted as much must still
// have its room when that one is over.
func (k *Keeper) reserved() (sum Amount) {
	sum = k.Out()
	for name, amount := range k.pending {
		sum += amount
		if g := k.grants[name]; g != nil {
			sum -= min(amount, g.counts())
		}
	}
	return sum
}

// Whole is what is in force: what was set, or more until old grants have run out.
func (k *Keeper) Whole() Amount { return k.terms.Whole }

// Set asks for another whole, at the keeper that is elected: larger at once, smaller as old grants run out.
func (k *Keeper) Set(whole Amount) { k.set = whole }

// Ask takes a server's request. The answer is what is granted now and holds from when it was asked; a change comes by
// Decide, and with a later answer. Without a grant there is no answer yet.
func (k *Keeper) Ask(r Request, now timeunit.Milliseconds) (a Answer, granted bool) {
	k.now = max(k.now, now)
	if !k.elected || r.Server == "" || r.Wants < 0 || r.Needs < 0 || r.Needs > r.Wants {
		return a, false
	}
	g := k.grants[r.Server]
	if g == nil {
		if len(k.grants) >= mostServers {
			return a, false
		}
		g = &grant{}
		k.grants[r.Server] = g
	}
	g.wants, g.needs, g.heard = min(r.Wants, k.terms.Whole), min(r.Needs, k.terms.Whole), k.now
	// What it says that it keeps to takes all older amounts off, as it has nothing in hand beyond it.
	if r.Log == k.log {
		g.older = slices.DeleteFunc(g.older, func(o older) bool { return o.serial < r.Holds || r.Holds == g.serial })
	}
	k.settle()
	if g.serial == 0 || k.isPending(r.Server) || g.until <= k.now {
		return a, false // none yet, or it is over and is being taken back
	}
	g.until = max(g.until, k.now+k.span())
	return Answer{Log: k.log, Asked: r.Asked, Serial: g.serial, Amount: g.amount, Length: k.terms.Length}, true
}

func (k *Keeper) isPending(server string) bool {
	_, is := k.pending[server]
	return is
}

const mostServers = 4096

// Decide gives what should be agreed on next: few changes, those that give back first, never more than is free by what is
// applied and what is under way. It is to be called some times in the length of a grant.
func (k *Keeper) Decide(now timeunit.Milliseconds) (entries []Entry) {
	k.now = max(k.now, now)
	if !k.elected || k.setting {
		return nil
	}
	if k.set > 0 { // by itself: a grant reckoned by the whole before must not come after it
		if len(k.pending) == 0 {
			entries, k.set, k.setting = []Entry{{Whole: k.set}}, 0, true
		}
		return entries
	}
	for _, name := range slices.Sorted(maps.Keys(k.grants)) {
		if g := k.grants[name]; g.until <= k.now && g.counts() > 0 && !k.isPending(name) {
			k.serial++
			k.pending[name] = 0
			entries = append(entries, Entry{Server: name, Serial: k.serial, Over: true})
		} else if g.counts() == 0 && k.now-g.heard > k.span() && !k.isPending(name) {
			delete(k.grants, name)
		}
	}
	aims := k.aims()
	room := min(k.target, k.terms.Whole) - Amount(k.terms.Slots)*k.terms.Floor - k.reserved()
	for _, name := range slices.Sorted(maps.Keys(k.grants)) {
		g, aim := k.grants[name], aims[name]
		off := aim - g.amount
		switch {
		case k.isPending(name) || len(g.older) >= mostOlder || off == 0:
			continue
		case off > 0 && g.serial > 0 && float64(off) < k.terms.Still*float64(g.amount):
			continue
		case off < 0 && float64(-off) < k.terms.Still*float64(g.amount) && aim > 0 && k.terms.Whole == k.target:
			continue
		case off > 0 && room < 0: // an older amount that counts here may be another's by now, as a keeper before this one knew
			continue
		case off > 0:
			more := aim - max(g.amount, g.counts())
			if more > room {
				aim = k.whole(aim - (more - max(0, room)))
			}
			if aim <= g.amount {
				continue
			}
			room -= max(0, aim-g.counts())
		}
		k.serial++
		k.pending[name] = aim
		entries = append(entries, Entry{Server: name, Serial: k.serial, Amount: aim})
	}
	return entries
}

func (k *Keeper) undecided(e Entry) {
	if e.Server == "" {
		k.set, k.setting = e.Whole, false
		return
	}
	delete(k.pending, e.Server)
}

const mostOlder = 4

// aims divides what is free: max-min among those who ask, by what they need, what is left of it by what they want.
func (k *Keeper) aims() map[string]Amount {
	aims := make(map[string]Amount, len(k.grants))
	left := max(0, k.target-Amount(k.terms.Slots)*k.terms.Floor)
	for _, wish := range []func(*grant) Amount{k.need, k.wish} {
		more := func(name string) Amount { return max(0, wish(k.grants[name])-aims[name]) }
		names := slices.Sorted(maps.Keys(k.grants))
		slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(more(a), more(b)) })
		for i, name := range names {
			part := k.whole(min(more(name), left/Amount(len(names)-i)))
			aims[name] += part
			left -= part
		}
	}
	return aims
}

// whole rounds down to what can be granted.
func (k *Keeper) whole(a Amount) Amount { return a - a%max(1, k.terms.Grain) }

// wish is what a server asks for, at least the first part: it cannot know what it could use before it has some.
func (k *Keeper) wish(g *grant) Amount { return k.up(max(g.wants, k.terms.Least)) }

// need is what it would surely use; a newcomer's is a first part, before it can know.
func (k *Keeper) need(g *grant) Amount {
	if g.needs == 0 && g.serial > 0 {
		return 0
	}
	return k.up(max(g.needs, k.terms.Least))
}

func (k *Keeper) up(a Amount) Amount { return k.whole(a + max(1, k.terms.Grain) - 1) }
