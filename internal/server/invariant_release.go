//go:build !debug

package server

// checkInvariant counts and logs when something that must hold does not; in release builds it never stops the program.
// Each count that is a power of two is logged.
func (s *Server) checkInvariant(holds bool, what string) {
	if !holds && countAndSample(&s.brokenInvariants) {
		s.log.Event("invariant_violated").Str("what", what).Int("count", s.brokenInvariants).Send()
	}
}
