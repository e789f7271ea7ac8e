// Package chain decides about plug-ins: which ones see a request and in which order, how long each may take, which of
// their verdicts count, and when a plug-in that misbehaves is not called any more.
//
// The package runs no plug-in, reads no clock and does no I/O: time and randomness are passed in, and the caller
// reports what each call came to. Nothing in it is safe for concurrent use; the event loop owns it. A plug-in never
// gets more than its Policy permits, whatever it answers.
package chain

import (
	"math/rand"

	"thistlequay/timeunit"
)

// Chain is the plug-ins of one version of the configuration, in the order in which they are called. An evaluation ends
// on the chain that it began on.
type Chain struct {
	Plugins []*Plugin

	// OpenEvaluations is the number of evaluations that have begun and not ended.
	OpenEvaluations int
}

// Plugin is one plug-in of a chain: what it may do, and how it has been doing.
type Plugin struct {
	Policy
	*CircuitBreaker

	// Index is its place in Chain.Plugins.
	Index int
}

// New returns a chain of plug-ins with the given policies. A plug-in that was in the chain before under the same name
// keeps its circuit breaker, unless isNew says that the name now stands for another plug-in. The chain before may be
// nil.
func New(policies []Policy, before *Chain, isNew func(name string) bool, random *rand.Rand, now timeunit.Ticks) *Chain {
	c := &Chain{}
	for i, policy := range policies {
		plugin := &Plugin{Policy: policy, Index: i}
		if !isNew(policy.Name) {
			plugin.CircuitBreaker = before.circuitBreaker(policy.Name)
		}
		if plugin.CircuitBreaker == nil {
			plugin.CircuitBreaker = newCircuitBreaker(random, now)
		}
		c.Plugins = append(c.Plugins, plugin)
	}
	return c
}

// circuitBreaker returns the circuit breaker of the plug-in of that name, or nil.
func (c *Chain) circuitBreaker(name string) *CircuitBreaker {
	if c == nil {
		return nil
	}
	for _, plugin := range c.Plugins {
		if plugin.Name == name {
			return plugin.CircuitBreaker
		}
	}
	return nil
}

// Applies reports whether any plug-in is to be called about a request at a hook. A nil chain has none.
func (c *Chain) Applies(hook Hook, request *Request) bool {
	if c == nil {
		return false
	}
	for _, plugin := range c.Plugins {
		if plugin.appliesTo(hook, request) {
			return true
		}
	}
	return false
}
