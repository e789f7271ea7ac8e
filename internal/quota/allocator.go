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

// LimitConfig are what one limit is kept by, the same at all keepers and servers.
type LimitConfig struct {
	Total             Amount
	GuaranteedMinimum Amount                // what each slot may use without asking, for ever; of the whole, what is not floors is granted
	Slots             int                   // servers that may exist; 0 floors for others
	LeaseDuration     timeunit.Milliseconds // of a grant, from when it was asked for
	GracePeriod       timeunit.Milliseconds // how long what was begun under a grant may outlast it
	ClockDrift        float64               // how much faster one clock may run than another, as a part
	InitialAmount     Amount                // a newcomer's first part, as far as there is room
	Hysteresis        float64               // a wish that differs from the grant by less than this part moves nothing
	IsRate            bool                  // units a second, not in hand
	Granularity       Amount                // grants are whole numbers of this; 0 where any amount will do
}

// Sane says whether the terms can hold: floors for all slots leave something of the whole.
func (t *LimitConfig) Sane() bool {
	return t.Total > 0 && t.GuaranteedMinimum >= 0 && t.Slots >= 0 && Amount(t.Slots)*t.GuaranteedMinimum <= t.Total && t.LeaseDuration > 0 && t.GracePeriod >= 0 &&
		t.ClockDrift >= 0 && t.ClockDrift < 0.5 && t.InitialAmount >= 0 && t.Hysteresis >= 0 && t.Hysteresis < 1
}

// Free is what of the whole is granted, floors taken off.
func (t *LimitConfig) allocatable() Amount { return t.Total - Amount(t.Slots)*t.GuaranteedMinimum }

// Change is one decision, as keepers apply it: from now on so much is granted to a server, under a number that grows; or the
// whole is another.
type Change struct {
	Server       string `cbor:"1,keyasint,omitempty"`
	LeaseVersion uint64 `cbor:"2,keyasint,omitempty"`
	Amount       Amount `cbor:"3,keyasint,omitempty"`
	Total        Amount `cbor:"4,keyasint,omitempty"` // of an entry that names no server
	Expired      bool   `cbor:"5,keyasint,omitempty"` // the grant is over on every clock: only now others may have it
	LimitIndex   int    `cbor:"6,keyasint,omitempty"` // of which limit, in a Decision
}

// LimitRequest is what a server asks, a few times in the length of a grant.
type LimitRequest struct {
	Server      string                `cbor:"1,keyasint"`
	RequestedAt timeunit.Milliseconds `cbor:"2,keyasint"` // by the server's clock, given back as it came
	HeldVersion uint64                `cbor:"3,keyasint"` // the number of the grant that it keeps to, with all that it has in hand
	Desired     Amount                `cbor:"4,keyasint"` // beyond its floor
	Required    Amount                `cbor:"6,keyasint"` // of that, what it would surely use: the rest is room to grow, where nobody needs it
	LogID       uint64                `cbor:"5,keyasint"` // whose number that is
}

// LimitResponse is what it is told.
type LimitResponse struct {
	RequestedAt   timeunit.Milliseconds `cbor:"1,keyasint"`
	LeaseVersion  uint64                `cbor:"2,keyasint"`
	Amount        Amount                `cbor:"3,keyasint"`
	LeaseDuration timeunit.Milliseconds `cbor:"4,keyasint"`
	LogID         uint64                `cbor:"5,keyasint"` // serials of different logs are not to be compared
}

// lease is what a server may hold: every amount under a number that it may not have left yet counts.
type lease struct {
	version       uint64
	amount        Amount
	previous      []previousLease
	expiresAt     timeunit.Milliseconds // by the elected keeper's clock; nothing of it is usable after
	desired       Amount
	required      Amount
	lastRequestAt timeunit.Milliseconds // when it last asked
}

type previousLease struct {
	version uint64
	amount  Amount
}

// outstanding is the most that the server may be using.
func (g *lease) outstanding() Amount {
	most := g.amount
	for _, o := range g.previous {
		most = max(most, o.amount)
	}
	return most
}

// Allocator is one keeper's state of one limit.
type Allocator struct {
	config             LimitConfig
	logID              uint64
	targetTotal        Amount // the whole as it was set last; terms.Whole is what is in force
	leases             map[string]*lease
	lastVersion        uint64
	isLeader           bool
	now                timeunit.Milliseconds
	pending            map[string]Amount // decided and not applied yet
	requestedTotal     Amount            // the whole that is to be, 0 for none: nothing is granted between its entry and its taking effect
	totalChangePending bool
}

