//go:build !debug

package server

// checkInvariant counts the violations of invariants and logs each count that is a power of two. In release builds, a
// violation never stops the program.
func (s *Server) checkInvariant(holds bool, what string) {
	if !holds && countAndSample(&s.brokenInvariants) {
		s.log.Event("invariant_violated").Str("what", what).Int("count", s.brokenInvariants).Send()
	}
}
