package emulator

import (
	"cmp"
	"container/heap"
	"math"
	"math/rand"
)

// Stream is the load of one tenant, or of many who behave alike.
type Stream struct {
	// Tenant is the name under which TenantStats counts the requests.
	Tenant string
	// TenantOf gives the tenant of the n-th request; nil for Tenant on all.
	TenantOf func(n int) string
	// Weight is the tenant's weight in what it is entitled to.
	Weight float64
	// ArrivalsPerSecond is the rate of a Poisson process.
	ArrivalsPerSecond float64
	// From and To are seconds since the start of the load.
	From, To float64
	// MeanCoreSeconds is the mean work of a request, which is uniform between half of it and one and a half.
	MeanCoreSeconds float64
	// Category is the index of the requests' category.
	Category int
	// PriorityWeight is the value of a request that is answered within its soft deadline.
	PriorityWeight float64
	// MaxRetries is how often a rejected request is sent again after the Retry-After that it was told.
	MaxRetries int
	// Routers is the number of routers that the requests come by, in turn; 0 for one.
	Routers int
}

// Attempt is a request to be sent, for the first time or again.
type Attempt struct {
	At          float64 // seconds since the start of the load
	Stream      *Stream
	Tenant      string
	CoreSeconds float64
	Retries     int // attempts before this one
	Router      int
	sequence    int // of the request in the load
}

// Load gives the attempts in the order of their times. It knows nothing of how the server decides.
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

// NewLoad draws the first attempts of all streams from the seed.
func NewLoad(seed int64, streams []*Stream) *Load {
	l := &Load{rand: rand.New(rand.NewSource(seed))}
	for _, s := range streams {
		l.draw(s)
	}
	heap.Init(&l.attempts)
	return l
}

// draw adds the requests of one stream, unsorted. For each it draws the gap before it, then its work.
func (l *Load) draw(s *Stream) {
	at := s.From + l.gap(s)
	for n := 0; at < s.To; n++ {
		a := &Attempt{At: at, Stream: s, Tenant: s.Tenant, sequence: len(l.attempts)}
		if s.TenantOf != nil {
			a.Tenant = s.TenantOf(n)
		}
		a.CoreSeconds = s.MeanCoreSeconds * (0.5 + l.rand.Float64())
		if s.Routers > 0 {
			a.Router = n % s.Routers
		}
		l.attempts = append(l.attempts, a)
		at += l.gap(s)
	}
}

// gap draws the seconds between two requests of a stream.
func (l *Load) gap(s *Stream) float64 { return l.rand.ExpFloat64() / s.ArrivalsPerSecond }

// Next is when the next attempt is due; infinite where none is.
func (l *Load) Next() float64 {
	if len(l.attempts) == 0 {
		return math.Inf(1)
	}
	return l.attempts[0].At
}

// Pop removes the next attempt and returns it.
func (l *Load) Pop() *Attempt { return heap.Pop(&l.attempts).(*Attempt) }

// Retry schedules a further attempt of the request.
func (l *Load) Retry(a *Attempt, at float64) {
	retry := *a
	retry.At = at
	retry.Retries = a.Retries + 1
	heap.Push(&l.attempts, &retry)
}
