package admission

import (
	"thistlequay/internal/golden"
	"thistlequay/timeunit"
)

// silentHost does nothing when it is notified. Tests whose server commands more of its host embed it and add that.
type silentHost struct{ Host }

func (silentHost) CloseIdleConnections(timeunit.Ticks)   {}
func (silentHost) SetHealth(bool, bool)                  {}
func (silentHost) Reject(*Request, timeunit.Ticks, bool) {}
func (silentHost) Release(*Request)                      {}

// recorder forwards a server's commands to another host and adds each to a history: a number that stands for the method,
// the request's ID and all arguments. Floating-point figures are added as printed exactly, so the golden files hold for
// machines that round each product by itself (amd64).
type recorder struct {
	Host
	history *golden.History
}

func (rec recorder) Run(r *Request) {
	rec.history.Add(1, r.ID)
	rec.Host.Run(r)
}

func (rec recorder) ShareResult(r *Request) {
	rec.history.Add(2, r.ID)
	rec.Host.ShareResult(r)
}

func (rec recorder) Reject(r *Request, retryAfter timeunit.Ticks, finalRejection bool) {
	rec.history.Add(3, r.ID, int64(retryAfter), finalRejection)
	rec.Host.Reject(r, retryAfter, finalRejection)
}

func (rec recorder) Abort(r *Request) {
	rec.history.Add(4, r.ID)
	rec.Host.Abort(r)
}

func (rec recorder) StopRun(r *Request) {
	rec.history.Add(5, r.ID)
	rec.Host.StopRun(r)
}

func (rec recorder) StartCall(r *Request, until timeunit.Ticks) {
	rec.history.Add(6, r.ID, int64(until))
	rec.Host.StartCall(r, until)
}

func (rec recorder) SkipCall(r *Request) {
	rec.history.Add(7, r.ID)
	rec.Host.SkipCall(r)
}

func (rec recorder) KeepEntry(r *Request, lifetime timeunit.Ticks) {
	rec.history.Add(8, r.ID, int64(lifetime))
	rec.Host.KeepEntry(r, lifetime)
}

func (rec recorder) DropEntry(r *Request) {
	rec.history.Add(9, r.ID)
	rec.Host.DropEntry(r)
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

func (rec recorder) Release(r *Request) {
	rec.history.Add(14, r.ID)
	rec.Host.Release(r)
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
