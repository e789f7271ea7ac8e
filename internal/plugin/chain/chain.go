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

// Hook is where a plug-in is asked.
type Hook int

const (
	HookRead   Hook = iota // a work item has been read and not been taken yet
	HookResult             // its run ended well and has not been answered yet
	HookTick               // at intervals, about nothing
)

// FallbackPolicy is what becomes of a work item whose plug-in gave no verdict.
type FallbackPolicy int

const (
	FallbackPass   FallbackPolicy = iota // it goes on as if the plug-in had said nothing
	FallbackReject                       // it is declined; only where it never ran
)

// Policy is what one plug-in may do. Its place in the list is its place in the order.
type Policy struct {
	Name                 string
	Hooks                [3]bool         // by Point
	Categories           []bool          // whose work items it sees, by category
	Tenants              map[string]bool // and of whom; all where empty
	MayReject            bool
	TargetCategories     []bool // categories that it may have work items treated as
	MayTag               bool
	MayRewrite           bool
	CallTimeout          timeunit.Ticks // the most that one call may take
	MaxTimeFraction      float64        // and of the time that the work item has left, with all others together
	CoreFraction         float64        // share of a core that it may use, over a second
	TickInterval         timeunit.Ticks // between ticks
	Fallback             FallbackPolicy
	FaultsByTenant       bool // faults at one tenant's work items count against it there first
	MaxConsecutiveFaults int  // faults in a row that end in quarantine
	MaxFaultRate         float64
	MinQuarantine        timeunit.Ticks // the first quarantine; each next is twice as long
	MaxQuarantine        timeunit.Ticks
}

// Request is what the walk needs to know of a work item.
type Request struct {
	Category      int
	Tenant        string
	TimeLeft      timeunit.Ticks // that its caller still waits
	CategoryFixed bool           // it is stamped or one-shot: its category is its identity
}

// Verdict is what a plug-in says, as it came: nothing in it has been believed yet.
type Verdict struct {
	Reject   bool
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
	FaultTimeout      Fault = iota // it took too long and was cut
	FaultTrap                      // it broke by itself
	FaultMalformed                 // what it said cannot be meant
	FaultNotPermitted              // it asked for what it was not granted
	FaultProcessDied               // the process that runs plug-ins ended under it
	FaultUnavailable               // it is not there now, or has used its share: no fault of this call
)

// FaultNames for logs, by Fault.
var FaultNames = [...]string{"late", "trap", "nonsense", "beyond its grant", "its process died", "absent"}

const (
	maxTagLength      = 64
	minRejectStatus   = 400 // statuses of its own for a decline: what the caller did, or 503
	endRejectStatus   = 500
	statusUnavailable = 503
	maxEvaluationTime = 2_500 // all calls for one work item at one point: 250 ms
)

// Chain is the plug-ins of one version of the settings. Work items end on the chain that they began on.
type Chain struct {
	Plugins         []*Plugin
	OpenEvaluations int // walks that are not over
}

// Plugin is one of a chain, with what is known of how it does.
type Plugin struct {
	Policy
	Index int
	*CircuitBreaker
}

// New makes a chain of grants. A name that was in the chain before goes on with the conduct it had there, unless
// fresh says that it is another one now.
func New(grants []Policy, before *Chain, fresh func(name string) bool, chance *rand.Rand, now timeunit.Ticks) *Chain {
	c := &Chain{}
	for i, g := range grants {
		p := &Plugin{Policy: g, Index: i}
		if before != nil && !fresh(g.Name) {
			for _, old := range before.Plugins {
				if old.Name == g.Name {
					p.CircuitBreaker = old.CircuitBreaker
				}
			}
		}
		if p.CircuitBreaker == nil {
			p.CircuitBreaker = newCircuitBreaker(chance, now)
		}
		c.Plugins = append(c.Plugins, p)
	}
	return c
}

// appliesTo says whether a plug-in is to be asked about a work item.
func (p *Plugin) appliesTo(at Hook, it *Request) bool {
	return p.Hooks[at] && it.Category < len(p.Categories) && p.Categories[it.Category] &&
		(len(p.Tenants) == 0 || p.Tenants[it.Tenant])
}

// Applies says whether any is.
func (c *Chain) Applies(at Hook, it *Request) bool {
	if c == nil {
		return false
	}
	for _, p := range c.Plugins {
		if p.appliesTo(at, it) {
			return true
		}
	}
	return false
}

