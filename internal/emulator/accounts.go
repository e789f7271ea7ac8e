package emulator

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Response times are recorded in microseconds, up to a minute, to two digits.
const (
	maxRecordedMicros = 60e6
	recordedDigits    = 2
)

// Account is what came of one tenant's requests, each counted once however often it was sent.
type Account struct {
	Tenant               string
	Requested            int
	OnTime               int     // answered within their soft deadline
	Late                 int     // answered after it
	Rejected             int     // attempts answered with 503
	Aborted              int     // answered with a failure
	RequestedCoreSeconds float64 // of all requests
	RequestedValue       float64 // of all requests, had all been on time
	Value                float64 // of those on time
	EntitledValue        float64 // of the part of the server's work that the tenant is entitled to
	Backs                int     // retries sent
	RetriesAdmitted      int     // retries that were run
	PastDeadline         int     // answered after their deadline
	BadRequests          int     // answered with a status below 500 that is neither of the above, as plug-ins give
	Times                *hdrhistogram.Histogram
	weight               float64
}

// DeliveredShare is the value delivered on time as a part of what the tenant is entitled to; 1 where that is nothing.
func (a *Account) DeliveredShare() float64 {
	if a.EntitledValue == 0 {
		return 1
	}
	return a.Value / a.EntitledValue
}

// String is the account as the measured lines of the tests and `thistlequay try` show it.
func (a *Account) String() string {
	const format = "tenant=%s asked=%d fulfilled=%d late=%d declined=%d broken_off=%d gain=%.1f entitled=%.1f part=%.3f"
	return fmt.Sprintf(format, a.Tenant, a.Requested, a.OnTime, a.Late, a.Rejected, a.Aborted, a.Value, a.EntitledValue,
		a.DeliveredShare())
}

// Accounts holds the accounts by tenant, in the order of the streams.
type Accounts struct {
	list   []*Account
	byName map[string]*Account
}

// NewAccounts opens an account for each tenant of the streams.
func NewAccounts(streams []*Stream) *Accounts {
	all := &Accounts{byName: map[string]*Account{}}
	for _, s := range streams {
		if all.byName[s.Tenant] != nil {
			continue
		}
		account := &Account{
			Tenant: s.Tenant,
			Times:  hdrhistogram.New(1, maxRecordedMicros, recordedDigits),
			weight: s.Weight,
		}
		all.byName[s.Tenant] = account
		all.list = append(all.list, account)
	}
	return all
}

// Account is the account that an attempt belongs to.
func (all *Accounts) Account(a *Attempt) *Account { return all.byName[a.Stream.Tenant] }

// Asked counts an attempt as it is sent.
func (all *Accounts) Asked(a *Attempt) {
	account := all.Account(a)
	if a.Retries > 0 {
		account.Backs++
		return
	}
	account.Requested++
	account.RequestedCoreSeconds += a.CoreSeconds
	account.RequestedValue += a.Stream.PriorityWeight
}

// Entitle sets the EntitledValue of each account, from its max-min fair part of the core seconds that the server could
// do: what one tenant leaves is divided by weight among those that want it. It returns all accounts.
func (all *Accounts) Entitle(coreSeconds float64) []*Account {
	demands := make([]float64, len(all.list))
	weights := make([]float64, len(all.list))
	for i, a := range all.list {
		demands[i] = a.RequestedCoreSeconds
		weights[i] = a.weight
	}
	for i, part := range MaxMin(coreSeconds, demands, weights) {
		a := all.list[i]
		if a.RequestedCoreSeconds > 0 {
			a.EntitledValue = a.RequestedValue * part / a.RequestedCoreSeconds
		}
	}
	return all.list
}

// Total sums the accounts' counts and values, under the name "all".
func Total(list []*Account) (sum Account) {
	sum.Tenant = "all"
	for _, a := range list {
		sum.Requested += a.Requested
		sum.OnTime += a.OnTime
		sum.Late += a.Late
		sum.Rejected += a.Rejected
		sum.Aborted += a.Aborted
		sum.Value += a.Value
		sum.EntitledValue += a.EntitledValue
		sum.RequestedValue += a.RequestedValue
	}
	return sum
}

// MaxMin divides an amount by weights so that nobody gets more than its demand (max-min fairness by progressive
// filling: those with the least demand for their weight are served first).
func MaxMin(amount float64, demands, weights []float64) []float64 {
	allocations := make([]float64, len(demands))
	order := make([]int, len(demands))
	weightLeft := 0.0
	for i := range order {
		order[i] = i
		weightLeft += weights[i]
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Compare(demands[a]/weights[a], demands[b]/weights[b])
	})
	for _, i := range order {
		allocations[i] = min(demands[i], amount*weights[i]/weightLeft)
		amount -= allocations[i]
		weightLeft -= weights[i]
	}
	return allocations
}
