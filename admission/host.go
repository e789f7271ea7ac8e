// Package admission decides, inside one server of a fleet, which work items it takes, runs and turns away.
package admission

import "thistlequay/timeunit"

// Effect says what a second run of a work item would do.
type Effect int

const (
	Harmless Effect = iota // may run again
	Stamped                // carries a mark by which a repeat is known; one run a server and window
	OneShot                // must never run twice
)

// Outcome is how a run, a shared answer or a call ended.
type Outcome int

const (
	Well       Outcome = iota // it went well
	Badly                     // it failed and may have had its effect
	Unseen                    // a call turned away or not connected: it provably never ran
	Unknown                   // a call given up or broken off: it may have had its effect
	Cut                       // the run was stopped, or ended at a call
	NeverBegun                // nothing was begun, the work item was already over
)

// Tongue is what callers make of the value that goes out with answers.
type Tongue int

const (
	Mute    Tongue = iota // no value is passed on
	Rank                  // callers send nothing of lower rank
	Allowed               // each caller has at most so many work items out here
	Odds                  // the chance that a caller does not pass this server over
)

// Category is what a deployment says of one kind of work item.
type Category struct {
	Gain      float64
	LateShare float64 // share of the gain left between contract time and expiry
	Poorer    float64 // and of an answer made without the call below; 0 where there is none
	Contract  timeunit.Ticks
	Expiry    timeunit.Ticks
	Window    timeunit.Ticks // how long a stamped work item may come again
	Effect    Effect
}

// Deployment is what a server is told when it starts.
type Deployment struct {
	Categories []Category
	Callers    int
	Marked     bool // further tries are marked (Arrival.Again)
	Servers    int  // of the fleet, at this start
	Cores      int
	Memory     float64        // kilobytes
	RunFactor  float64        // memory of a running work item over that of a held one
	EntryKb    float64        // memory of a remembered stamp
	Entries    int            // the most stamps remembered; 0 where the memory alone bounds them
	Period     timeunit.Ticks // batches come at most this often
	Grace      timeunit.Ticks // what comes later than this after the notice to leave is not run
	Fresh      timeunit.Ticks // for how long the result of a read may serve others; 0 for never

	Cold     bool
	ColdFrom float64        // share of its speed that a cold server starts at
	ColdFor  timeunit.Ticks // it is warm after this
	Crowd    float64        // running work items for each core that a warm server survives

	SharedBelow bool           // one dependency for the whole fleet
	CallShare   float64        // this server's part of the calls in hand that it survives
	CallsOver   timeunit.Ticks // in the mean of this span
	Spread      float64        // from 0 to 1, another on each server: when its turns at what is shared come
	Linger      timeunit.Ticks // a call given up stays in its hands for this long

	Tongue   Tongue
	MaxAway  timeunit.Ticks // the longest time to stay away that callers heed; 0 where advice is not passed on
	IdleMost timeunit.Ticks // callers close idle connections after this; 0 where that is not told
	Stops    bool           // running work can be stopped, its progress is lost

	Learnt *Learnt // by an earlier life, as far as it still holds; nil where there is none
}

// Learnt is what a server has found out that the next one need not: counts of times, by category and bin, and the pool.
type Learnt struct {
	Pool  float64     `json:"Pool"` // stored under these keys
	Runs  [][]float64 `json:"Runs"`
	Quiet [][]float64 `json:"Quiet"`
	Quick []float64   `json:"Quick"` // calls
}

// Arrival is what a work item says of itself when it has been read.
type Arrival struct {
	Category int
	Caller   int
	HeldKb   float64
	Unread   timeunit.Ticks // time since it reached the machine
	Left     timeunit.Ticks // time its caller still waits; 0 where that is not told
	Again    bool           // marked as a further try
	Repeats  bool           // another try of the same stamped work item is held here or has run; or another read of the same
	Earlier  *WorkItem      // that try, where the host still has its handle
	Reads    bool           // its result may serve others for a while (Deployment.Fresh)
	Turn     float64        // it waits while others do whose turn has come (see Server.Turn); 0: for nobody
	Behind   timeunit.Ticks // how long what has turns before it, of its own tenant, will take; 0 where that is not told
	Door     uint64         // the host's own mark, never read here
}

// Gauges are the server's own meters.
type Gauges struct {
	CoreUse float64 // share of the cores busy, over the last half second
	OnCores float64 // all that wants a core now
	Stale   bool    // they could not be read now: these are of an earlier wake
}

// Host is what the embedding server does for the module. No call may call back.
type Host interface {
	Run(w *WorkItem)
	Share(w *WorkItem) // answer with the result of the try that w repeats
	Decline(w *WorkItem, stayAway timeunit.Ticks, nowhereElse bool)
	BreakOff(w *WorkItem)
	Stop(w *WorkItem)
	Call(w *WorkItem, until timeunit.Ticks) // until is clock time
	Skip(w *WorkItem)                       // go on without the call; only where the category has a poorer answer
	Remember(w *WorkItem, span timeunit.Ticks)
	Forget(w *WorkItem)
	Say(value float64)
	Health(good, fromStore bool)
	CloseIdle(after timeunit.Ticks) // connections that carry nothing for so long
	Wake(after timeunit.Ticks)
	Over(w *WorkItem) // the handle is of no more use
}
