// Package chain implements the rules of chain evaluation: which plug-ins are called for a request and in which order,
// how long each call may take, which verdicts are accepted, and when a misbehaving plug-in is quarantined.
//
// The package runs no plug-in, reads no clock and does no I/O: time and randomness are passed in, and the caller
// reports the outcome of each call. Nothing in it is safe for concurrent use; the event loop owns it. Whatever verdict
// a plug-in returns, it has no effect beyond what the plug-in's Policy permits.
package chain

import (
	"math/rand"

	"thistlequay/timeunit"
)

// Chain holds the plug-ins of one version of the configuration, in the order in which they are called. An evaluation
// stays with the chain on which it began, even if the configuration changes meanwhile.
type Chain struct {
	Plugins []*Plugin

	// OpenEvaluations is the number of evaluations that have begun but not ended.
	OpenEvaluations int
}

// Plugin is one plug-in of a chain, with its policy and its circuit breaker.
type Plugin struct {
	Policy
	*CircuitBreaker

	// Index is the plug-in's position in Chain.Plugins.
	Index int
}

// New returns a chain of plug-ins with the given policies. A plug-in whose name was in the prior chain keeps its
// circuit breaker, unless isNew reports that the name now refers to a different plug-in. If prior is nil, isNew is not
// called.
func New(policies []Policy, prior *Chain, isNew func(name string) bool, random *rand.Rand, now timeunit.Ticks) *Chain {
	c := &Chain{}
	for i, policy := range policies {
		plugin := &Plugin{Policy: policy, Index: i}
		if prior != nil && !isNew(policy.Name) {
			plugin.CircuitBreaker = prior.circuitBreaker(policy.Name)
		}
		if plugin.CircuitBreaker == nil {
			plugin.CircuitBreaker = newCircuitBreaker(random, now)
		}
		c.Plugins = append(c.Plugins, plugin)
	}
	return c
}

// circuitBreaker returns the circuit breaker of the plug-in with the given name, or nil if there is none.
func (c *Chain) circuitBreaker(name string) *CircuitBreaker {
	for _, plugin := range c.Plugins {
		if plugin.Name == name {
			return plugin.CircuitBreaker
		}
	}
	return nil
}

// Applies reports whether any plug-in is to be called for a request at a hook. A nil chain has no plug-ins.
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
