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

// moved returns the part of all places that differ.
func moved(before, after *Assignment, tenants []string) float64 {
	differ := 0
	all := 0
	for _, tenant := range tenants {
		old := before.Subset(tenant)
		for _, server := range after.Subset(tenant) {
			all++
			if !slices.Contains(old, server) {
				differ++
			}
		}
	}
	return float64(differ) / float64(all)
}

// poisoned returns how many other tenants share all of their servers with the first, and the most that one shares.
func poisoned(assignment *Assignment, tenants []string) (hurt, mostShared int) {
	poisoned := assignment.Subset(tenants[0])
	for _, other := range tenants[1:] {
		shared := 0
		for _, server := range assignment.Subset(other) {
			if slices.Contains(poisoned, server) {
				shared++
			}
		}
		mostShared = max(mostShared, shared)
		if shared == len(assignment.Subset(other)) {
			hurt++
		}
	}
	return hurt, mostShared
}

// Balance, what a server that leaves or joins moves, and how many other tenants lose all of their servers where one
// harms all of its own.
func TestMeasuredSubsets(t *testing.T) {
	for _, c := range []struct {
		servers, tenants, size int
		zones                  []int
	}{
		{12, 40, 3, []int{4, 4, 4}},
		{33, 200, 4, []int{3, 30}},
		{300, 3000, 6, []int{100, 100, 100}},
		{300, 3000, 6, []int{20, 80, 200}},
	} {
		config := Config{Seed: 9, SubsetSize: c.size, LoadSlack: 0.2}
		servers := fleet(c.servers, c.zones...)
		names := tenants(c.tenants)
		assignment := Assign(config, servers, names)
		left := Assign(config, slices.Delete(slices.Clone(servers), c.servers/2, c.servers/2+1), names)
		joined := Assign(config, append(slices.Clone(servers), Server{"n9999", "z0"}), names)
		hurt, mostShared := poisoned(assignment, names)
		t.Logf("measured subsets servers=%d zones=%v tenants=%d most=%d spread=%.3f moved_leave=%.4f moved_join=%.4f "+
			"one_of_n=%.4f hurt_by_poison=%d most_shared=%d",
			c.servers, c.zones, c.tenants, c.size, assignment.MaxOverMean(), moved(assignment, left, names),
			moved(assignment, joined, names), 1/float64(c.servers), hurt, mostShared)
		require.Zero(t, hurt)
		require.LessOrEqual(t, moved(assignment, left, names), 5/float64(c.servers))
		require.LessOrEqual(t, moved(assignment, joined, names), 5/float64(c.servers))
		if c.servers == 300 {
			require.LessOrEqual(t, assignment.MaxOverMean(), 1.15)
		}
	}
}

// Servers that hold one view get the same subsets, in whatever order they heard of servers and tenants. No subset is
// empty, and none has a server twice.
func TestSubsetsDependOnNothingButTheView(t *testing.T) {
	chance := rand.New(rand.NewSource(3))
	for range 200 {
		count := 1 + chance.Intn(40)
		servers := fleet(count, 1+chance.Intn(count), 1+chance.Intn(count), count)
		names := tenants(1 + chance.Intn(60))
		config := Config{Seed: chance.Uint64(), SubsetSize: 1 + chance.Intn(8), LoadSlack: 0.2}
		assignment := Assign(config, servers, names)
		shuffled := append(slices.Clone(servers), servers[0])
		chance.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		shuffledNames := append(slices.Clone(names), names[0])
		chance.Shuffle(len(shuffledNames), func(i, j int) {
			shuffledNames[i], shuffledNames[j] = shuffledNames[j], shuffledNames[i]
		})
		other := Assign(config, shuffled, shuffledNames)
		for _, name := range append(names, "a stranger", "") {
			subset := assignment.Subset(name)
			require.Equal(t, subset, other.Subset(name))
			require.Len(t, subset, min(count, config.SubsetSize))
			for i, server := range subset {
				require.True(t, assignment.Contains(name, server.Name))
				require.NotContains(t, subset[:i], server)
			}
			require.False(t, assignment.Contains(name, "nobody"))
			require.Len(t, assignment.Explain(name).Load, len(subset))
		}
	}
	require.Empty(t, Assign(Config{SubsetSize: 3}, nil, tenants(3)).Subset("tenant-1"))
}

func BenchmarkContains(b *testing.B) {
	for _, count := range []int{12, 300, 3000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			assignment := Assign(Config{Seed: 1, SubsetSize: 6, LoadSlack: 0.2}, fleet(count, count), tenants(200))
			name := assignment.Subset("tenant-7")[5].Name
			b.ReportAllocs()
			for b.Loop() {
				assignment.Contains("tenant-7", name)
			}
		})
	}
}