// NewAllocator keeps a limit of which nothing is granted, by a log.
func NewAllocator(t LimitConfig, log uint64) *Allocator {
	return &Allocator{config: t, logID: log, targetTotal: t.Total, leases: map[string]*lease{}, pending: map[string]Amount{}}
}

func (k *Allocator) maxLeaseSpan() timeunit.Milliseconds {
	return timeunit.Milliseconds(float64(k.config.LeaseDuration)*(1+k.config.ClockDrift)) + k.config.GracePeriod + 1
}

// SetLeader: this keeper decides from now on, or no longer. It cannot know when grants were given out before, so all count for
// their whole length from now.
func (k *Allocator) SetLeader(is bool, now timeunit.Milliseconds) {
	k.isLeader, k.now, k.requestedTotal, k.totalChangePending = is, now, 0, false
	clear(k.pending)
	for _, g := range k.leases {
		g.expiresAt, g.desired, g.required, g.lastRequestAt = now+k.maxLeaseSpan(), g.amount, g.amount, now
	}
}

// Apply takes an entry that was agreed on, in the order of all keepers.
func (k *Allocator) Apply(e Change, now timeunit.Milliseconds) {
	k.now = max(k.now, now)
	if e.Server == "" {
		k.targetTotal, k.totalChangePending = max(e.Total, Amount(k.config.Slots)*k.config.GuaranteedMinimum), false // floors are used without asking
		k.updateEffectiveTotal()
		return
	}
	delete(k.pending, e.Server)
	k.lastVersion = max(k.lastVersion, e.LeaseVersion)
	g := k.leases[e.Server]
	if g == nil {
		g = &lease{}
		k.leases[e.Server] = g
	}
	if e.Expired {
		if g.amount, g.previous, g.version = 0, nil, 0; !k.isLeader || k.now-g.lastRequestAt > k.maxLeaseSpan() {
			delete(k.leases, e.Server)
		}
		k.updateEffectiveTotal()
		return
	}
	if g.amount > 0 {
		g.previous = append(g.previous, previousLease{g.version, g.amount})
	}
	g.version, g.amount, g.expiresAt = e.LeaseVersion, e.Amount, k.now+k.maxLeaseSpan()
}

// updateEffectiveTotal has the whole in force follow what was set: larger at once, smaller as far as what is out allows.
func (k *Allocator) updateEffectiveTotal() {
	floors := Amount(k.config.Slots) * k.config.GuaranteedMinimum
	k.config.Total = max(k.targetTotal, min(k.config.Total, floors+k.reserved()))
}

// Outstanding is the sum of what may be in use beyond floors.
func (k *Allocator) Outstanding() (sum Amount) {
	for _, g := range k.leases {
		sum += g.outstanding()
	}
	return sum
}

// reserved is that sum with all that is under way: a grant that was decided when an older one counted as much must still
// have its room when that one is over.
func (k *Allocator) reserved() (sum Amount) {
	sum = k.Outstanding()
	for name, amount := range k.pending {
		sum += amount
		if g := k.leases[name]; g != nil {
			sum -= min(amount, g.outstanding())
		}
	}
	return sum
}

// EffectiveTotal is what is in force: what was set, or more until old grants have run out.
func (k *Allocator) EffectiveTotal() Amount { return k.config.Total }

// RequestTotal asks for another whole, at the keeper that is elected: larger at once, smaller as old grants run out.
func (k *Allocator) RequestTotal(whole Amount) { k.requestedTotal = whole }

// HandleRequest takes a server's request. The answer is what is granted now and holds from when it was asked; a change comes by
// Decide, and with a later answer. Without a grant there is no answer yet.
func (k *Allocator) HandleRequest(r LimitRequest, now timeunit.Milliseconds) (a LimitResponse, granted bool) {
	k.now = max(k.now, now)
	if !k.isLeader || r.Server == "" || r.Desired < 0 || r.Required < 0 || r.Required > r.Desired {
		return a, false
	}
	g := k.leases[r.Server]
	if g == nil {
		if len(k.leases) >= maxServers {
			return a, false
		}
		g = &lease{}
		k.leases[r.Server] = g
	}
	g.desired, g.required, g.lastRequestAt = min(r.Desired, k.config.Total), min(r.Required, k.config.Total), k.now
	// What it says that it keeps to takes all older amounts off, as it has nothing in hand beyond it.
	if r.LogID == k.logID {
		g.previous = slices.DeleteFunc(g.previous, func(o previousLease) bool { return o.version < r.HeldVersion || r.HeldVersion == g.version })
	}
	k.updateEffectiveTotal()
	if g.version == 0 || k.isPending(r.Server) || g.expiresAt <= k.now {
		return a, false // none yet, or it is over and is being taken back
	}
	g.expiresAt = max(g.expiresAt, k.now+k.maxLeaseSpan())
	return LimitResponse{LogID: k.logID, RequestedAt: r.RequestedAt, LeaseVersion: g.version, Amount: g.amount, LeaseDuration: k.config.LeaseDuration}, true
}

