//go:build debug

package server

// checkInvariant panics if an invariant is violated (debug builds). It must not be used to handle invalid input.
func (*Server) checkInvariant(holds bool, what string) {
	if !holds {
		panic("invariant violated: " + what)
	}
}
