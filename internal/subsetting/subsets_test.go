package subsetting

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

func fleet(n int, zones ...int) (list []Server) {
	for i := range n {
		zone, left := 0, i
		for zone < len(zones)-1 && left >= zones[zone] {
			left -= zones[zone]
			zone++
		}
		list = append(list, Server{fmt.Sprintf("n%04d", i), fmt.Sprint("z", zone)})
	}
	return list
}

func tenants(n int) (list []string) {
	for i := range n {
		list = append(list, fmt.Sprint("tenant-", i))
	}
	return list
}

// moved is the part of all places that differ.
func moved(a, b *Assignment, of []string) float64 {
	differ, all := 0, 0
	for _, t := range of {
		before := a.Subset(t)
		for _, s := range b.Subset(t) {
			if all++; !slices.Contains(before, s) {
				differ++
			}
		}
	}
	return float64(differ) / float64(all)
}

// Balance, what a server that leaves or joins moves, and how many other tenants are hurt wholly where one poisons all its servers.
func TestMeasuredSubsets(t *testing.T) {
	for _, of := range []struct {
		servers, tenants, most int
		zones                  []int
	}{{12, 40, 3, []int{4, 4, 4}}, {33, 200, 4, []int{3, 30}}, {300, 3000, 6, []int{100, 100, 100}}, {300, 3000, 6, []int{20, 80, 200}}} {
		terms, all, names := Config{Seed: 9, SubsetSize: of.most, LoadSlack: 0.2}, fleet(of.servers, of.zones...), tenants(of.tenants)
		p := Assign(terms, all, names)
		left := Assign(terms, slices.Delete(slices.Clone(all), of.servers/2, of.servers/2+1), names)
		joined := Assign(terms, append(slices.Clone(all), Server{"n9999", "z0"}), names)
		poisoned, most := p.Subset(names[0]), 0
		hurt := 0
		for _, other := range names[1:] {
			shared := 0
			for _, s := range p.Subset(other) {
				if slices.Contains(poisoned, s) {
					shared++
				}
			}
			if most = max(most, shared); shared == len(p.Subset(other)) {
				hurt++
			}
		}
		t.Logf("measured subsets servers=%d zones=%v tenants=%d most=%d spread=%.3f moved_leave=%.4f moved_join=%.4f one_of_n=%.4f hurt_by_poison=%d most_shared=%d",
			of.servers, of.zones, of.tenants, of.most, p.MaxOverMean(), moved(p, left, names), moved(p, joined, names), 1/float64(of.servers), hurt, most)
		require.Zero(t, hurt)
		require.LessOrEqual(t, moved(p, left, names), 5/float64(of.servers))
		require.LessOrEqual(t, moved(p, joined, names), 5/float64(of.servers))
		if of.servers == 300 {
			require.LessOrEqual(t, p.MaxOverMean(), 1.15)
		}
	}
}

// The same at all who hold one view, in whatever order they were told; never empty; no server twice; no zone with more than its
// part and one while others have room.
func TestSubsetsAgree(t *testing.T) {
	chance := rand.New(rand.NewSource(3))
	for range 200 {
		n := 1 + chance.Intn(40)
		all, names := fleet(n, 1+chance.Intn(n), 1+chance.Intn(n), n), tenants(1+chance.Intn(60))
		terms := Config{Seed: chance.Uint64(), SubsetSize: 1 + chance.Intn(8), LoadSlack: 0.2}
		p := Assign(terms, all, names)
		other := append(slices.Clone(all), all[0])
		chance.Shuffle(len(other), func(i, j int) { other[i], other[j] = other[j], other[i] })
		others := append(slices.Clone(names), names[0])
		chance.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
		q := Assign(terms, other, others)
		for _, name := range append(names, "a stranger", "") {
			chosen := p.Subset(name)
			require.Equal(t, chosen, q.Subset(name))
			require.Len(t, chosen, min(n, terms.SubsetSize))
			for i, s := range chosen {
				require.True(t, p.Contains(name, s.Name))
				require.NotContains(t, chosen[:i], s)
			}
			require.False(t, p.Contains(name, "nobody"))
			require.Len(t, p.Explain(name).Load, len(chosen))
		}
	}
	require.Empty(t, Assign(Config{SubsetSize: 3}, nil, tenants(3)).Subset("tenant-1"))
}

func BenchmarkHas(b *testing.B) {
	for _, n := range []int{12, 300, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := Assign(Config{Seed: 1, SubsetSize: 6, LoadSlack: 0.2}, fleet(n, n), tenants(200))
			name := p.Subset("tenant-7")[5].Name
			b.ReportAllocs()
			for b.Loop() {
				p.Contains("tenant-7", name)
			}
		})
	}
}
