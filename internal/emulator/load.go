package emulator

import (
	"cmp"
	"container/heap"
	"math"
	"math/rand"
)

// Stream is the load of one tenant, or of many tenants that send alike.
type Stream struct {
	// Tenant is the name under which TenantStats counts the requests.
	Tenant string
	// TenantOf returns the tenant of the n-th request, counted from 0; nil for Tenant on all.
	TenantOf func(n int) string
	// Weight is the tenant's weight in the max-min fair allocation of the cores.
	Weight float64
	// ArrivalsPerSecond is the rate of the requests, a Poisson process.
	ArrivalsPerSecond float64
	// From is when the first request may come, in seconds since the start of the load.
	From float64
	// To is when requests end, in seconds since the start of the load.
	To float64
	// MeanCoreSeconds is the mean work of a request, in seconds of one core. The work is uniform from half of the mean
	// to one and a half.
	MeanCoreSeconds float64
	// Category is the index of the requests' category.
	Category int
	// PriorityWeight is the value of a request that is answered within its soft deadline.
	PriorityWeight float64
	// MaxRetries is how many times a rejected request is sent again, each after the Retry-After of the rejection.
	MaxRetries int
	// Routers is the number of routers that the requests come by, in turn; 0 for one.
	Routers int
}

// Attempt is one attempt of a request.
type Attempt struct {
	// At is when it is due, in seconds since the start of the load.
	At float64
	// Stream is the stream that the request is from.
	Stream *Stream
	// Tenant is the tenant of the request.
	Tenant string
	// CoreSeconds is the work of the request, in seconds of one core.
	CoreSeconds float64
	// Retries is the number of attempts before this one.
	Retries int
	// Router is the index of the router that sends it, from 0.
	Router int

	sequence int // of the request in the load
}

// Load yields the attempts in the order of their times. It is not safe for concurrent use.
type Load struct {
	attempts attemptQueue
	rand     *rand.Rand
}

// attemptQueue is a heap by time, then by sequence.
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

// NewLoad returns a load with the first attempts of all requests of the streams. Their times and work are drawn from
// the seed: the same seed and streams give the same load.
func NewLoad(seed int64, streams []*Stream) *Load {
	l := &Load{rand: rand.New(rand.NewSource(seed))}
	for _, stream := range streams {
		l.draw(stream)
	}
	heap.Init(&l.attempts)
	return l
}

// draw adds the requests of one stream, unsorted. For each it draws the gap before it, then its work.
func (l *Load) draw(stream *Stream) {
	at := stream.From + l.gap(stream)
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
		at += l.gap(stream)
	}
}

// gap draws the time between two requests of a stream, in seconds.
func (l *Load) gap(stream *Stream) float64 { return l.rand.ExpFloat64() / stream.ArrivalsPerSecond }

// Next returns when the next attempt is due, in seconds since the start of the load; infinite where none is left.
func (l *Load) Next() float64 {
	if len(l.attempts) == 0 {
		return math.Inf(1)
	}
	return l.attempts[0].At
}

// Pop removes the next attempt and returns it. It panics where none is left.
func (l *Load) Pop() *Attempt { return heap.Pop(&l.attempts).(*Attempt) }

// Retry schedules a further attempt of the request, at a time in seconds since the start of the load.
func (l *Load) Retry(attempt *Attempt, at float64) {
	retry := *attempt
	retry.At = at
	retry.Retries = attempt.Retries + 1
	heap.Push(&l.attempts, &retry)
}
