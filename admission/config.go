package admission

import (
	"fmt"
	"strings"

	"thistlequay/timeunit"
)

// Idempotency says what a second run of a request would do.
type Idempotency int

// The zero value is Idempotent.
const (
	Idempotent    Idempotency = iota // may run any number of times
	Keyed                            // has an idempotency key: one run a server and deduplication window
	NonIdempotent                    // must never run twice
)

// LoadReportMode says what routers make of the value that is reported to them with each answer.
type LoadReportMode int

// The zero value is ReportNothing.
const (
	ReportNothing     LoadReportMode = iota // no value is passed on to routers
	ReportRank                              // routers send nothing that ranks below the value
	ReportLimit                             // each router has at most so many requests in flight here
	ReportProbability                       // the probability with which a router does not pass this server over
)

// Category describes one kind of request.
type Category struct {
	// Weight is the value of an answer within the soft deadline. Only ratios between categories count.
	Weight float64

	// LateValue is the share of Weight, from 0 to 1, that an answer still has between SoftDeadline and Deadline.
	LateValue float64

	// DegradedValue is the share of Weight, from 0 to 1, that an answer has which was made without its
	// downstream call. 0 means that there is no such answer.
	DegradedValue float64

	// SoftDeadline is the latency objective, from when the client's request reached the machine.
	SoftDeadline timeunit.Ticks

	// Deadline is how long a client waits at most, from when its request reached the machine.
	Deadline timeunit.Ticks

	// DeduplicationWindow is how long after its arrival a Keyed request may be repeated.
	DeduplicationWindow timeunit.Ticks

	// Idempotency says what a second run would do.
	Idempotency Idempotency
}

// Config is what a Server is given when it starts. Fields left at zero mean what they say unless noted
// otherwise.
type Config struct {
	// Categories lists the kinds of requests; Arrival.Category is an index of it. At least one is needed.
	Categories []Category

	// Routers is the number of routers that send to this server; less than 1 counts as 1.
	Routers int

	// RetriesMarked says that routers mark retries (Arrival.IsRetry), so that what is not marked is none.
	RetriesMarked bool

	// Servers is the size of the fleet when this server starts; less than 1 counts as 1.
	Servers int

	// Cores is the number of CPU cores. It is also where the concurrency limit starts, and its floor.
	Cores int

	// MemoryKB is the memory, in kilobytes, that queued requests, runs and idempotency entries must fit into.
	MemoryKB float64

	// RunMemoryFactor is the memory of a running request as a multiple of that of a queued one.
	RunMemoryFactor float64

	// EntryKB is the memory of an idempotency entry, in kilobytes.
	EntryKB float64

	// MaxEntries bounds the number of idempotency entries; 0 means that MemoryKB alone bounds them.
	MaxEntries int

	// BatchInterval is the least time between two batches. Answers are given two of them before a deadline.
	BatchInterval timeunit.Ticks

	// DrainGrace is how long after the notice of a stop arriving requests are still run.
	DrainGrace timeunit.Ticks

	// ResultTTL is how long the result of a cacheable request may answer others; 0 means never.
	ResultTTL timeunit.Ticks

	// StartsCold says that the server begins slowly (ColdSpeed) and reaches its full speed after WarmUpTime.
	StartsCold bool

	// ColdSpeed is the share of its speed, from 0 to 1, that a cold server begins with.
	ColdSpeed float64

	// WarmUpTime is the time from the start of a cold server to its full speed.
	WarmUpTime timeunit.Ticks

	// OverloadThreshold is the number of runnable requests for each core that a warm server survives.
	OverloadThreshold float64

	// SharedDependency says that all servers of the fleet call one dependency, so that DownstreamLimit counts.
	SharedDependency bool

	// DownstreamLimit is this server's part of the calls in flight that the shared dependency survives, as a
	// mean over DownstreamWindow.
	DownstreamLimit float64

	// DownstreamWindow is the time over which DownstreamLimit is meant.
	DownstreamWindow timeunit.Ticks

	// TurnOffset, from 0 to 1 and different on each server, says when this server has its turns at the shared
	// dependency.
	TurnOffset float64

	// AbandonedCallTime is how long an abandoned call still counts as in flight at the dependency.
	AbandonedCallTime timeunit.Ticks

	// LoadReportMode is what routers make of the load report.
	LoadReportMode LoadReportMode

	// MaxRetryAfter is the longest Retry-After that routers heed; 0 means that none is passed on.
	MaxRetryAfter timeunit.Ticks

	// MaxIdleTime is how long routers keep idle connections; 0 means that it is not known.
	MaxIdleTime timeunit.Ticks

	// CanStopRuns says that running work can be stopped. Its progress is lost.
	CanStopRuns bool

	// WarmStart is what an earlier incarnation learnt, as far as it still holds; nil means nothing.
	WarmStart *WarmStartState
}

// StoredForm returns the settings as text, without WarmStart. Stored warm-start records carry a hash of this
// text and are ignored once it differs, so it keeps the names and the order of its first version.
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
