package emulator

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Response times are recorded in microseconds, up to one minute, with a precision of two significant digits.
const (
	maxRecordedMicros = 60e6
	recordedDigits    = 2
)

// TenantStats counts the outcomes of one tenant's requests. Counts are numbers of requests, unless the comment of the
// field says that they are numbers of attempts. A request counts once, no matter how many attempts it took.
type TenantStats struct {
	// Tenant is Stream.Tenant. It represents all tenants that Stream.TenantOf returns.
	Tenant string
	// Requests is the number of requests sent.
	Requests int
	// OnTime is the number of requests answered with status 200 within their soft deadline.
	OnTime int
	// Late is the number of requests answered with status 200 after their soft deadline.
	Late int
	// Rejected is the number of attempts answered with status 503.
	Rejected int
	// Aborted is the number of requests answered with any other status of 500 or higher. In the simulation it is the
	// number of requests that the admission server aborted.
	Aborted int
	// RequestedCoreSeconds is the total work of all requests, in core seconds.
	RequestedCoreSeconds float64
	// RequestedValue is the sum of the priority weights of all requests. DeliveredValue equals it if all are on time.
	RequestedValue float64
	// DeliveredValue is the sum of the priority weights of the requests that were on time.
	DeliveredValue float64
	// EntitledValue is the part of RequestedValue that the tenant could earn with its max-min fair share of the cores.
	// It is 0 until StatsByTenant.AssignEntitlements sets it.
	EntitledValue float64
	// RetriesSent is the number of attempts other than the first attempt of each request.
	RetriesSent int
	// RetriesAdmitted is the number of retries that were run. Only the simulation sets it.
	RetriesAdmitted int
	// PastDeadline is the number of attempts answered after their deadline. Only LoadRun sets it.
	PastDeadline int
	// OtherStatuses is the number of attempts answered with a status below 500 other than 200, for example one set by a
	// plug-in. Only LoadRun sets it.
	OtherStatuses int
	// ResponseTimes holds the times from sending an attempt to receiving its response, in microseconds. Only LoadRun
	// records them.
	ResponseTimes *hdrhistogram.Histogram

	weight float64 // the tenant's weight in the max-min fair allocation
}

// DeliveredShare returns DeliveredValue as a fraction of EntitledValue, or 1 if EntitledValue is 0.
func (s *TenantStats) DeliveredShare() float64 {
	if s.EntitledValue == 0 {
		return 1
	}
	return s.DeliveredValue / s.EntitledValue
}

// String formats the counts and values as the line of results that tests log.
func (s *TenantStats) String() string {
	const format = "tenant=%s asked=%d fulfilled=%d late=%d declined=%d broken_off=%d gain=%.1f entitled=%.1f part=%.3f"
	return fmt.Sprintf(format, s.Tenant, s.Requests, s.OnTime, s.Late, s.Rejected, s.Aborted, s.DeliveredValue,
		s.EntitledValue, s.DeliveredShare())
}

// StatsByTenant holds the statistics of all tenants of a load, in the order of its streams. It is not safe for
// concurrent use.
type StatsByTenant struct {
	list   []*TenantStats
	byName map[string]*TenantStats
}

// NewStatsByTenant returns empty statistics for each tenant of the streams. Streams with the same Tenant share one
// TenantStats, which has the weight of the first of them.
func NewStatsByTenant(streams []*Stream) *StatsByTenant {
	byTenant := &StatsByTenant{byName: map[string]*TenantStats{}}
	for _, stream := range streams {
		if byTenant.byName[stream.Tenant] != nil {
			continue
		}
		stats := &TenantStats{
			Tenant:        stream.Tenant,
			ResponseTimes: hdrhistogram.New(1, maxRecordedMicros, recordedDigits),
			weight:        stream.Weight,
		}
		byTenant.byName[stream.Tenant] = stats
		byTenant.list = append(byTenant.list, stats)
	}
	return byTenant
}

// ForAttempt returns the statistics of the tenant to whose stream the attempt belongs.
func (b *StatsByTenant) ForAttempt(attempt *Attempt) *TenantStats {
	return b.byName[attempt.Stream.Tenant]
}

// RecordSent counts an attempt that is sent: as a request if it is the first attempt, as a retry otherwise.
func (b *StatsByTenant) RecordSent(attempt *Attempt) {
	stats := b.ForAttempt(attempt)
	if attempt.Retries > 0 {
		stats.RetriesSent++
		return
	}
	stats.Requests++
	stats.RequestedCoreSeconds += attempt.CoreSeconds
	stats.RequestedValue += attempt.Stream.PriorityWeight
}

// AssignEntitlements sets the EntitledValue of each tenant from its max-min fair allocation (see MaxMin) of
// coreSeconds, the work that the server can do during the load. It returns the statistics in the order of the streams.
func (b *StatsByTenant) AssignEntitlements(coreSeconds float64) []*TenantStats {
	demands := make([]float64, len(b.list))
	weights := make([]float64, len(b.list))
	for i, stats := range b.list {
		demands[i] = stats.RequestedCoreSeconds
		weights[i] = stats.weight
	}
	for i, allocation := range MaxMin(coreSeconds, demands, weights) {
		stats := b.list[i]
		if stats.RequestedCoreSeconds > 0 {
			stats.EntitledValue = stats.RequestedValue * allocation / stats.RequestedCoreSeconds
		}
	}
	return b.list
}

// Total returns the sums of the tenants' requests, outcomes (on time, late, rejected, aborted) and values. Its Tenant
// is "all". All other fields are 0.
func Total(list []*TenantStats) (sum TenantStats) {
	sum.Tenant = "all"
	for _, stats := range list {
		sum.Requests += stats.Requests
		sum.OnTime += stats.OnTime
		sum.Late += stats.Late
		sum.Rejected += stats.Rejected
		sum.Aborted += stats.Aborted
		sum.DeliveredValue += stats.DeliveredValue
		sum.EntitledValue += stats.EntitledValue
		sum.RequestedValue += stats.RequestedValue
	}
	return sum
}

// MaxMin returns the weighted max-min fair allocation of an amount: no allocation exceeds its demand, and the amount
// that a satisfied demand leaves over is divided among the others by weight. It uses progressive filling, in ascending
// order of demand divided by weight. Demands and weights must have the same length, and weights must be positive.
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
