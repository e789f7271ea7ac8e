package admission

import (
	"thistlequay/internal/golden"
	"thistlequay/timeunit"
)

// silentHost ignores what it is notified of. Hosts of tests embed it and add the methods that their servers call too.
type silentHost struct{ Host }

func (silentHost) CloseIdleConnections(timeunit.Ticks)   {}
func (silentHost) SetHealth(bool, bool)                  {}
func (silentHost) Reject(*Request, timeunit.Ticks, bool) {}
func (silentHost) Release(*Request)                      {}

// recorder forwards a server's commands to another host and adds each to a history: a number that stands for the
// method, the request's ID and all arguments. Floating-point figures are added as printed exactly, so the golden files
// hold for machines that round each product by itself (amd64).
type recorder struct {
	Host
	history *golden.History
}

func (rec recorder) Run(r *Request)         { rec.forward(1, r, rec.Host.Run) }
func (rec recorder) ShareResult(r *Request) { rec.forward(2, r, rec.Host.ShareResult) }
func (rec recorder) Abort(r *Request)       { rec.forward(4, r, rec.Host.Abort) }
func (rec recorder) StopRun(r *Request)     { rec.forward(5, r, rec.Host.StopRun) }
func (rec recorder) SkipCall(r *Request)    { rec.forward(7, r, rec.Host.SkipCall) }
func (rec recorder) DropEntry(r *Request)   { rec.forward(9, r, rec.Host.DropEntry) }
func (rec recorder) Release(r *Request)     { rec.forward(14, r, rec.Host.Release) }

// forward records and forwards a command that has no arguments but its request.
func (rec recorder) forward(method int, r *Request, command func(*Request)) {
	rec.history.Add(method, r.ID)
	command(r)
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

func (rec recorder) ReportLoad(value float64) {
	rec.history.Add(10, value)
	rec.Host.ReportLoad(value)
}

func (rec recorder) SetHealth(healthy, fromStore bool) {
	rec.history.Add(11, healthy, fromStore)
	rec.Host.SetHealth(healthy, fromStore)
}

func (rec recorder) CloseIdleConnections(after timeunit.Ticks) {
	rec.history.Add(12, int64(after))
	rec.Host.CloseIdleConnections(after)
}

func (rec recorder) SetTimer(after timeunit.Ticks) {
	rec.history.Add(13, int64(after))
	rec.Host.SetTimer(after)
}

// addStats adds all figures that a server reports about itself.
func (rec recorder) addStats(s *Server) {
	stats := s.Stats()
	callsInFlight, waiting := s.DownstreamCalls()
	rec.history.Add(20, stats.Queued, stats.Running, stats.WaitingAtCalls, stats.CallsInFlight, stats.AbandonedCalls,
		stats.Entries, stats.Limit, stats.DownstreamLimit, stats.DownstreamCredit, stats.RunnableRequests,
		int64(stats.UnreadTime), int64(stats.RoundTrip), int64(stats.CallTime), int64(stats.QuickCallTime),
		stats.MemoryKB, s.VirtualTime(), s.IsWarmingUp(), callsInFlight, waiting)
}

// addWarmStart adds the state that a server would leave to its next incarnation.
func (rec recorder) addWarmStart(state WarmStartState) {
	rec.history.Add(21, state.Limit, state.QuickCallTimes)
	for i := range state.RunTimes {
		rec.history.Add(state.RunTimes[i], state.QuietRunTimes[i])
	}
}
