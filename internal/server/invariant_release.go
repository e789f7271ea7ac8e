//go:build !debug

// This file owns what happens when something that must hold does not: in release builds it is counted and
// logged, each count that is a power of two. It must never stop the program.
package server

func (a *Server) checkInvariant(holds bool, what string) {
	if !holds && countAndSample(&a.brokenInvariants) {
		a.log.Event("invariant_violated").Str("what", what).Int("count", a.brokenInvariants).Send()
	}
}
