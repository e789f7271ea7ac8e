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
	Tenant   string             // as the table calls it
	Name     func(n int) string // of the n-th work item's tenant; Tenant for all where nil
	Share    float64            // its weight
	Rate     float64            // work items a second, arrivals at random
	From, To float64            // seconds
	Work     float64            // mean core seconds, at random from half to one and a half
	Category int
	Gain     float64
	Returns  int // how often one that is declined comes back when it was told to
	Callers  int // its work items come by so many callers, one after the other
}

// Ask is one work item to be sent.
type Ask struct {
	At     float64
	Stream *Stream
	Tenant string
	Work   float64
	Try    int
	Caller int
	n      int
}

// Load gives the asks in the order of their times.
type Load struct {
	asks asks
	rand *rand.Rand
}

type asks []*Ask

func (a asks) Len() int { return len(a) }
func (a asks) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(a[i].At, a[j].At), cmp.Compare(a[i].n, a[j].n)) < 0
}
func (a asks) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *asks) Push(x any)   { *a = append(*a, x.(*Ask)) }
func (a *asks) Pop() any     { old := *a; x := old[len(old)-1]; *a = old[:len(old)-1]; return x }

// NewLoad draws all first asks of the streams.
func NewLoad(seed int64, streams []*Stream) *Load {
	l := &Load{rand: rand.New(rand.NewSource(seed))}
	for _, s := range streams {
		n := 0
		for at := s.From + l.rand.ExpFloat64()/s.Rate; at < s.To; at += l.rand.ExpFloat64() / s.Rate {
			name := s.Tenant
			if s.Name != nil {
				name = s.Name(n)
			}
			a := &Ask{At: at, Stream: s, Tenant: name, Work: s.Work * (0.5 + l.rand.Float64()), n: len(l.asks)}
			if s.Callers > 0 {
				a.Caller = n % s.Callers
			}
			l.asks = append(l.asks, a)
			n++
		}
	}
	heap.Init(&l.asks)
	return l
}

// Next is when the next is due; infinite where none is.
func (l *Load) Next() float64 {
	if len(l.asks) == 0 {
		return math.Inf(1)
	}
	return l.asks[0].At
}

// Take takes it.
func (l *Load) Take() *Ask { return heap.Pop(&l.asks).(*Ask) }

// Again has an ask come back later.
func (l *Load) Again(a *Ask, at float64) {
	b := *a
	b.At, b.Try = at, a.Try+1
	heap.Push(&l.asks, &b)
}

// Account is what came of a tenant's work.
type Account struct {
	Tenant                                 string
	Asked, Fulfilled, Late, Declined, Lost int
	AskedWork, AskedGain, Gain             float64
	Entitled                               float64                 // gain that its part of the server's work would have earned
	Backs, BacksTaken                      int                     // came back when told, and were run then
	Overdue                                int                     // answered after their expiry
	Refused                                int                     // answered with a status of a plug-in's own
	Times                                  *hdrhistogram.Histogram // of answers, in microseconds
	share                                  float64
}

// Part is the gain delivered inside the contract time, of what it is entitled to.
func (a *Account) Part() float64 {
	if a.Entitled == 0 {
		return 1
	}
	return a.Gain / a.Entitled
}

func (a *Account) String() string {
	return fmt.Sprintf("tenant=%s asked=%d fulfilled=%d late=%d declined=%d broken_off=%d gain=%.1f entitled=%.1f part=%.3f",
		a.Tenant, a.Asked, a.Fulfilled, a.Late, a.Declined, a.Lost, a.Gain, a.Entitled, a.Part())
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
			all.named[s.Tenant] = &Account{Tenant: s.Tenant, share: s.Share, Times: hdrhistogram.New(1, 60e6, 2)}
			all.list = append(all.list, all.named[s.Tenant])
		}
	}
	return all
}

// Of is the account that an ask belongs to.
func (all *Accounts) Of(a *Ask) *Account { return all.named[a.Stream.Tenant] }

// Asked books an ask as it is sent.
func (all *Accounts) Asked(a *Ask) {
	of := all.Of(a)
	if a.Try > 0 {
		of.Backs++
		return
	}
	of.Asked++
	of.AskedWork += a.Work
	of.AskedGain += a.Stream.Gain
}

// Entitle gives each its max-min part of the work that the server could do: what one leaves is divided by weight
// among those that want it.
func (all *Accounts) Entitle(work float64) []*Account {
	wants := make([]float64, len(all.list))
	shares := make([]float64, len(all.list))
	for i, a := range all.list {
		wants[i], shares[i] = a.AskedWork, a.share
	}
	for i, part := range MaxMin(work, wants, shares) {
		if a := all.list[i]; a.AskedWork > 0 {
			a.Entitled = a.AskedGain * part / a.AskedWork
		}
	}
	return all.list
}

// Total sums them.
func Total(list []*Account) (sum Account) {
	sum.Tenant = "all"
	for _, a := range list {
		sum.Asked, sum.Fulfilled, sum.Late = sum.Asked+a.Asked, sum.Fulfilled+a.Fulfilled, sum.Late+a.Late
		sum.Declined, sum.Lost, sum.Gain = sum.Declined+a.Declined, sum.Lost+a.Lost, sum.Gain+a.Gain
		sum.Entitled, sum.AskedGain = sum.Entitled+a.Entitled, sum.AskedGain+a.AskedGain
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
