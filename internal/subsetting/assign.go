package subsetting

import (
	"cmp"
	"math"
	"slices"
)

// A server's capacity is rounded to steps of about 1/16 of the mean load, so that it seldom changes when a server or
// tenant joins or leaves. Each change of the capacity would move some tenants of every server.
const (
	capacitySteps = 16

	// stepOffset moves the step boundaries away from round mean loads, which are common in real fleets.
	stepOffset = 1.4
)

// capacityFor returns the number of tenants that a server has capacity for, given the mean number of tenants per server
// and the slack (see Config.LoadSlack).
func capacityFor(meanLoad, slack float64) int {
	step := math.Pow(2, math.Floor(math.Log2(max(1, meanLoad)))) / capacitySteps
	return int(math.Ceil(math.Floor(meanLoad/step+stepOffset) * step * (1 + slack/2)))
}

// chooseSubset chooses the subset of a tenant in up to three passes over its ranking. The first pass takes servers that
// have capacity left and whose zone is below its limit; the second ignores the zone limits; the third also ignores the
// capacity.
func (a *Assignment) chooseSubset(tenant string, subsetSize int) (chosen []int) {
	ranking := a.ranking(tenant)
	zoneLimits := a.zoneLimits(subsetSize)
	zoneCounts := map[string]int{}
	choose := func(server int) {
		chosen = append(chosen, server)
		zoneCounts[a.servers[server].Zone]++
		a.tenantCounts[server]++
	}
	for pass := range 3 {
		for _, server := range ranking {
			zone := a.servers[server].Zone
			isFull := a.tenantCounts[server] >= a.capacity
			switch {
			case len(chosen) == subsetSize:
				return chosen
			case slices.Contains(chosen, server):
			case pass == 0 && isFull:
				a.skippedFull[tenant]++
			case pass == 1 && isFull:
			case pass == 0 && zoneCounts[zone] >= zoneLimits[zone]:
			default:
				choose(server)
			}
		}
	}
	return chosen
}

// zoneLimits returns the maximum number of servers in a subset by zone: the zone's rounded share of the subset plus
// one.
func (a *Assignment) zoneLimits(subsetSize int) map[string]int {
	counts := map[string]int{}
	for _, server := range a.servers {
		counts[server.Zone]++
	}
	limits := map[string]int{}
	for zone, count := range counts {
		limits[zone] = int(math.Round(float64(subsetSize*count)/float64(len(a.servers)))) + 1
	}
	return limits
}

// ranking returns the indexes of all servers in a.servers, ordered by the tenant's hash of each server.
func (a *Assignment) ranking(tenant string) []int {
	type hashed struct {
		server int
		hash   uint64
	}
	byHash := make([]hashed, len(a.servers))
	for i, server := range a.servers {
		byHash[i] = hashed{server: i, hash: a.config.hash("rank", tenant, server.Name)}
	}
	slices.SortFunc(byHash, func(x, y hashed) int {
		return cmp.Or(cmp.Compare(x.hash, y.hash), cmp.Compare(x.server, y.server))
	})
	ranking := make([]int, len(byHash))
	for i, entry := range byHash {
		ranking[i] = entry.server
	}
	return ranking
}
