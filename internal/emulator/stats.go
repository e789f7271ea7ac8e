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

// TenantStats counts the outcomes of one tenant's requests. Counts are of requests where the comment of the field does
// not say attempts; a request counts once however many attempts were made.
type TenantStats struct {
	// Tenant is the name of the stream, which stands for all tenants that the stream's TenantOf gives.
	Tenant string
	// Requests is the number of requests sent.
	Requests int
	// OnTime is the number answered with 200 within their soft deadline.
	OnTime int
	// Late is the number answered with 200 after their soft deadline.
	Late int
	// Rejected is the number of attempts answered with 503.
	Rejected int
	// Aborted is the number answered with any other status from 500 on; in the simulation, of those that the admission
	// server aborted.
	Aborted int
	// RequestedCoreSeconds is the work of all requests, in seconds of one core.
	RequestedCoreSeconds float64
	// RequestedValue is the priority weight of all requests: the DeliveredValue if all were on time.
	RequestedValue float64
	// DeliveredValue is the priority weight of the requests that were on time.
	DeliveredValue float64
	// EntitledValue is the part of RequestedValue that the tenant's max-min fair part of the cores could earn. It is 0
	// until StatsByTenant.AssignEntitlements.
	EntitledValue float64
	// RetriesSent is the number of attempts after the first.
	RetriesSent int
	// RetriesAdmitted is the number of retries that were run. Only the simulation counts them.
	RetriesAdmitted int
	// PastDeadline is the number of attempts answered after their deadline. Only LoadRun counts them.
	PastDeadline int
	// OtherStatuses is the number of attempts answered with a status below 500 other than 200, as plug-ins give. Only
	// LoadRun counts them.
	OtherStatuses int
	// ResponseTimes has the time from sending an attempt to its response, in microseconds. Only LoadRun records it.
	ResponseTimes *hdrhistogram.Histogram

	weight float64 // of the tenant in AssignEntitlements
}

// DeliveredShare returns DeliveredValue as a fraction of EntitledValue. It returns 1 where EntitledValue is 0.
func (s *TenantStats) DeliveredShare() float64 {
	if s.EntitledValue == 0 {
		return 1
	}
	return s.DeliveredValue / s.EntitledValue
}

// String formats the counts and values for the measured lines that the tests log.
func (s *TenantStats) String() string {
	const format = "tenant=%s asked=%d fulfilled=%d late=%d declined=%d broken_off=%d gain=%.1f entitled=%.1f part=%.3f"
	return fmt.Sprintf(format, s.Tenant, s.Requests, s.OnTime, s.Late, s.Rejected, s.Aborted, s.DeliveredValue,
		s.EntitledValue, s.DeliveredShare())
}

// StatsByTenant holds the TenantStats of all tenants of a load, in the order of its streams. It is not safe for
// concurrent use.
type StatsByTenant struct {
	list   []*TenantStats
	byName map[string]*TenantStats
}

// NewStatsByTenant returns empty statistics for each tenant of the streams. Streams with the same Tenant share one
// TenantStats, with the weight of the first.
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

// ForAttempt returns the statistics of the tenant whose stream the attempt is from.
func (b *StatsByTenant) ForAttempt(attempt *Attempt) *TenantStats {
	return b.byName[attempt.Stream.Tenant]
}

// RecordSent counts an attempt when it is sent: as a request where it is the first, else as a retry.
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

// AssignEntitlements sets the EntitledValue of each tenant from its max-min fair allocation (see MaxMin) of the core
// seconds that the server can do in the time of the load. It returns the statistics in the order of the streams.
func (b *StatsByTenant) AssignEntitlements(coreSeconds float64) []*TenantStats {
	demands := make([]float64, len(b.list))
	weights := make([]float64, len(b.list))
	for i, a := range b.list {
		demands[i] = a.RequestedCoreSeconds
		weights[i] = a.weight
	}
	for i, part := range MaxMin(coreSeconds, demands, weights) {
		a := b.list[i]
		if a.RequestedCoreSeconds > 0 {
			a.EntitledValue = a.RequestedValue * part / a.RequestedCoreSeconds
		}
	}
	return b.list
}

// Total returns the sum of the tenants' requests, outcomes (on time, late, rejected, aborted) and values, with "all" as
// its Tenant. The other fields stay 0.
func Total(list []*TenantStats) (sum TenantStats) {
	sum.Tenant = "all"
	for _, a := range list {
		sum.Requests += a.Requests
		sum.OnTime += a.OnTime
		sum.Late += a.Late
		sum.Rejected += a.Rejected
		sum.Aborted += a.Aborted
		sum.DeliveredValue += a.DeliveredValue
		sum.EntitledValue += a.EntitledValue
		sum.RequestedValue += a.RequestedValue
	}
	return sum
}

// MaxMin returns the weighted max-min fair allocation of an amount: no allocation exceeds its demand, and what one
// leaves is divided by weight among the others. It uses progressive filling, in the order of demand by weight. Demands
// and weights must have the same length, and weights must be positive.
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
