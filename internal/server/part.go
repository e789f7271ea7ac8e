package server

import "github.com/rs/zerolog"

// part is an optional subsystem as the event loop sees it. The loop calls its methods, on its own goroutine and in the
// order of optionalParts. A part that is off is not in Server.parts and costs a batch nothing.
//
// What a part does for a single request (a fair share, plug-ins' verdicts, an intent record, leave for a call) is asked
// of its type directly, at the point of the request's path where it belongs.
type part interface {
	// isEnabled reports whether the configuration has the part on.
	isEnabled() bool

	// start is called once, when the loop runs.
	start()

	// beforeDispatch is called in every batch before admission dispatches, once there is an admission server.
	beforeDispatch()

	// afterDispatch is called in every batch after admission dispatched and before connections are written.
	afterDispatch()

	// reconfigure takes the part's section of a new configuration into Server.config and acts on it. It is also called
	// on parts that are off, as this may turn them on.
	reconfigure(next *Config)

	// drain is called when a shutdown begins, before admission hears of it.
	drain()

	// addState adds to the line on the server's state that is logged now and then.
	addState(event *zerolog.Event)
}

// partDefaults implements the calls of part that do nothing in most parts.
type partDefaults struct{}

func (partDefaults) start()                  {}
func (partDefaults) beforeDispatch()         {}
func (partDefaults) afterDispatch()          {}
func (partDefaults) reconfigure(*Config)     {}
func (partDefaults) drain()                  {}
func (partDefaults) addState(*zerolog.Event) {}

// optionalParts returns all optional subsystems in the order in which the loop calls them. The order matters: plug-ins
// start before gossip, gossip says that the server drains before recovery saves what it learned, and quota starts last.
func (s *Server) optionalParts() [5]part {
	return [...]part{&s.fairQueue, &s.plugins, &s.gossip, &s.recovery, &s.quota}
}

// collectParts finds which parts are on.
func (s *Server) collectParts() {
	s.parts = s.parts[:0]
	for _, candidate := range s.optionalParts() {
		if candidate.isEnabled() {
			s.parts = append(s.parts, candidate)
		}
	}
}
