// Package hooks decides about plug-ins: which are asked about a work item and in which order, for how long, what of their
// verdicts counts, and when one is not asked any more.
//
// This file owns the grants and the walk of a work item through the plug-ins. It knows no clock but what it is told, runs
// no plug-in and does no I/O. It must never let a plug-in have what it was not granted, however it asks.
package chain

import (
	"math/rand"

	"thistlequay/timeunit"
)

// Point is where a plug-in is asked.
type Point int

const (
	Read   Point = iota // a work item has been read and not been taken yet
	Result              // its run ended well and has not been answered yet
	Tick                // at intervals, about nothing
)

// Otherwise is what becomes of a work item whose plug-in gave no verdict.
type Otherwise int

const (
	Pass    Otherwise = iota // it goes on as if the plug-in had said nothing
	Decline                  // it is declined; only where it never ran
)

// Grant is what one plug-in may do. Its place in the list is its place in the order.
type Grant struct {
	Name       string
	At         [3]bool         // by Point
	Categories []bool          // whose work items it sees, by category
	Tenants    map[string]bool // and of whom; all where empty
	Declines   bool
	To         []bool // categories that it may have work items treated as
	Tags       bool
	Rewrites   bool
	Call       timeunit.Ticks // the most that one call may take
	Share      float64        // and of the time that the work item has left, with all others together
	Core       float64        // share of a core that it may use, over a second
	Every      timeunit.Ticks // between ticks
	Otherwise  Otherwise
	Alone      bool // faults at one tenant's work items count against it there first
	Row        int  // faults in a row that end in quarantine
	Rate       float64
	Wait       timeunit.Ticks // the first quarantine; each next is twice as long
	Longest    timeunit.Ticks
}

// Item is what the walk needs to know of a work item.
type Item struct {
	Category int
	Tenant   string
	Left     timeunit.Ticks // that its caller still waits
	Fixed    bool           // it is stamped or one-shot: its category is its identity
}

// Verdict is what a plug-in says, as it came: nothing in it has been believed yet.
type Verdict struct {
	Decline  bool
	Status   int
	Category int // to be treated as, -1 for as it is
	Tag      string
	HasTag   bool
	Body     []byte // instead of the result, where Replace
	Replace  bool
}

// Fault is why there is no verdict, or none that counts.
type Fault int

const (
	Late     Fault = iota // it took too long and was cut
	Trap                  // it broke by itself
	Nonsense              // what it said cannot be meant
	Beyond                // it asked for what it was not granted
	Died                  // the process that runs plug-ins ended under it
	Absent                // it is not there now, or has used its share: no fault of this call
)

// Words for logs, by Fault.
var Words = [...]string{"late", "trap", "nonsense", "beyond its grant", "its process died", "absent"}

const (
	mostTag     = 64
	leastStatus = 400 // statuses of its own for a decline: what the caller did, or 503
	endStatus   = 500
	busy        = 503
	longestWalk = 2_500 // all calls for one work item at one point: 250 ms
)

// Chain is the plug-ins of one version of the settings. Work items end on the chain that they began on.
type Chain struct {
	Plugins []*Plugin
	Under   int // walks that are not over
}

// Plugin is one of a chain, with what is known of how it does.
type Plugin struct {
	Grant
	Place int
	*Conduct
}

// NewChain makes a chain of grants. A name that was in the chain before goes on with the conduct it had there, unless
// fresh says that it is another one now.
func NewChain(grants []Grant, before *Chain, fresh func(name string) bool, chance *rand.Rand, now timeunit.Ticks) *Chain {
	c := &Chain{}
	for i, g := range grants {
		p := &Plugin{Grant: g, Place: i}
		if before != nil && !fresh(g.Name) {
			for _, old := range before.Plugins {
				if old.Name == g.Name {
					p.Conduct = old.Conduct
				}
			}
		}
		if p.Conduct == nil {
			p.Conduct = newConduct(chance, now)
		}
		c.Plugins = append(c.Plugins, p)
	}
	return c
}

// sees says whether a plug-in is to be asked about a work item.
func (p *Plugin) sees(at Point, it *Item) bool {
	return p.At[at] && it.Category < len(p.Categories) && p.Categories[it.Category] &&
		(len(p.Tenants) == 0 || p.Tenants[it.Tenant])
}

