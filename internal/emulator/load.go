package emulator

import (
	"cmp"
	"container/heap"
	"math"
	"math/rand"
)

// Stream is the load of one tenant, or of several tenants with the same sending pattern.
type Stream struct {
	// Tenant is the tenant name under which TenantStats counts the requests.
	Tenant string
	// TenantOf returns the tenant of the n-th request, counted from 0. If it is nil, Tenant sends all requests.
	TenantOf func(n int) string
	// Weight is the tenant's weight in the max-min fair allocation of the cores.
	Weight float64
	// ArrivalsPerSecond is the rate of the requests, which arrive as a Poisson process.
	ArrivalsPerSecond float64
	// From is the earliest arrival time of a request, in seconds since the start of the load.
	From float64
	// To is the time from which on no new request arrives, in seconds since the start of the load.
	To float64
	// MeanCoreSeconds is the mean work of a request, in core seconds. The work is uniformly distributed between 0.5 and
	// 1.5 times the mean.
	MeanCoreSeconds float64
	// Category is the index of the requests' category, for example in LoadRun.Categories.
	Category int
	// PriorityWeight is the value earned by a request that is answered within its soft deadline.
	PriorityWeight float64
	// MaxRetries is the maximum number of retries of a rejected request. Each is sent after the Retry-After of the
	// rejection.
	MaxRetries int
	// Routers is the number of routers among which the requests rotate. 0 means a single router.
	Routers int
}

// Attempt is one attempt of a request.
type Attempt struct {
	// At is the time at which the attempt is due, in seconds since the start of the load.
	At float64
	// Stream is the stream to which the request belongs.
	Stream *Stream
	// Tenant is the tenant of the request.
	Tenant string
	// CoreSeconds is the work of the request, in core seconds.
	CoreSeconds float64
	// Retries is the number of attempts before this one.
	Retries int
	// Router is the index of the router that sends the attempt, from 0.
	Router int

	sequence int // number of the request within the load, shared by all its attempts
}

// Load holds the attempts that are still to be sent, ordered by due time. It is not safe for concurrent use.
type Load struct {
	attempts attemptQueue
	rand     *rand.Rand
}

// attemptQueue is a heap of attempts, ordered by due time and then by sequence number.
type attemptQueue []*Attempt

func (a attemptQueue) Len() int { return len(a) }

func (a attemptQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(a[i].At, a[j].At), cmp.Compare(a[i].sequence, a[j].sequence)) < 0
}

func (a attemptQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

func (a *attemptQueue) Push(x any) { *a = append(*a, x.(*Attempt)) }

func (a *attemptQueue) Pop() any {
	last := len(*a) - 1
	x := (*a)[last]
	*a = (*a)[:last]
	return x
}

// NewLoad returns a load with the first attempt of every request of the streams. Arrival times and work are drawn from
// a random source with the given seed, so the same seed and streams always produce the same load.
func NewLoad(seed int64, streams []*Stream) *Load {
	l := &Load{rand: rand.New(rand.NewSource(seed))}
	for _, stream := range streams {
		l.drawRequests(stream)
	}
	heap.Init(&l.attempts)
	return l
}

// drawRequests appends the requests of one stream to the queue without restoring the heap order. For each request it
// draws the interarrival time, then the work.
func (l *Load) drawRequests(stream *Stream) {
	at := stream.From + l.drawGap(stream)
	for n := 0; at < stream.To; n++ {
		attempt := &Attempt{At: at, Stream: stream, Tenant: stream.Tenant, sequence: len(l.attempts)}
		if stream.TenantOf != nil {
			attempt.Tenant = stream.TenantOf(n)
		}
		attempt.CoreSeconds = stream.MeanCoreSeconds * (0.5 + l.rand.Float64())
		if stream.Routers > 0 {
			attempt.Router = n % stream.Routers
		}
		l.attempts = append(l.attempts, attempt)
		at += l.drawGap(stream)
	}
}

// drawGap draws the interarrival time between two requests of a stream, in seconds.
func (l *Load) drawGap(stream *Stream) float64 { return l.rand.ExpFloat64() / stream.ArrivalsPerSecond }

// Next returns the time at which the next attempt is due, in seconds since the start of the load, or infinity if none
// is left.
func (l *Load) Next() float64 {
	if len(l.attempts) == 0 {
		return math.Inf(1)
	}
	return l.attempts[0].At
}

// Pop removes and returns the next attempt. It panics if none is left.
func (l *Load) Pop() *Attempt { return heap.Pop(&l.attempts).(*Attempt) }

// Retry schedules another attempt of the same request at the given time, in seconds since the start of the load.
func (l *Load) Retry(attempt *Attempt, at float64) {
	retry := *attempt
	retry.At = at
	retry.Retries = attempt.Retries + 1
	heap.Push(&l.attempts, &retry)
}
