package server

import "github.com/rs/zerolog"

// subsystem is the event loop's interface to an optional subsystem. The loop calls the methods of the enabled
// subsystems on its own goroutine, in the order of optionalSubsystems. Disabled subsystems are not in
// Server.enabledSubsystems and add no cost to a batch.
//
// Work for a single request (reservations, plug-in verdicts, intent records, quota for a call) does not go through this
// interface. The code that handles requests calls the concrete types directly.
type subsystem interface {
	// isEnabled reports whether the configuration enables the subsystem.
	isEnabled() bool

	// start is called once, when the event loop has started.
	start()

	// beforeDispatch is called in each batch before admission dispatches, from when the interpreter is up.
	beforeDispatch()

	// afterDispatch is called in each batch after admission has dispatched and before connections are written.
	afterDispatch()

	// reconfigure copies the subsystem's section of a new configuration to Server.config and applies it. It is also
	// called on disabled subsystems, because the new configuration may enable them.
	reconfigure(next *Config)

	// drain is called when a shutdown begins, before admission is notified of it.
	drain()

	// addState adds fields to the periodic log event on the server's state.
	addState(event *zerolog.Event)
}

// subsystemDefaults provides empty implementations of the methods of subsystem that most subsystems do not need.
type subsystemDefaults struct{}

func (subsystemDefaults) start()                  {}
func (subsystemDefaults) beforeDispatch()         {}
func (subsystemDefaults) afterDispatch()          {}
func (subsystemDefaults) reconfigure(*Config)     {}
func (subsystemDefaults) drain()                  {}
func (subsystemDefaults) addState(*zerolog.Event) {}

// optionalSubsystems returns all subsystems, enabled or not, in the order in which the loop calls them. The order
// matters: plug-ins start before gossip, gossip announces a drain before recovery saves the warm-start state, and quota
// starts last.
func (s *Server) optionalSubsystems() [5]subsystem {
	return [...]subsystem{&s.fairQueue, &s.plugins, &s.gossip, &s.recovery, &s.quota}
}

// collectEnabledSubsystems sets s.enabledSubsystems to the subsystems that the configuration enables.
func (s *Server) collectEnabledSubsystems() {
	s.enabledSubsystems = s.enabledSubsystems[:0]
	for _, candidate := range s.optionalSubsystems() {
		if candidate.isEnabled() {
			s.enabledSubsystems = append(s.enabledSubsystems, candidate)
		}
	}
}
