//go:build debug

package server

// checkInvariant stops the program when something that must hold does not: in debug builds, at once. It must never be
// the way in which bad input is answered.
func (*Server) checkInvariant(holds bool, what string) {
	if !holds {
		panic("invariant broken: " + what)
	}
}
