// Package subsetting decides which servers of a fleet may run a tenant's requests. A tenant whose requests harm servers
// because they are heavy, loop or crash then reaches only a few servers, and no other tenant loses all of its servers.
//
// No other package uses it yet. docs/subsetting/design.md describes the remaining work.
//
// The result is a pure function of the known servers and tenants: the package uses no sockets, no clock and no
// randomness except a seed that all servers share. Servers with the same view compute the same subsets, in whatever
// order they learned of servers and tenants. A subset is never empty while there is a server.
//
// Each tenant ranks all servers by its own hash (rendezvous hashing: Thaler and Ravishankar, "Using name-based mappings
// to increase hit rates", 1998) and takes the first ones with capacity left. A server has capacity for slightly more
// than its share of the load (bounded loads: Mirrokni, Thorup and Zadimoghaddam, "Consistent hashing with bounded
// loads", 2018). Tenants choose in hash order, so that the earlier ones keep their servers when a later one is added or
// removed. A subset contains at most the zone's share plus one of the servers of a zone, unless too few other servers
// have capacity.
package subsetting

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"
)

// Config holds the parameters of the assignment. All servers must use the same values to compute the same subsets.
type Config struct {
	Seed       uint64  // seed of all hashes
	SubsetSize int     // servers per tenant, at least 1; at most the whole fleet is used
	LoadSlack  float64 // determines by how much a server's load may exceed the mean load, as a fraction of it
}

// Server identifies a server and its zone. The name is unique in the fleet.
type Server struct {
	Name string
	Zone string
}

// Assignment holds the subsets that Assign computed. It is immutable and therefore safe for concurrent use.
type Assignment struct {
	config       Config
	servers      []Server         // sorted by name
	capacity     int              // maximum number of tenants per server; chooseSubset exceeds it only as a last resort
	subsets      map[string][]int // indexes in servers by tenant, in the order of the tenant's ranking
	tenantCounts []int            // number of tenants of each server, indexed like servers
	skippedFull  map[string]int   // number of servers skipped because they had no capacity left, by tenant
}

// Assign computes the subsets of the given tenants. A server or tenant that is listed more than once counts once.
func Assign(config Config, servers []Server, tenants []string) *Assignment {
	servers = uniqueServers(servers)
	tenants = tenantsInHashOrder(config, tenants)
	assignment := &Assignment{
		config:       config,
		servers:      servers,
		subsets:      make(map[string][]int, len(tenants)),
		tenantCounts: make([]int, len(servers)),
		skippedFull:  map[string]int{},
	}
	if len(servers) == 0 {
		return assignment
	}
	subsetSize := max(1, min(config.SubsetSize, len(servers)))
	meanLoad := float64(len(tenants)*subsetSize) / float64(len(servers))
	assignment.capacity = capacityFor(meanLoad, config.LoadSlack)
	for _, tenant := range tenants {
		assignment.subsets[tenant] = assignment.chooseSubset(tenant, subsetSize)
	}
	return assignment
}

// uniqueServers returns the servers sorted by name, without duplicates.
func uniqueServers(servers []Server) []Server {
	servers = slices.Clone(servers)
	slices.SortFunc(servers, func(a, b Server) int { return cmp.Compare(a.Name, b.Name) })
	return slices.CompactFunc(servers, func(a, b Server) bool { return a.Name == b.Name })
}

// tenantsInHashOrder returns the tenants in the order in which they choose their servers, without duplicates.
func tenantsInHashOrder(config Config, tenants []string) []string {
	tenants = slices.Clone(tenants)
	slices.Sort(tenants)
	tenants = slices.Compact(tenants)
	slices.SortFunc(tenants, func(a, b string) int {
		return cmp.Or(cmp.Compare(config.hash("order", a), config.hash("order", b)), cmp.Compare(a, b))
	})
	return tenants
}

// hash returns a hash of a sequence of words. The hash of each word is the seed for the next.
func (c *Config) hash(words ...string) uint64 {
	sum := c.Seed
	for _, word := range words {
		sum = xxh3.HashStringSeed(word, sum)
	}
	return sum
}

// Subset returns the servers of a tenant in order of preference. A tenant that was not passed to Assign gets the first
// servers of its ranking regardless of their load, because the number of such tenants is unknown.
func (a *Assignment) Subset(tenant string) []Server {
	chosen, known := a.subsets[tenant]
	if !known {
		ranking := a.ranking(tenant)
		chosen = ranking[:min(len(ranking), max(1, a.config.SubsetSize))]
	}
	subset := make([]Server, len(chosen))
	for i, server := range chosen {
		subset[i] = a.servers[server]
	}
	return subset
}

// Contains reports whether a server is in a tenant's subset. For a tenant that was passed to Assign it does not
// allocate and is cheap enough to be called for each request.
func (a *Assignment) Contains(tenant, server string) bool {
	chosen, known := a.subsets[tenant]
	if !known {
		return slices.ContainsFunc(a.Subset(tenant), func(member Server) bool { return member.Name == server })
	}
	for _, i := range chosen {
		if a.servers[i].Name == server {
			return true
		}
	}
	return false
}

// Explanation describes a subset and how it was chosen, for operators.
type Explanation struct {
	Servers     []Server // the subset
	Load        []int    // number of tenants of each server in the subset
	Capacity    int      // number of tenants that each server of the fleet has capacity for
	SkippedFull int      // number of servers that rank before a chosen one but had no capacity left
}

// Explain returns a tenant's subset with the loads and the capacity that determined it.
func (a *Assignment) Explain(tenant string) Explanation {
	explanation := Explanation{
		Servers:     a.Subset(tenant),
		Capacity:    a.capacity,
		SkippedFull: a.skippedFull[tenant],
	}
	for _, member := range explanation.Servers {
		index, _ := slices.BinarySearchFunc(a.servers, member.Name, func(server Server, name string) int {
			return cmp.Compare(server.Name, name)
		})
		explanation.Load = append(explanation.Load, a.tenantCounts[index])
	}
	return explanation
}

// MaxOverMean returns the highest load of a server divided by the mean load, or 0 if no server has any load.
func (a *Assignment) MaxOverMean() float64 {
	largest := 0
	total := 0
	for _, load := range a.tenantCounts {
		largest = max(largest, load)
		total += load
	}
	if total == 0 {
		return 0
	}
	return float64(largest) * float64(len(a.tenantCounts)) / float64(total)
}
