package admission

// WarmStartState is what a server has found out that its next incarnation need not find out again. Its counts
// are those of histograms, by category and bin. The JSON keys are those of stored records and stay as they
// are.
type WarmStartState struct {
	// Limit is the concurrency limit.
	Limit float64 `json:"Pool"`

	// RunTimes are the counts of run times by category.
	RunTimes [][]float64 `json:"Runs"`

	// QuietRunTimes are the counts of run times on quiet cores by category.
	QuietRunTimes [][]float64 `json:"Quiet"`

	// QuickCallTimes are the counts of times of downstream calls while they were not slow.
	QuickCallTimes []float64 `json:"Quick"`
}

// WarmStartState returns a copy of what the server has found out so far.
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

// restore takes what an earlier incarnation found out, its concurrency limit up to maxLimit. The guards of
// memory, cores and calls hold whatever it says: they go by what this server is configured with and measures.
func (s *Server) restore(state *WarmStartState, maxLimit float64) {
	if state == nil {
		return
	}
	s.limiter.limit = max(s.limiter.floor, min(state.Limit, maxLimit))
	s.downstream.quickTimes.restore(state.QuickCallTimes)
	known := min(len(s.categories), len(state.RunTimes), len(state.QuietRunTimes))
	for i, category := range s.categories[:known] {
		category.runTimes.restore(state.RunTimes[i])
		category.quietRunTimes.restore(state.QuietRunTimes[i])
	}
}
