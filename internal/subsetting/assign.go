package subsetting

import (
	"cmp"
	"math"
	"slices"
)

// The capacity of a server goes by steps of a sixteenth of its mean load, so that a server or tenant that comes or goes
// seldom changes it: each change would move some tenants of every server.
const (
	capacitySteps = 16

	// stepOffset keeps the steps off round numbers, which fleets often have.
	stepOffset = 1.4
)

// capacityFor returns how many tenants a server has room for where the mean load is as given.
func capacityFor(meanLoad, slack float64) int {
	step := math.Pow(2, math.Floor(math.Log2(max(1, meanLoad)))) / capacitySteps
	return int(math.Ceil(math.Floor(meanLoad/step+stepOffset) * step * (1 + slack/2)))
}

// assign chooses the subset of a tenant: the first servers of its ranking that have capacity left and whose zone has
// not given its share; if that is too few, those of any zone; if that is still too few, those without capacity.
func (a *Assignment) assign(tenant string, size int) (chosen []int) {
	ranking := a.ranking(tenant)
	zoneLimits := a.zoneLimits(size)
	zoneCounts := map[string]int{}
	choose := func(server int) {
		chosen = append(chosen, server)
		zoneCounts[a.servers[server].Zone]++
		a.load[server]++
	}
	for pass := range 3 {
		for _, server := range ranking {
			zone := a.servers[server].Zone
			isFull := a.load[server] >= a.capacity
			switch {
			case len(chosen) == size:
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

// zoneLimits returns how many servers of each zone a tenant may have: the zone's share of the subset, and one.
func (a *Assignment) zoneLimits(size int) map[string]int {
	counts := map[string]int{}
	for _, server := range a.servers {
		counts[server.Zone]++
	}
	limits := map[string]int{}
	for zone, count := range counts {
		limits[zone] = int(math.Round(float64(size*count)/float64(len(a.servers)))) + 1
	}
	return limits
}

// ranking returns all servers, as places in a.servers, in the order of the tenant's hashes.
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
