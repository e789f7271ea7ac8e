package admission

// WarmStartState holds what a server has learned and passes on to its next incarnation. The counts are those of
// histograms, by category and bin. The JSON keys are those of stored records and must not change.
type WarmStartState struct {
	// Limit is the concurrency limit.
	Limit float64 `json:"Pool"`

	// RunTimes holds the counts of run times by category.
	RunTimes [][]float64 `json:"Runs"`

	// QuietRunTimes holds the counts of run times on quiet cores by category.
	QuietRunTimes [][]float64 `json:"Quiet"`

	// QuickCallTimes holds the counts of downstream call times, measured while calls were not slow.
	QuickCallTimes []float64 `json:"Quick"`
}

// WarmStartState returns a copy of the current warm-start state.
func (s *Server) WarmStartState() WarmStartState {
	state := WarmStartState{
		Limit:          s.limiter.limit,
		QuickCallTimes: s.downstream.quickTimes.snapshot(),
	}
	for _, category := range s.categories {
		state.RunTimes = append(state.RunTimes, category.runTimes.snapshot())
		state.QuietRunTimes = append(state.QuietRunTimes, category.quietRunTimes.snapshot())
	}
	return state
}

// restore applies the warm-start state of an earlier incarnation, with a concurrency limit of at most maxLimit. The
// limits on memory, cores and calls do not depend on it: they follow from the configuration and from measurements.
func (s *Server) restore(state *WarmStartState, maxLimit float64) {
	if state == nil {
		return
	}
	s.limiter.limit = max(s.limiter.floor, min(state.Limit, maxLimit))
	s.downstream.quickTimes.restore(state.QuickCallTimes)
	restoredCategories := min(len(s.categories), len(state.RunTimes), len(state.QuietRunTimes))
	for i, category := range s.categories[:restoredCategories] {
		category.runTimes.restore(state.RunTimes[i])
		category.quietRunTimes.restore(state.QuietRunTimes[i])
	}
}
