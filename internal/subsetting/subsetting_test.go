package subsetting

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// newFleet returns count servers in zones of the given sizes. The last zone gets all remaining servers.
func newFleet(count int, zoneSizes ...int) (servers []Server) {
	for i := range count {
		zone := 0
		remaining := i
		for zone < len(zoneSizes)-1 && remaining >= zoneSizes[zone] {
			remaining -= zoneSizes[zone]
			zone++
		}
		servers = append(servers, Server{fmt.Sprintf("n%04d", i), fmt.Sprint("z", zone)})
	}
	return servers
}

// tenantNames returns count distinct tenant names.
func tenantNames(count int) (names []string) {
	for i := range count {
		names = append(names, fmt.Sprint("tenant-", i))
	}
	return names
}

// countShared returns the number of servers that two subsets have in common.
func countShared(subset, other []Server) (shared int) {
	for _, server := range subset {
		if slices.Contains(other, server) {
			shared++
		}
	}
	return shared
}

// movedFraction returns the fraction of the subsets' members in after that were not in the same tenant's subset in
// before.
func movedFraction(before, after *Assignment, tenants []string) float64 {
	moved := 0
	total := 0
	for _, tenant := range tenants {
		subset := after.Subset(tenant)
		total += len(subset)
		moved += len(subset) - countShared(subset, before.Subset(tenant))
	}
	return float64(moved) / float64(total)
}

// countFullOverlaps returns the number of other tenants that share all of their servers with the first tenant, and the
// largest number of servers that any of them shares with it.
func countFullOverlaps(assignment *Assignment, tenants []string) (overlaps, maxShared int) {
	firstSubset := assignment.Subset(tenants[0])
	for _, other := range tenants[1:] {
		subset := assignment.Subset(other)
		shared := countShared(subset, firstSubset)
		maxShared = max(maxShared, shared)
		if shared == len(subset) {
			overlaps++
		}
	}
	return overlaps, maxShared
}

// TestMeasuredSubsets checks that the load is balanced, that few subsets change when a server leaves or joins, and that
// a tenant that makes all of its servers fail leaves every other tenant at least one server.
func TestMeasuredSubsets(t *testing.T) {
	for _, test := range []struct {
		name       string
		servers    int
		tenants    int
		subsetSize int
		zoneSizes  []int
	}{
		{"small fleet", 12, 40, 3, []int{4, 4, 4}},
		{"two unequal zones", 33, 200, 4, []int{3, 30}},
		{"large fleet", 300, 3000, 6, []int{100, 100, 100}},
		{"large fleet in unequal zones", 300, 3000, 6, []int{20, 80, 200}},
	} {
		t.Run(test.name, func(t *testing.T) {
			config := Config{Seed: 9, SubsetSize: test.subsetSize, LoadSlack: 0.2}
			servers := newFleet(test.servers, test.zoneSizes...)
			names := tenantNames(test.tenants)
			assignment := Assign(config, servers, names)
			afterLeave := Assign(config, slices.Delete(slices.Clone(servers), test.servers/2, test.servers/2+1), names)
			afterJoin := Assign(config, append(slices.Clone(servers), Server{"n9999", "z0"}), names)
			movedByLeave := movedFraction(assignment, afterLeave, names)
			movedByJoin := movedFraction(assignment, afterJoin, names)
			overlaps, maxShared := countFullOverlaps(assignment, names)
			t.Logf("measured subsets servers=%d zones=%v tenants=%d size=%d max_over_mean=%.3f moved_leave=%.4f "+
				"moved_join=%.4f one_of_n=%.4f full_overlaps=%d max_shared=%d",
				test.servers, test.zoneSizes, test.tenants, test.subsetSize, assignment.MaxOverMean(), movedByLeave,
				movedByJoin, 1/float64(test.servers), overlaps, maxShared)
			require.Zero(t, overlaps)
			require.LessOrEqual(t, movedByLeave, 5/float64(test.servers))
			require.LessOrEqual(t, movedByJoin, 5/float64(test.servers))
			if test.servers == 300 {
				require.LessOrEqual(t, assignment.MaxOverMean(), 1.15)
			}
		})
	}
}

// shuffledWithRepeat returns a copy of a list in random order that contains the first element twice.
func shuffledWithRepeat[T any](random *rand.Rand, list []T) []T {
	shuffled := append(slices.Clone(list), list[0])
	random.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	return shuffled
}

// TestSubsetsDependOnNothingButTheView checks that servers with the same view compute the same subsets, in whatever
// order they learned of servers and tenants. No subset may be empty or contain a server twice.
func TestSubsetsDependOnNothingButTheView(t *testing.T) {
	random := rand.New(rand.NewSource(3))
	for range 200 {
		count := 1 + random.Intn(40)
		servers := newFleet(count, 1+random.Intn(count), 1+random.Intn(count), count)
		names := tenantNames(1 + random.Intn(60))
		config := Config{Seed: random.Uint64(), SubsetSize: 1 + random.Intn(8), LoadSlack: 0.2}
		assignment := Assign(config, servers, names)
		shuffledServers := shuffledWithRepeat(random, servers)
		other := Assign(config, shuffledServers, shuffledWithRepeat(random, names))
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
	require.Empty(t, Assign(Config{SubsetSize: 3}, nil, tenantNames(3)).Subset("tenant-1"))
}

// BenchmarkContains measures a lookup of a tenant that was passed to Assign.
func BenchmarkContains(b *testing.B) {
	for _, count := range []int{12, 300, 3000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			config := Config{Seed: 1, SubsetSize: 6, LoadSlack: 0.2}
			assignment := Assign(config, newFleet(count, count), tenantNames(200))
			name := assignment.Subset("tenant-7")[5].Name
			b.ReportAllocs()
			for b.Loop() {
				assignment.Contains("tenant-7", name)
			}
		})
	}
}
