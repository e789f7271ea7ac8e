package server

import (
	"math"
	"math/bits"
	"thistlequay/timeunit"

	"github.com/rs/zerolog"
)

const (
	stateLogInterval = 20 * second
)

// logState logs how it stands, now and then.
func (a *Server) logState() {
	a.log.Event("state").Int("requests", a.requests.count()).Int("connections", a.routers.openCount).Int("idempotency_entries", len(a.requests.entries)).
		Int("downstream_calls", a.index.inFlight).Int64("gauges_age_ms", int64(a.interpreter.gaugeAges.percentile99()/10)).
		Int64("timer_late_ms", int64(a.timerLateness.percentile99()/10)).Int("interpreter_links", a.interpreter.linkCount).
		Int("directory_reports_missed", a.directory.missedReports).Int("bad_peers", a.badPeers).Int("unread_closed", a.unreadClosed).
		Int("connections_evicted", a.routers.evicted).Func(func(e *zerolog.Event) {
		if a.fairScheduler != nil {
			f := a.fairScheduler.Stats()
			e.Int("fair_flows", f.HeavyHitters).Int("fair_shared_flows", f.ActiveSharedFlows).Int("fair_candidates", f.Candidates).
				Int("fair_core_percent", int(100*f.ServiceRate))
		}
		a.plugins.logState(e)
		a.recovery.logState(e)
		a.quota.logState(e)
	}).Func(a.logAdmissionState).Send()
	a.recovery.saveWarmStart()
	a.setTimer(&a.stateTimer, a.now+stateLogInterval)
}

// logAdmissionState adds how the module's books stand.
func (a *Server) logAdmissionState(e *zerolog.Event) {
	if a.admission == nil {
		return
	}
	b := a.admission.Stats()
	e.Int("queued", b.Queued).Int("running", b.Running).Int("awaiting_downstream", b.WaitingAtCalls).Int("downstream_in_flight", b.CallsInFlight).Int("abandoned_calls", b.AbandonedCalls).
		Int("admission_idempotency_entries", b.Entries).Float64("concurrency_limit", b.Limit).Float64("downstream_limit", b.DownstreamLimit).Float64("downstream_limit_left", b.DownstreamCredit).
		Float64("on_cores", b.RunnableRequests).Int64("read_delay_ms", int64(b.UnreadTime/10)).Int64("round_trip_ms", int64(b.RoundTrip/10)).
		Int64("downstream_latency_recent_ms", int64(b.CallTime/10)).Int64("downstream_latency_baseline_ms", int64(b.QuickCallTime/10)).
		Float64("reserved_kb", math.Round(b.MemoryKB)).Int("pooled_connections", a.index.connections).Int("downstream_calls_waiting", len(a.index.waiting))
}

// countAndSample counts and says whether that is worth a line in the log: at each power of two.
func countAndSample(count *int) bool {
	*count++
	return *count&(*count-1) == 0
}

// lagHistogram is a histogram of short times, by powers of two, halved when it is full.
type lagHistogram struct {
	total   int
	buckets [20]int
}

func (l *lagHistogram) add(t timeunit.Ticks) {
	l.buckets[min(bits.Len64(uint64(max(0, t))), len(l.buckets)-1)]++
	if l.total++; l.total >= 4096 {
		l.total = 0
		for i := range l.buckets {
			l.buckets[i] /= 2
			l.total += l.buckets[i]
		}
	}
}

// percentile99 gives what 99 in 100 stayed under.
func (l *lagHistogram) percentile99() timeunit.Ticks {
	left := l.total / 100
	for i := len(l.buckets) - 1; i > 0; i-- {
		if left -= l.buckets[i]; left < 0 {
			return 1 << i
		}
	}
	return 0
}
