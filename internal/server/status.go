package server

import (
	"math"
	"math/bits"

	"github.com/rs/zerolog"

	"thistlequay/timeunit"
)

// stateLogInterval is the time between two log events on the server's state.
const stateLogInterval = 20 * second

// logState logs the server's state, saves the warm-start state and sets the timer for the next call.
func (s *Server) logState() {
	event := s.log.Event("state").Int("requests", s.requests.count()).Int("connections", s.routers.openCount).
		Int("idempotency_entries", len(s.requests.entries)).Int("downstream_calls", s.index.inFlight).
		Int64("gauges_age_ms", s.interpreter.gaugeAges.percentile99().Milliseconds()).
		Int64("timer_late_ms", s.timerLateness.percentile99().Milliseconds()).
		Int("interpreter_links", s.interpreter.linkCount).Int("directory_reports_missed", s.directory.missedReports).
		Int("bad_peers", s.badPeers).Int("unread_closed", s.unreadClosed).Int("connections_evicted", s.routers.evicted).
		Int("late_responses", s.lateResponses)
	for _, optional := range s.enabledSubsystems {
		optional.addState(event)
	}
	s.addAdmissionState(event)
	event.Send()
	s.recovery.saveWarmStart()
	s.setTimer(&s.stateTimer, s.now+stateLogInterval)
}

// addAdmissionState adds the statistics of admission and the index's connection pool to a log event, if the interpreter
// is up.
func (s *Server) addAdmissionState(event *zerolog.Event) {
	if s.admission == nil {
		return
	}
	stats := s.admission.Stats()
	event.Int("queued", stats.Queued).Int("running", stats.Running).Int("awaiting_downstream", stats.WaitingAtCalls).
		Int("downstream_in_flight", stats.CallsInFlight).Int("abandoned_calls", stats.AbandonedCalls).
		Int("admission_idempotency_entries", stats.Entries).Float64("concurrency_limit", stats.Limit).
		Float64("downstream_limit", stats.DownstreamLimit).
		Float64("downstream_limit_left", stats.DownstreamCredit).Float64("on_cores", stats.RunnableRequests).
		Int64("read_delay_ms", stats.UnreadTime.Milliseconds()).Int64("round_trip_ms", stats.RoundTrip.Milliseconds()).
		Int64("downstream_latency_recent_ms", stats.CallTime.Milliseconds()).
		Int64("downstream_latency_baseline_ms", stats.QuickCallTime.Milliseconds()).
		Float64("reserved_kb", math.Round(stats.MemoryKB)).Int("pooled_connections", s.index.connections).
		Int("downstream_calls_waiting", len(s.index.waiting))
}

// countAndSample increments a counter and reports whether the event should be logged, which is at each power of two.
func countAndSample(count *int) bool {
	*count++
	return *count&(*count-1) == 0
}

const (
	lagBuckets    = 20   // the last bucket holds everything from 2^18 ticks (26 s) on
	maxLagSamples = 4096 // number of samples at which all counts are halved, so that old samples lose weight
)

// lagHistogram is a histogram of short durations with a bucket per power of two.
type lagHistogram struct {
	total   int
	buckets [lagBuckets]int
}

// add records a duration. A negative one counts as 0.
func (h *lagHistogram) add(lag timeunit.Ticks) {
	bucket := min(bits.Len64(uint64(max(0, lag))), len(h.buckets)-1)
	h.buckets[bucket]++
	h.total++
	if h.total < maxLagSamples {
		return
	}
	h.total = 0
	for i := range h.buckets {
		h.buckets[i] /= 2
		h.total += h.buckets[i]
	}
}

// percentile99 returns an upper bound, a power of two, of the 99th percentile. It returns 0 for an empty histogram.
func (h *lagHistogram) percentile99() timeunit.Ticks {
	remaining := h.total / 100
	for i := len(h.buckets) - 1; i > 0; i-- {
		remaining -= h.buckets[i]
		if remaining < 0 {
			return 1 << i
		}
	}
	return 0
}
