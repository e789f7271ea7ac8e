package admission

import (
	"thistlequay/internal/golden"
	"thistlequay/timeunit"
)

// noopHost ignores the calls of every server. Hosts of tests embed it and implement the other methods that they need.
type noopHost struct{ Host }

func (noopHost) CloseIdleConnections(timeunit.Ticks)   {}
func (noopHost) SetHealth(bool, bool)                  {}
func (noopHost) Reject(*Request, timeunit.Ticks, bool) {}
func (noopHost) Release(*Request)                      {}

// recorder forwards a server's commands to another host and records each in a history: a number for the method, the ID
// of the request and all arguments. Floating-point values are recorded exactly, so the golden files are valid only on
// machines that round each product separately (amd64).
type recorder struct {
	Host
	history *golden.History
}

func (rec recorder) Run(r *Request)           { forward(rec, 1, rec.Host.Run, r, r.ID) }
func (rec recorder) ShareResult(r *Request)   { forward(rec, 2, rec.Host.ShareResult, r, r.ID) }
func (rec recorder) Abort(r *Request)         { forward(rec, 4, rec.Host.Abort, r, r.ID) }
func (rec recorder) StopRun(r *Request)       { forward(rec, 5, rec.Host.StopRun, r, r.ID) }
func (rec recorder) SkipCall(r *Request)      { forward(rec, 7, rec.Host.SkipCall, r, r.ID) }
func (rec recorder) DropEntry(r *Request)     { forward(rec, 9, rec.Host.DropEntry, r, r.ID) }
func (rec recorder) ReportLoad(value float64) { forward(rec, 10, rec.Host.ReportLoad, value, value) }
func (rec recorder) SetTimer(after timeunit.Ticks) {
	forward(rec, 13, rec.Host.SetTimer, after, int64(after))
}
func (rec recorder) Release(r *Request) { forward(rec, 14, rec.Host.Release, r, r.ID) }

func (rec recorder) CloseIdleConnections(after timeunit.Ticks) {
	forward(rec, 12, rec.Host.CloseIdleConnections, after, int64(after))
}

// forward records a command that has one argument and forwards it.
func forward[T any](rec recorder, method int, command func(T), argument T, recorded any) {
	rec.history.Add(method, recorded)
	command(argument)
}

func (rec recorder) Reject(r *Request, retryAfter timeunit.Ticks, finalRejection bool) {
	rec.history.Add(3, r.ID, int64(retryAfter), finalRejection)
	rec.Host.Reject(r, retryAfter, finalRejection)
}

func (rec recorder) StartCall(r *Request, until timeunit.Ticks) {
	rec.history.Add(6, r.ID, int64(until))
	rec.Host.StartCall(r, until)
}

func (rec recorder) KeepEntry(r *Request, lifetime timeunit.Ticks) {
	rec.history.Add(8, r.ID, int64(lifetime))
	rec.Host.KeepEntry(r, lifetime)
}

func (rec recorder) SetHealth(healthy, cacheable bool) {
	rec.history.Add(11, healthy, cacheable)
	rec.Host.SetHealth(healthy, cacheable)
}

// addStats records all figures that a server reports about itself.
func (rec recorder) addStats(s *Server) {
	stats := s.Stats()
	callsInFlight, waiting := s.DownstreamCalls()
	rec.history.Add(20, stats.Queued, stats.Running, stats.WaitingAtCalls, stats.CallsInFlight, stats.AbandonedCalls,
		stats.Entries, stats.Limit, stats.DownstreamLimit, stats.DownstreamCredit, stats.RunnableRequests,
		int64(stats.UnreadTime), int64(stats.RoundTrip), int64(stats.CallTime), int64(stats.QuickCallTime),
		stats.MemoryKB, s.VirtualTime(), s.IsWarmingUp(), callsInFlight, waiting)
}

// addWarmStart records the warm-start state for the next incarnation of a server.
func (rec recorder) addWarmStart(state WarmStartState) {
	rec.history.Add(21, state.Limit, state.QuickCallTimes)
	for i := range state.RunTimes {
		rec.history.Add(state.RunTimes[i], state.QuietRunTimes[i])
	}
}
