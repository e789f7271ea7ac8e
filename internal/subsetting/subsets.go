// Package subsets decides which servers of a fleet a tenant's work may use, so that one tenant's poison reaches few servers and
// no other tenant wholly, and so that all who hold one view decide alike.
//
// This file owns the placing: who is in a tenant's subset, and why. It knows no socket, clock or chance but the seed that all
// share. It must never give an empty subset while there is a server, nor hang on the order in which servers or tenants are told.
//
// Each tenant ranks all servers by a hash of its own (rendezvous hashing: Thaler and Ravishankar, 1998) and takes the first ones that
// have room; a server has room for a little more than its part (bounded loads: Mirrokni, Thorup and Zadimoghaddam, 2018). Those
// that asked first, in the order of a hash, stay where they are; a zone gives a tenant no more than its part and one.
package subsetting

import (
	"cmp"
	"math"
	"slices"

	"github.com/zeebo/xxh3"
)

// Config are what all servers place by alike.
type Config struct {
	Seed       uint64
	SubsetSize int     // servers of a tenant; fewer where there are fewer
	LoadSlack  float64 // how much more than its part a server may have, as a part of it
}

// Server is one that may be used.
type Server struct {
	Name string
	Zone string
}

// Assignment is what one view of servers and tenants comes to. It is not changed after it was made.
type Assignment struct {
	config      Config
	servers     []Server
	capacity    int
	subsets     map[string][]int // by tenant, its servers as it ranks them
	load        []int
	skippedFull map[string]int // servers that a tenant would have had if they had had room
}

func (t *Config) hash(parts ...string) uint64 {
	h := t.Seed
	for _, p := range parts {
		h = xxh3.HashStringSeed(p, h)
	}
	return h
}

// Assign works out the subsets of all tenants that are known by name. Doubled names count once.
func Assign(t Config, servers []Server, tenants []string) *Assignment {
	servers, tenants = slices.Clone(servers), slices.Clone(tenants)
	slices.SortFunc(servers, func(a, b Server) int { return cmp.Compare(a.Name, b.Name) })
	servers = slices.CompactFunc(servers, func(a, b Server) bool { return a.Name == b.Name })
	slices.Sort(tenants)
	tenants = slices.Compact(tenants)
	slices.SortFunc(tenants, func(a, b string) int {
		return cmp.Or(cmp.Compare(t.hash("order", a), t.hash("order", b)), cmp.Compare(a, b))
	})
	p := &Assignment{config: t, servers: servers, subsets: make(map[string][]int, len(tenants)), load: make([]int, len(servers)), skippedFull: map[string]int{}}
	if len(servers) == 0 {
		return p
	}
	most := max(1, min(t.SubsetSize, len(servers)))
	p.capacity = capacityFor(float64(len(tenants)*most)/float64(len(servers)), t.LoadSlack)
	for _, tenant := range tenants {
		p.subsets[tenant] = p.assign(tenant, most)
	}
	return p
}

// capacityFor is how much a server may have where so much is its part. It goes by steps of a sixteenth, so that a server that comes
// or goes seldom changes it: each change would move some of all.
func capacityFor(part, slack float64) int {
	step := math.Pow(2, math.Floor(math.Log2(max(1, part)))) / 16
	return int(math.Ceil(math.Floor(part/step+stepOffset) * step * (1 + slack/2)))
}

// stepOffset keeps the steps off round numbers, which fleets often have.
const stepOffset = 1.4

// assign takes the first servers of a tenant's ranking that have room, spread over zones as far as these go; if too few have
// room, those that come first without.
func (p *Assignment) assign(tenant string, most int) (chosen []int) {
	ranks := p.ranking(tenant)
	zones, parts := map[string]int{}, map[string]int{}
	for _, s := range p.servers {
		parts[s.Zone]++
	}
	limit := func(zone string) int { // its part of the subset, and one
		return int(math.Round(float64(most*parts[zone])/float64(len(p.servers)))) + 1
	}
	for pass := range 3 {
		for _, i := range ranks {
			zone := p.servers[i].Zone
			switch {
			case len(chosen) == most:
				return chosen
			case slices.Contains(chosen, i):
			case pass < 2 && p.load[i] >= p.capacity:
				if pass == 0 {
					p.skippedFull[tenant]++
				}
			case pass < 1 && zones[zone] >= limit(zone):
			default:
				chosen = append(chosen, i)
				zones[zone]++
				p.load[i]++
			}
		}
	}
	return chosen
}

func (p *Assignment) ranking(tenant string) []int {
	type ranked struct {
		i    int
		hash uint64
	}
	all := make([]ranked, len(p.servers))
	for i, s := range p.servers {
		all[i] = ranked{i, p.config.hash("rank", tenant, s.Name)}
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.i, b.i)) })
	ranks := make([]int, len(all))
	for k, r := range all {
		ranks[k] = r.i
	}
	return ranks
}

// Subset is a tenant's subset as it ranks it: the first is asked first. A tenant that is not known by name has the first ones of its
// ranking, whatever these have: how many such there are is not known.
func (p *Assignment) Subset(tenant string) []Server {
	chosen, known := p.subsets[tenant]
	if !known {
		chosen = p.ranking(tenant)
		chosen = chosen[:max(0, min(len(chosen), max(1, p.config.SubsetSize)))]
	}
	list := make([]Server, len(chosen))
	for k, i := range chosen {
		list[k] = p.servers[i]
	}
	return list
}

// Contains says whether a server is in a tenant's subset. It is meant for the path of a work item of a tenant that is known by name.
func (p *Assignment) Contains(tenant, server string) bool {
	chosen, known := p.subsets[tenant]
	if !known {
		return slices.ContainsFunc(p.Subset(tenant), func(s Server) bool { return s.Name == server })
	}
	for _, i := range chosen {
		if p.servers[i].Name == server {
			return true
		}
	}
	return false
}

// Explanation is a subset with its reasons, for operators.
type Explanation struct {
	Servers     []Server
	SkippedFull int // servers that came before some of these and had no room
	Capacity    int // of each server
	Load        []int
}

// Explain tells why a tenant has its subset.
func (p *Assignment) Explain(tenant string) (w Explanation) {
	w.Servers, w.SkippedFull, w.Capacity = p.Subset(tenant), p.skippedFull[tenant], p.capacity
	for _, s := range w.Servers {
		i, _ := slices.BinarySearchFunc(p.servers, s.Name, func(s Server, name string) int { return cmp.Compare(s.Name, name) })
		w.Load = append(w.Load, p.load[i])
	}
	return w
}

// MaxOverMean is the most that any server has over the mean; 0 where there is nothing.
func (p *Assignment) MaxOverMean() float64 {
	most, sum := 0, 0
	for _, n := range p.load {
		most, sum = max(most, n), sum+n
	}
	if sum == 0 {
		return 0
	}
	return float64(most) * float64(len(p.load)) / float64(sum)
}
