package emulator

// This file owns what load is asked for and what came of it: streams of work items by tenant, drawn from one seed, and
// the account of each tenant against what it is entitled to. It must never look at how the server decides.

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Stream is one tenant's work, or that of many who share a habit.
type Stream struct {
	Tenant            string             // as the table calls it
	TenantOf          func(n int) string // of the n-th work item's tenant; Tenant for all where nil
	Weight            float64            // its weight
	ArrivalsPerSecond float64            // work items a second, arrivals at random
	From, To          float64            // seconds
	MeanCoreSeconds   float64            // mean core seconds, at random from half to one and a half
	Category          int
	PriorityWeight    float64
	MaxRetries        int // how often one that is declined comes back when it was told to
	Routers           int // its work items come by so many callers, one after the other
}

// Attempt is one work item to be sent.
type Attempt struct {
	At          float64
	Stream      *Stream
	Tenant      string
	CoreSeconds float64
	Retries     int
	Router      int
	sequence    int
}

// Load gives the asks in the order of their times.
type Load struct {
	attempts attemptQueue
	rand     *rand.Rand
}

type attemptQueue []*Attempt

func (a attemptQueue) Len() int { return len(a) }
func (a attemptQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(a[i].At, a[j].At), cmp.Compare(a[i].sequence, a[j].sequence)) < 0
}
func (a attemptQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *attemptQueue) Push(x any)   { *a = append(*a, x.(*Attempt)) }
func (a *attemptQueue) Pop() any     { old := *a; x := old[len(old)-1]; *a = old[:len(old)-1]; return x }

// NewLoad draws all first asks of the streams.
func NewLoad(seed int64, streams []*Stream) *Load {
	l := &Load{rand: rand.New(rand.NewSource(seed))}
	for _, s := range streams {
		n := 0
		for at := s.From + l.rand.ExpFloat64()/s.ArrivalsPerSecond; at < s.To; at += l.rand.ExpFloat64() / s.ArrivalsPerSecond {
			name := s.Tenant
			if s.TenantOf != nil {
				name = s.TenantOf(n)
			}
			a := &Attempt{At: at, Stream: s, Tenant: name, CoreSeconds: s.MeanCoreSeconds * (0.5 + l.rand.Float64()), sequence: len(l.attempts)}
			if s.Routers > 0 {
				a.Router = n % s.Routers
			}
			l.attempts = append(l.attempts, a)
			n++
		}
	}
	heap.Init(&l.attempts)
	return l
}

// Next is when the next is due; infinite where none is.
func (l *Load) Next() float64 {
	if len(l.attempts) == 0 {
		return math.Inf(1)
	}
	return l.attempts[0].At
}

// Pop takes it.
func (l *Load) Pop() *Attempt { return heap.Pop(&l.attempts).(*Attempt) }

// Retry has an ask come back later.
func (l *Load) Retry(a *Attempt, at float64) {
	b := *a
	b.At, b.Retries = at, a.Retries+1
	heap.Push(&l.attempts, &b)
}

// Account is what came of a tenant's work.
type Account struct {
	Tenant                                      string
	Requested, OnTime, Late, Rejected, Aborted  int
	RequestedCoreSeconds, RequestedValue, Value float64
	EntitledValue                               float64                 // gain that its part of the server's work would have earned
	Backs, RetriesAdmitted                      int                     // came back when told, and were run then
	PastDeadline                                int                     // answered after their expiry
	BadRequests                                 int                     // answered with a status of a plug-in's own
	Times                                       *hdrhistogram.Histogram // of answers, in microseconds
	weight                                      float64
}

// DeliveredShare is the gain delivered inside the contract time, of what it is entitled to.
func (a *Account) DeliveredShare() float64 {
	if a.EntitledValue == 0 {
		return 1
	}
	return a.Value / a.EntitledValue
}

func (a *Account) String() string {
	return fmt.Sprintf("tenant=%s asked=%d fulfilled=%d late=%d declined=%d broken_off=%d gain=%.1f entitled=%.1f part=%.3f",
		a.Tenant, a.Requested, a.OnTime, a.Late, a.Rejected, a.Aborted, a.Value, a.EntitledValue, a.DeliveredShare())
}

// Accounts keeps them by tenant, in the order of the streams.
type Accounts struct {
	list  []*Account
	named map[string]*Account
}

// NewAccounts opens one a stream.
func NewAccounts(streams []*Stream) *Accounts {
	all := &Accounts{named: map[string]*Account{}}
	for _, s := range streams {
		if all.named[s.Tenant] == nil {
			all.named[s.Tenant] = &Account{Tenant: s.Tenant, weight: s.Weight, Times: hdrhistogram.New(1, 60e6, 2)}
			all.list = append(all.list, all.named[s.Tenant])
		}
	}
	return all
}

// Account is the account that an ask belongs to.
func (all *Accounts) Account(a *Attempt) *Account { return all.named[a.Stream.Tenant] }

// Asked books an ask as it is sent.
func (all *Accounts) Asked(a *Attempt) {
	of := all.Account(a)
	if a.Retries > 0 {
		of.Backs++
		return
	}
	of.Requested++
	of.RequestedCoreSeconds += a.CoreSeconds
	of.RequestedValue += a.Stream.PriorityWeight
}

// Entitle gives each its max-min part of the work that the server could do: what one leaves is divided by weight
// among those that want it.
func (all *Accounts) Entitle(work float64) []*Account {
	wants := make([]float64, len(all.list))
	shares := make([]float64, len(all.list))
	for i, a := range all.list {
		wants[i], shares[i] = a.RequestedCoreSeconds, a.weight
	}
	for i, part := range MaxMin(work, wants, shares) {
		if a := all.list[i]; a.RequestedCoreSeconds > 0 {
			a.EntitledValue = a.RequestedValue * part / a.RequestedCoreSeconds
		}
	}
	return all.list
}

// Total sums them.
func Total(list []*Account) (sum Account) {
	sum.Tenant = "all"
	for _, a := range list {
		sum.Requested, sum.OnTime, sum.Late = sum.Requested+a.Requested, sum.OnTime+a.OnTime, sum.Late+a.Late
		sum.Rejected, sum.Aborted, sum.Value = sum.Rejected+a.Rejected, sum.Aborted+a.Aborted, sum.Value+a.Value
		sum.EntitledValue, sum.RequestedValue = sum.EntitledValue+a.EntitledValue, sum.RequestedValue+a.RequestedValue
	}
	return sum
}

// MaxMin divides an amount by weights, nobody getting more than it wants.
func MaxMin(amount float64, wants, weights []float64) []float64 {
	gets := make([]float64, len(wants))
	order := make([]int, len(wants))
	sum := 0.0
	for i := range order {
		order[i] = i
		sum += weights[i]
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(wants[a]/weights[a], wants[b]/weights[b]) })
	for _, i := range order {
		gets[i] = min(wants[i], amount*weights[i]/sum)
		amount, sum = amount-gets[i], sum-weights[i]
	}
	return gets
}
