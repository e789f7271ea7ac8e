package server

import "github.com/rs/zerolog"

// part is the event loop's interface to an optional subsystem. The loop calls the methods of the enabled parts on its
// own goroutine, in the order of optionalParts. Disabled parts are not in Server.parts and add no cost to a batch.
//
// Work for a single request (reservations, plug-in verdicts, intent records, quota for a call) does not go through this
// interface. The code that handles requests calls the concrete types directly.
type part interface {
	// isEnabled reports whether the configuration enables the part.
	isEnabled() bool

	// start is called once, when the event loop has started.
	start()

	// beforeDispatch is called in each batch before admission dispatches, from when the interpreter is up.
	beforeDispatch()

	// afterDispatch is called in each batch after admission has dispatched and before connections are written.
	afterDispatch()

	// reconfigure copies the part's section of a new configuration to Server.config and applies it. It is also called
	// on disabled parts, because the new configuration may enable them.
	reconfigure(next *Config)

	// drain is called when a shutdown begins, before admission is notified of it.
	drain()

	// addState adds fields to the periodic log event on the server's state.
	addState(event *zerolog.Event)
}

// partDefaults provides empty implementations of the methods of part that most parts do not need.
type partDefaults struct{}

func (partDefaults) start()                  {}
func (partDefaults) beforeDispatch()         {}
func (partDefaults) afterDispatch()          {}
func (partDefaults) reconfigure(*Config)     {}
func (partDefaults) drain()                  {}
func (partDefaults) addState(*zerolog.Event) {}

// optionalParts returns all parts, enabled or not, in the order in which the loop calls them. The order matters:
// plug-ins start before gossip, gossip announces a drain before recovery saves the warm-start state, and quota starts
// last.
func (s *Server) optionalParts() [5]part {
	return [...]part{&s.fairQueue, &s.plugins, &s.gossip, &s.recovery, &s.quota}
}

// collectParts sets s.parts to the parts that are enabled.
func (s *Server) collectParts() {
	s.parts = s.parts[:0]
	for _, candidate := range s.optionalParts() {
		if candidate.isEnabled() {
			s.parts = append(s.parts, candidate)
		}
	}
}
