// Package admission decides, inside one server of a fleet, which work items it takes, runs and turns away.
package admission

import "thistlequay/timeunit"

// Idempotency says what a second run of a work item would do.
type Idempotency int

const (
	Idempotent    Idempotency = iota // may run again
	Keyed                            // carries a mark by which a repeat is known; one run a server and window
	NonIdempotent                    // must never run twice
)

// Outcome is how a run, a shared answer or a call ended.
type Outcome int

const (
	Succeeded     Outcome = iota // it went well
	Failed                       // it failed and may have had its effect
	NotExecuted                  // a call turned away or not connected: it provably never ran
	Indeterminate                // a call given up or broken off: it may have had its effect
	Aborted                      // the run was stopped, or ended at a call
	NeverStarted                 // nothing was begun, the work item was already over
)

// LoadReportMode is what callers make of the value that goes out with answers.
type LoadReportMode int

const (
	ReportNothing     LoadReportMode = iota // no value is passed on
	ReportRank                              // callers send nothing of lower rank
	ReportLimit                             // each caller has at most so many work items out here
	ReportProbability                       // the chance that a caller does not pass this server over
)

// Category is what a deployment says of one kind of work item.
type Category struct {
	Weight              float64
	LateValue           float64 // share of the gain left between contract time and expiry
	DegradedValue       float64 // and of an answer made without the call below; 0 where there is none
	SoftDeadline        timeunit.Ticks
	Deadline            timeunit.Ticks
	DeduplicationWindow timeunit.Ticks // how long a stamped work item may come again
	Idempotency         Idempotency
}

// Config is what a server is told when it starts.
type Config struct {
	Categories      []Category
	Routers         int
	RetriesMarked   bool // further tries are marked (Arrival.Again)
	Servers         int  // of the fleet, at this start
	Cores           int
	MemoryKB        float64        // kilobytes
	RunMemoryFactor float64        // memory of a running work item over that of a held one
	EntryKB         float64        // memory of a remembered stamp
	MaxEntries      int            // the most stamps remembered; 0 where the memory alone bounds them
	BatchInterval   timeunit.Ticks // batches come at most this often
	DrainGrace      timeunit.Ticks // what comes later than this after the notice to leave is not run
	ResultTTL       timeunit.Ticks // for how long the result of a read may serve others; 0 for never

	StartsCold        bool
	ColdSpeed         float64        // share of its speed that a cold server starts at
	WarmUpTime        timeunit.Ticks // it is warm after this
	OverloadThreshold float64        // running work items for each core that a warm server survives

	SharedDependency  bool           // one dependency for the whole fleet
	DownstreamLimit   float64        // this server's part of the calls in hand that it survives
	DownstreamWindow  timeunit.Ticks // in the mean of this span
	TurnOffset        float64        // from 0 to 1, another on each server: when its turns at what is shared come
	AbandonedCallTime timeunit.Ticks // a call given up stays in its hands for this long

	LoadReportMode LoadReportMode
	MaxRetryAfter  timeunit.Ticks // the longest time to stay away that callers heed; 0 where advice is not passed on
	MaxIdleTime    timeunit.Ticks // callers close idle connections after this; 0 where that is not told
	CanStopRuns    bool           // running work can be stopped, its progress is lost

	WarmStart *WarmStartState // by an earlier life, as far as it still holds; nil where there is none
}

// WarmStartState is what a server has found out that the next one need not: counts of times, by category and bin, and the pool.
type WarmStartState struct {
	Limit          float64     `json:"Pool"` // stored under these keys
	RunTimes       [][]float64 `json:"Runs"`
	QuietRunTimes  [][]float64 `json:"Quiet"`
	QuickCallTimes []float64   `json:"Quick"` // calls
}

// Arrival is what a work item says of itself when it has been read.
type Arrival struct {
	Category      int
	Router        int
	QueuedKB      float64
	UnreadTime    timeunit.Ticks // time since it reached the machine
	TimeLeft      timeunit.Ticks // time its caller still waits; 0 where that is not told
	IsRetry       bool           // marked as a further try
	IsRepeat      bool           // another try of the same stamped work item is held here or has run; or another read of the same
	RepeatOf      *Request       // that try, where the host still has its handle
	Cacheable     bool           // its result may serve others for a while (Deployment.Fresh)
	StartTag      float64        // it waits while others do whose turn has come (see Server.Turn); 0: for nobody
	ExpectedDelay timeunit.Ticks // how long what has turns before it, of its own tenant, will take; 0 where that is not told
	ID            uint64         // the host's own mark, never read here
}

// Gauges are the server's own meters.
type Gauges struct {
	CoreUtilization  float64 // share of the cores busy, over the last half second
	RunnableRequests float64 // all that wants a core now
	IsStale          bool    // they could not be read now: these are of an earlier wake
}

// Host is what the embedding server does for the module. No call may call back.
type Host interface {
	Run(w *Request)
	ShareResult(w *Request) // answer with the result of the try that w repeats
	Reject(w *Request, stayAway timeunit.Ticks, nowhereElse bool)
	Abort(w *Request)
	StopRun(w *Request)
	StartCall(w *Request, until timeunit.Ticks) // until is clock time
	SkipCall(w *Request)                        // go on without the call; only where the category has a poorer answer
	KeepEntry(w *Request, span timeunit.Ticks)
	DropEntry(w *Request)
	ReportLoad(value float64)
	SetHealth(good, fromStore bool)
	CloseIdleConnections(after timeunit.Ticks) // connections that carry nothing for so long
	SetTimer(after timeunit.Ticks)
	Release(w *Request) // the handle is of no more use
}
