// Package subsetting decides which servers of a fleet may run a tenant's requests, so that a tenant whose requests
// harm servers (heavy, looping, crashing) reaches few of them, and no other tenant loses all of its own.
//
// It waits for later work: nothing uses it yet. docs/subsetting/design.md says what is still to come.
//
// It is a pure function of a view of servers and tenants: no socket, no clock, and no randomness but a seed that all
// servers share. All servers that hold the same view get the same subsets, in whatever order they heard of servers
// and tenants. A subset must never be empty while there is a server.
//
// Each tenant ranks all servers by a hash of its own (rendezvous hashing: Thaler and Ravishankar, "Using name-based
// mappings to increase hit rates", 1998) and takes the first ones with capacity left; a server has capacity for a
// little more than its share (bounded loads: Mirrokni, Thorup and Zadimoghaddam, "Consistent hashing with bounded
// loads", 2018). Tenants choose in the order of a hash, so that the earlier ones keep their servers when a later one
// comes or goes; a zone gives a tenant no more than its share and one.
package subsetting

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"
)

// Config is what all servers must have alike to compute the same subsets.
type Config struct {
	Seed       uint64  // of all hashes
	SubsetSize int     // servers of a tenant, 1 at least; fewer where the fleet has fewer
	LoadSlack  float64 // how much more than the mean load a server may have, as a part of it
}

// Server is one that may be in a subset. Its name is unique in the fleet.
type Server struct {
	Name string
	Zone string
}

// Assignment is the result of Assign. It is not changed afterwards and so is safe for concurrent use.
type Assignment struct {
	config      Config
	servers     []Server         // by name
	capacity    int              // tenants that each server has room for
	subsets     map[string][]int // by tenant: places in servers, in the order of the tenant's ranking
	load        []int            // tenants of each server
	skippedFull map[string]int   // by tenant: servers passed over because they had no capacity left
}

// Assign computes the subsets of all tenants that are known by name. A server or tenant that is named twice counts
// once.
func Assign(config Config, servers []Server, tenants []string) *Assignment {
	servers = uniqueServers(servers)
	tenants = inHashOrder(config, tenants)
	assignment := &Assignment{
		config:      config,
		servers:     servers,
		subsets:     make(map[string][]int, len(tenants)),
		load:        make([]int, len(servers)),
		skippedFull: map[string]int{},
	}
	if len(servers) == 0 {
		return assignment
	}
	size := max(1, min(config.SubsetSize, len(servers)))
	meanLoad := float64(len(tenants)*size) / float64(len(servers))
	assignment.capacity = capacityFor(meanLoad, config.LoadSlack)
	for _, tenant := range tenants {
		assignment.subsets[tenant] = assignment.assign(tenant, size)
	}
	return assignment
}

// uniqueServers returns the servers by name, each once.
func uniqueServers(servers []Server) []Server {
	servers = slices.Clone(servers)
	slices.SortFunc(servers, func(a, b Server) int { return cmp.Compare(a.Name, b.Name) })
	return slices.CompactFunc(servers, func(a, b Server) bool { return a.Name == b.Name })
}

// inHashOrder returns the tenants in the order in which they choose, each once.
func inHashOrder(config Config, tenants []string) []string {
	tenants = slices.Clone(tenants)
	slices.Sort(tenants)
	tenants = slices.Compact(tenants)
	slices.SortFunc(tenants, func(a, b string) int {
		return cmp.Or(cmp.Compare(config.hash("order", a), config.hash("order", b)), cmp.Compare(a, b))
	})
	return tenants
}

// hash returns a hash of some words, each seeded by the one before.
func (c *Config) hash(words ...string) uint64 {
	sum := c.Seed
	for _, word := range words {
		sum = xxh3.HashStringSeed(word, sum)
	}
	return sum
}

// Subset returns the servers of a tenant in the order of its ranking: the first is to be asked first. A tenant that is
// not known by name gets the first servers of its ranking, whatever their load: how many such tenants there are is not
// known.
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

// Contains reports whether a server is in a tenant's subset. For a tenant that is known by name it is cheap enough for
// the path of each request and allocates nothing.
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

// Explanation is a subset with the reasons for it, for operators.
type Explanation struct {
	Servers     []Server // the subset
	Load        []int    // tenants of each of them
	Capacity    int      // tenants that each server of the fleet has room for
	SkippedFull int      // servers that rank before some of these and had no capacity left
}

// Explain tells why a tenant has its subset.
func (a *Assignment) Explain(tenant string) Explanation {
	explanation := Explanation{
		Servers:     a.Subset(tenant),
		Capacity:    a.capacity,
		SkippedFull: a.skippedFull[tenant],
	}
	for _, member := range explanation.Servers {
		place, _ := slices.BinarySearchFunc(a.servers, member.Name, func(server Server, name string) int {
			return cmp.Compare(server.Name, name)
		})
		explanation.Load = append(explanation.Load, a.load[place])
	}
	return explanation
}

// MaxOverMean returns the largest load of a server over the mean load; 0 where there is none.
func (a *Assignment) MaxOverMean() float64 {
	largest := 0
	total := 0
	for _, load := range a.load {
		largest = max(largest, load)
		total += load
	}
	if total == 0 {
		return 0
	}
	return float64(largest) * float64(len(a.load)) / float64(total)
}
