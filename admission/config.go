package admission

import (
	"fmt"
	"strings"

	"thistlequay/timeunit"
)

// Idempotency states what a second run of a request would do.
type Idempotency int

// The zero value is Idempotent.
const (
	Idempotent    Idempotency = iota // can run any number of times
	Keyed                            // has an idempotency key: at most one run per server and deduplication window
	NonIdempotent                    // must never run twice
)

// LoadReportMode states how routers interpret the load report, a value that is sent to them with each answer.
type LoadReportMode int

// The zero value is ReportNothing.
const (
	ReportNothing     LoadReportMode = iota // no value is sent to routers
	ReportRank                              // routers send no requests that rank below the value
	ReportLimit                             // the value limits the requests of each router in flight here
	ReportProbability                       // the value is the probability of selecting this server
)

// Category describes one kind of request.
type Category struct {
	// Weight is the value of an answer within the soft deadline. Only the ratios between categories matter.
	Weight float64

	// LateValue is the fraction of Weight, from 0 to 1, that an answer between SoftDeadline and Deadline has.
	LateValue float64

	// DegradedValue is the fraction of Weight, from 0 to 1, that an answer made without the downstream call has. 0
	// means that the category has no degraded answers.
	DegradedValue float64

	// SoftDeadline is the latency objective, counted from when the request reached the machine.
	SoftDeadline timeunit.Ticks

	// Deadline is the longest time that a client waits, counted from when its request reached the machine.
	Deadline timeunit.Ticks

	// DeduplicationWindow is the time after its arrival during which a Keyed request may be repeated.
	DeduplicationWindow timeunit.Ticks

	// Idempotency states what a second run of a request would do.
	Idempotency Idempotency
}

// Config holds the settings with which a Server starts. Zero is an ordinary value of each field unless its comment says
// otherwise.
type Config struct {
	// Categories lists the kinds of requests; Arrival.Category is an index into it. At least one is required.
	Categories []Category

	// Routers is the number of routers that send to this server; values below 1 count as 1.
	Routers int

	// RetriesMarked reports whether routers mark retries (Arrival.IsRetry), so that an unmarked request is not one.
	RetriesMarked bool

	// Servers is the size of the fleet when this server starts; values below 1 count as 1.
	Servers int

	// Cores is the number of CPU cores. It is also the initial and the smallest concurrency limit.
	Cores int

	// MemoryKB is the memory, in kilobytes, available to queued requests, runs and idempotency entries.
	MemoryKB float64

	// RunMemoryFactor is the memory of a running request as a multiple of that of a queued one.
	RunMemoryFactor float64

	// EntryKB is the memory of one idempotency entry, in kilobytes.
	EntryKB float64

	// MaxEntries limits the number of idempotency entries; 0 means that only MemoryKB limits it.
	MaxEntries int

	// BatchInterval is the shortest time between two batches. Requests are answered two intervals before their
	// deadline.
	BatchInterval timeunit.Ticks

	// DrainGrace is the time after the notice of a stop during which arriving requests still run.
	DrainGrace timeunit.Ticks

	// ResultTTL is how long the result of a cacheable request is shared with other requests; 0 disables sharing.
	ResultTTL timeunit.Ticks

	// StartsCold reports whether the server starts at ColdSpeed and reaches its full speed after WarmUpTime.
	StartsCold bool

	// ColdSpeed is the initial speed of a cold server as a fraction of its full speed, from 0 to 1.
	ColdSpeed float64

	// WarmUpTime is the time that a cold server takes from its start to its full speed.
	WarmUpTime timeunit.Ticks

	// OverloadThreshold is the number of runnable requests per core that a warm server can sustain.
	OverloadThreshold float64

	// SharedDependency reports whether all servers call one downstream dependency, so that DownstreamLimit applies.
	SharedDependency bool

	// DownstreamLimit is this server's part of the calls in flight that the shared dependency can sustain, as a mean
	// over DownstreamWindow.
	DownstreamLimit float64

	// DownstreamWindow is the time over which the mean that DownstreamLimit limits is taken.
	DownstreamWindow timeunit.Ticks

	// TurnOffset, from 0 to 1 and different on each server, shifts the turns in which this server may make one more
	// call to the shared dependency than its limit rounded down.
	TurnOffset float64

	// AbandonedCallTime is how long an abandoned call still counts as in flight at the dependency.
	AbandonedCallTime timeunit.Ticks

	// LoadReportMode states how routers interpret the load report.
	LoadReportMode LoadReportMode

	// MaxRetryAfter is the longest Retry-After that routers obey; 0 means that none is sent.
	MaxRetryAfter timeunit.Ticks

	// MaxIdleTime is how long routers keep idle connections; 0 means that the time is not known.
	MaxIdleTime timeunit.Ticks

	// CanStopRuns reports whether a run can be stopped. The progress of a stopped run is lost.
	CanStopRuns bool

	// WarmStart is the warm-start state of an earlier incarnation, as far as it is still valid; nil means none.
	WarmStart *WarmStartState
}

// StoredForm returns the settings as text, without WarmStart. Stored warm-start records carry a hash of this text and
// are ignored when it differs, so the text must stay that of its first version: the names in it, most of which are not
// the names of the fields, their order and the format of the values.
func (c *Config) StoredForm() string {
	var text strings.Builder
	text.WriteString("{Categories:[")
	for i, category := range c.Categories {
		if i > 0 {
			text.WriteByte(' ')
		}
		fmt.Fprintf(&text, "{Gain:%v LateShare:%v Poorer:%v Contract:%d Expiry:%d Window:%d Effect:%d}",
			category.Weight, category.LateValue, category.DegradedValue, category.SoftDeadline, category.Deadline,
			category.DeduplicationWindow, category.Idempotency)
	}
	fmt.Fprintf(&text, "] Callers:%d Marked:%t Servers:%d Cores:%d",
		c.Routers, c.RetriesMarked, c.Servers, c.Cores)
	fmt.Fprintf(&text, " Memory:%v RunFactor:%v EntryKb:%v Entries:%d",
		c.MemoryKB, c.RunMemoryFactor, c.EntryKB, c.MaxEntries)
	fmt.Fprintf(&text, " Period:%d Grace:%d Fresh:%d", c.BatchInterval, c.DrainGrace, c.ResultTTL)
	fmt.Fprintf(&text, " Cold:%t ColdFrom:%v ColdFor:%d Crowd:%v",
		c.StartsCold, c.ColdSpeed, c.WarmUpTime, c.OverloadThreshold)
	fmt.Fprintf(&text, " SharedBelow:%t CallShare:%v CallsOver:%d Spread:%v Linger:%d",
		c.SharedDependency, c.DownstreamLimit, c.DownstreamWindow, c.TurnOffset, c.AbandonedCallTime)
	fmt.Fprintf(&text, " Tongue:%d MaxAway:%d IdleMost:%d Stops:%t Learnt:<nil>}",
		c.LoadReportMode, c.MaxRetryAfter, c.MaxIdleTime, c.CanStopRuns)
	return text.String()
}