func (k *Allocator) isPending(server string) bool {
	_, is := k.pending[server]
	return is
}

const maxServers = 4096

// NextChanges gives what should be agreed on next: few changes, those that give back first, never more than is free by what is
// applied and what is under way. It is to be called some times in the length of a grant.
func (k *Allocator) NextChanges(now timeunit.Milliseconds) (entries []Change) {
	k.now = max(k.now, now)
	if !k.isLeader || k.totalChangePending {
		return nil
	}
	if k.requestedTotal > 0 { // by itself: a grant reckoned by the whole before must not come after it
		if len(k.pending) == 0 {
			entries, k.requestedTotal, k.totalChangePending = []Change{{Total: k.requestedTotal}}, 0, true
		}
		return entries
	}
	for _, name := range slices.Sorted(maps.Keys(k.leases)) {
		if g := k.leases[name]; g.expiresAt <= k.now && g.outstanding() > 0 && !k.isPending(name) {
			k.lastVersion++
			k.pending[name] = 0
			entries = append(entries, Change{Server: name, LeaseVersion: k.lastVersion, Expired: true})
		} else if g.outstanding() == 0 && k.now-g.lastRequestAt > k.maxLeaseSpan() && !k.isPending(name) {
			delete(k.leases, name)
		}
	}
	aims := k.targetAmounts()
	room := min(k.targetTotal, k.config.Total) - Amount(k.config.Slots)*k.config.GuaranteedMinimum - k.reserved()
	for _, name := range slices.Sorted(maps.Keys(k.leases)) {
		g, aim := k.leases[name], aims[name]
		off := aim - g.amount
		switch {
		case k.isPending(name) || len(g.previous) >= maxPreviousLeases || off == 0:
			continue
		case off > 0 && g.version > 0 && float64(off) < k.config.Hysteresis*float64(g.amount):
			continue
		case off < 0 && float64(-off) < k.config.Hysteresis*float64(g.amount) && aim > 0 && k.config.Total == k.targetTotal:
			continue
		case off > 0 && room < 0: // an older amount that counts here may be another's by now, as a keeper before this one knew
			continue
		case off > 0:
			more := aim - max(g.amount, g.outstanding())
			if more > room {
				aim = k.roundDown(aim - (more - max(0, room)))
			}
			if aim <= g.amount {
				continue
			}
			room -= max(0, aim-g.outstanding())
		}
		k.lastVersion++
		k.pending[name] = aim
		entries = append(entries, Change{Server: name, LeaseVersion: k.lastVersion, Amount: aim})
	}
	return entries
}

func (k *Allocator) proposalFailed(e Change) {
	if e.Server == "" {
		k.requestedTotal, k.totalChangePending = e.Total, false
		return
	}
	delete(k.pending, e.Server)
}

const maxPreviousLeases = 4

// targetAmounts divides what is free: max-min among those who ask, by what they need, what is left of it by what they want.
func (k *Allocator) targetAmounts() map[string]Amount {
	aims := make(map[string]Amount, len(k.leases))
	left := max(0, k.targetTotal-Amount(k.config.Slots)*k.config.GuaranteedMinimum)
	for _, wish := range []func(*lease) Amount{k.requiredAmount, k.desiredAmount} {
		more := func(name string) Amount { return max(0, wish(k.leases[name])-aims[name]) }
		names := slices.Sorted(maps.Keys(k.leases))
		slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(more(a), more(b)) })
		for i, name := range names {
			part := k.roundDown(min(more(name), left/Amount(len(names)-i)))
			aims[name] += part
			left -= part
		}
	}
	return aims
}

// roundDown rounds down to what can be granted.
func (k *Allocator) roundDown(a Amount) Amount { return a - a%max(1, k.config.Granularity) }

// desiredAmount is what a server asks for, at least the first part: it cannot know what it could use before it has some.
func (k *Allocator) desiredAmount(g *lease) Amount {
	return k.roundUp(max(g.desired, k.config.InitialAmount))
}

// requiredAmount is what it would surely use; a newcomer's is a first part, before it can know.
func (k *Allocator) requiredAmount(g *lease) Amount {
	if g.required == 0 && g.version > 0 {
		return 0
	}
	return k.roundUp(max(g.required, k.config.InitialAmount))
}

func (k *Allocator) roundUp(a Amount) Amount {
	return k.roundDown(a + max(1, k.config.Granularity) - 1)
}