// Evaluation is one work item's way through a chain at one point.
type Evaluation struct {
	chain     *Chain
	hook      Hook
	request   Request
	nextIndex int
	deadline  timeunit.Ticks
	current   *Plugin

	// What came of it.
	Rejected  bool
	Status    int
	Category  int
	Tag       string
	Body      []byte // the result as it is now
	Rewritten bool
}

// Begin begins one. Body is the result, at that point.
func (c *Chain) Begin(at Hook, it Request, body []byte, now timeunit.Ticks) *Evaluation {
	c.OpenEvaluations++
	return &Evaluation{chain: c, hook: at, request: it, deadline: now + min(maxEvaluationTime, it.TimeLeft/2), Category: it.Category, Body: body}
}

// BeginTick has a plug-in asked about nothing; nil where it may not be asked now.
func (c *Chain) BeginTick(p *Plugin, now timeunit.Ticks) *Evaluation {
	if !p.allow("", now, &p.Policy) {
		return nil
	}
	c.OpenEvaluations++
	return &Evaluation{chain: c, hook: HookTick, nextIndex: len(c.Plugins), current: p, Category: -1}
}

// Request is what the walk is about.
func (w *Evaluation) Request() Request { return w.request }

// Next gives the plug-in to be asked now and how long it may take; none when the walk is over. A plug-in that may not be
// asked is passed over as its settings say.
func (w *Evaluation) Next(now timeunit.Ticks) (p *Plugin, within timeunit.Ticks) {
	for w.nextIndex < len(w.chain.Plugins) && !w.Rejected {
		p := w.chain.Plugins[w.nextIndex]
		w.nextIndex++
		if !p.appliesTo(w.hook, &w.request) {
			continue
		}
		within = min(p.CallTimeout, timeunit.Ticks(float64(w.request.TimeLeft)*p.MaxTimeFraction), w.deadline-now)
		if within <= 0 || !p.allow(w.request.Tenant, now, &p.Policy) {
			w.applyFallback(p)
			continue
		}
		w.current = p
		return p, within
	}
	w.chain.OpenEvaluations--
	w.chain = &Chain{OpenEvaluations: 1} // a walk ends once
	return nil, 0
}

func (w *Evaluation) applyFallback(p *Plugin) {
	if p.Fallback == FallbackReject && w.hook == HookRead {
		w.Rejected, w.Status = true, statusUnavailable
	}
}

// RecordFault: no verdict came. It says whether the plug-in went into quarantine by it.
func (w *Evaluation) RecordFault(f Fault, took, now timeunit.Ticks) (quarantined bool) {
	p := w.current
	if w.current = nil; p == nil {
		return false
	}
	w.applyFallback(p)
	return p.record(w.request.Tenant, f, true, took, now, &p.Policy)
}

// ApplyVerdict takes a verdict. What was not granted, or cannot be meant, is a fault and counts for nothing, all of it.
func (w *Evaluation) ApplyVerdict(v Verdict, took, now timeunit.Ticks) (f Fault, wrong, quarantined bool) {
	p := w.current
	if p == nil {
		return 0, false, false
	}
	if f, wrong = p.checkVerdict(w, &v); wrong {
		return f, true, w.RecordFault(f, took, now)
	}
	w.current = nil
	if v.HasTag {
		w.Tag = v.Tag
	}
	if v.Category >= 0 {
		w.Category = v.Category
	}
	if v.Replace {
		w.Body, w.Rewritten = v.Body, true
	}
	if v.Reject {
		w.Rejected, w.Status = true, v.Status
	}
	return 0, false, p.record(w.request.Tenant, 0, false, took, now, &p.Policy)
}

// checkVerdict holds a verdict against the grant and against the rules that stand above all grants.
func (p *Plugin) checkVerdict(w *Evaluation, v *Verdict) (f Fault, wrong bool) {
	switch {
	case v.Reject && (v.Status < minRejectStatus || v.Status >= endRejectStatus) && v.Status != statusUnavailable:
		return FaultMalformed, true
	case len(v.Tag) > maxTagLength, v.Category >= len(p.TargetCategories):
		return FaultMalformed, true
	case v.Replace && len(v.Body) >= len(w.Body): // shorter, so that no bound on results is met anew
		return FaultMalformed, true
	case v.Reject && (!p.MayReject || w.hook != HookRead): // what ran is never declined
		return FaultNotPermitted, true
	case v.Category >= 0 && (w.hook != HookRead || !p.TargetCategories[v.Category] || w.request.CategoryFixed):
		return FaultNotPermitted, true
	case v.HasTag && !p.MayTag, v.Replace && (!p.MayRewrite || w.hook != HookResult):
		return FaultNotPermitted, true
	}
	return 0, false
}
