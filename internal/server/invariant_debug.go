//go:build debug

// This file owns what happens when something that must hold does not: in debug builds the program stops at
// once. It must never be the way that bad input is answered.
package server

func (*Server) checkInvariant(holds bool, what string) {
	if !holds {
		panic("invariant broken: " + what)
	}
}