// Asked says whether any is.
func (c *Chain) Asked(at Point, it *Item) bool {
	if c == nil {
		return false
	}
	for _, p := range c.Plugins {
		if p.sees(at, it) {
			return true
		}
	}
	return false
}

// Walk is one work item's way through a chain at one point.
type Walk struct {
	chain *Chain
	at    Point
	item  Item
	next  int
	until timeunit.Ticks
	asked *Plugin

	// What came of it.
	Declined bool
	Status   int
	Category int
	Tag      string
	Body     []byte // the result as it is now
	Rewrote  bool
}

// Begin begins one. Body is the result, at that point.
func (c *Chain) Begin(at Point, it Item, body []byte, now timeunit.Ticks) *Walk {
	c.Under++
	return &Walk{chain: c, at: at, item: it, until: now + min(longestWalk, it.Left/2), Category: it.Category, Body: body}
}

// Tick has a plug-in asked about nothing; nil where it may not be asked now.
func (c *Chain) Tick(p *Plugin, now timeunit.Ticks) *Walk {
	if !p.may("", now, &p.Grant) {
		return nil
	}
	c.Under++
	return &Walk{chain: c, at: Tick, next: len(c.Plugins), asked: p, Category: -1}
}

// Item is what the walk is about.
func (w *Walk) Item() Item { return w.item }

// Next gives the plug-in to be asked now and how long it may take; none when the walk is over. A plug-in that may not be
// asked is passed over as its settings say.
func (w *Walk) Next(now timeunit.Ticks) (p *Plugin, within timeunit.Ticks) {
	for w.next < len(w.chain.Plugins) && !w.Declined {
		p := w.chain.Plugins[w.next]
		w.next++
		if !p.sees(w.at, &w.item) {
			continue
		}
		within = min(p.Call, timeunit.Ticks(float64(w.item.Left)*p.Share), w.until-now)
		if within <= 0 || !p.may(w.item.Tenant, now, &p.Grant) {
			w.otherwise(p)
			continue
		}
		w.asked = p
		return p, within
	}
	w.chain.Under--
	w.chain = &Chain{Under: 1} // a walk ends once
	return nil, 0
}

func (w *Walk) otherwise(p *Plugin) {
	if p.Otherwise == Decline && w.at == Read {
		w.Declined, w.Status = true, busy
	}
}

// Failed: no verdict came. It says whether the plug-in went into quarantine by it.
func (w *Walk) Failed(f Fault, took, now timeunit.Ticks) (quarantined bool) {
	p := w.asked
	if w.asked = nil; p == nil {
		return false
	}
	w.otherwise(p)
	return p.judge(w.item.Tenant, f, true, took, now, &p.Grant)
}

// Said takes a verdict. What was not granted, or cannot be meant, is a fault and counts for nothing, all of it.
func (w *Walk) Said(v Verdict, took, now timeunit.Ticks) (f Fault, wrong, quarantined bool) {
	p := w.asked
	if p == nil {
		return 0, false, false
	}
	if f, wrong = p.check(w, &v); wrong {
		return f, true, w.Failed(f, took, now)
	}
	w.asked = nil
	if v.HasTag {
		w.Tag = v.Tag
	}
	if v.Category >= 0 {
		w.Category = v.Category
	}
	if v.Replace {
		w.Body, w.Rewrote = v.Body, true
	}
	if v.Decline {
		w.Declined, w.Status = true, v.Status
	}
	return 0, false, p.judge(w.item.Tenant, 0, false, took, now, &p.Grant)
}

// check holds a verdict against the grant and against the rules that stand above all grants.
func (p *Plugin) check(w *Walk, v *Verdict) (f Fault, wrong bool) {
	switch {
	case v.Decline && (v.Status < leastStatus || v.Status >= endStatus) && v.Status != busy:
		return Nonsense, true
	case len(v.Tag) > mostTag, v.Category >= len(p.To):
		return Nonsense, true
	case v.Replace && len(v.Body) >= len(w.Body): // shorter, so that no bound on results is met anew
		return Nonsense, true
	case v.Decline && (!p.Declines || w.at != Read): // what ran is never declined
		return Beyond, true
	case v.Category >= 0 && (w.at != Read || !p.To[v.Category] || w.item.Fixed):
		return Beyond, true
	case v.HasTag && !p.Tags, v.Replace && (!p.Rewrites || w.at != Result):
		return Beyond, true
	}
	return 0, false
}
