package gossip

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/membership"
	"thistlequay/internal/schedule"
	"thistlequay/internal/virtualtime"
)

// Time limits after a partition has healed.
const (
	maxReunionTime  = 20 * time.Second
	maxMajorityTime = 20 * time.Second // from then on
)

// partitionCase is a partition into sides, given as the side of each node, and its length.
type partitionCase struct {
	sides  []int
	length time.Duration
	seeds  []int // numbers of the nodes whose addresses are the seeds; nil means defaultSeeds
	oneWay bool  // only traffic from a higher side to a lower one is lost
}

// Guards against a cluster that stays split for ever: after a partition that outlasted gossipToDeadTime, no member
// tried to reach one that it considered failed.
func TestSidesOfALongPartitionReunite(t *testing.T) {
	twoOfFive := []int{0, 0, 1, 1, 1}
	halves := []int{0, 0, 0, 0, 1, 1, 1, 1}
	threeZones := []int{0, 1, 2, 0, 1, 2, 0, 1, 2, 0, 1, 2}
	lengths := schedule.Scale([]time.Duration{15 * time.Second},
		[]time.Duration{5 * time.Second, 15 * time.Second, 40 * time.Second, 2 * time.Minute, 30 * time.Minute})
	cases := map[string]partitionCase{
		"two of five":                {sides: twoOfFive},
		"two of five, one way":       {sides: twoOfFive, oneWay: true},
		"seeds on the minority side": {sides: twoOfFive, seeds: []int{0, 1}},
		"seeds on the majority side": {sides: twoOfFive, seeds: []int{2, 3, 4}},
		"a dead seed":                {sides: twoOfFive, seeds: []int{0, 2, 99}},
		"halves of eight":            {sides: halves},
		"one, one and three":         {sides: []int{0, 1, 2, 2, 2}},
	}
	if schedule.Scale(false, true) { // under the race detector, twelve nodes take a minute and more
		cases["three zones"] = partitionCase{sides: threeZones}
	}
	for _, length := range lengths {
		for name, test := range cases {
			test.length = length
			t.Run(fmt.Sprint(name, " for ", length), func(t *testing.T) {
				virtualtime.Test(t, func(t *testing.T) { requireReunion(t, test) })
			})
		}
	}
}

// requireReunion partitions a cluster, heals it and requires that all nodes see each other and the majority in time,
// and that there are never two majorities.
func requireReunion(t *testing.T, test partitionCase) {
	t.Helper()
	size := len(test.sides)
	network := newVirtualNetwork(int64(size))
	nodes := startNodes(t, network, size, test.seeds...)
	defer closeNodes(nodes)
	require.Positive(t, waitUntil(3*time.Minute, func() bool { return allInMajority(nodes, size) }))
	sideOf := map[string]int{}
	for i, node := range nodes {
		sideOf[node.config.ListenAddress] = test.sides[i]
	}
	network.setCut(func(from, to string) bool {
		if test.oneWay {
			return sideOf[from] > sideOf[to]
		}
		return sideOf[from] != sideOf[to]
	})
	rivals := 0
	waitUntil(test.length, func() bool {
		rivals += rivalMajorities(nodes)
		return false
	})
	network.setCut(nil)
	isReunited := func() bool {
		rivals += rivalMajorities(nodes)
		return allSeeAlive(nodes, size)
	}
	reunited := waitUntil(maxReunionTime, isReunited)
	agreed := waitUntil(maxMajorityTime, func() bool {
		rivals += rivalMajorities(nodes)
		return allInMajority(nodes, size)
	})
	t.Logf("measured reunion sides=%v one_way=%t length_s=%.0f all_seen_ms=%d majority_ms=%d rival_majorities=%d",
		test.sides, test.oneWay, test.length.Seconds(), reunited.Milliseconds(), agreed.Milliseconds(), rivals)
	require.GreaterOrEqual(t, reunited, time.Duration(0), "not all see all")
	require.GreaterOrEqual(t, agreed, time.Duration(0), "not all are in the majority")
	require.Zero(t, rivals)
}

// Guards against attempts to reconnect that grow with the number of failed members, of which a third are gone here.
func TestMeasuredReconnectAttempts(t *testing.T) {
	for _, size := range schedule.Scale([]int{12}, []int{12, 300}) {
		virtualtime.Test(t, func(t *testing.T) {
			network := newVirtualNetwork(int64(size))
			nodes := startNodes(t, network, size)
			defer closeNodes(nodes)
			require.Positive(t, waitUntil(3*time.Minute, func() bool { return allInMajority(nodes, size) }))
			remaining := nodes[:size-size/3]
			for _, gone := range nodes[len(remaining):] {
				network.transports[gone.config.ListenAddress].closed.Store(true)
			}
			time.Sleep(time.Minute)
			attemptsBefore := reconnectAttempts(remaining)
			const observed = 2 * time.Minute
			time.Sleep(observed)
			perSecond := float64(reconnectAttempts(remaining)-attemptsBefore) / observed.Seconds()
			perServer := perSecond / float64(len(remaining))
			t.Logf("measured reconnect members=%d gone=%d attempts_per_s=%.2f per_server_per_s=%.3f", size,
				size-len(remaining), perSecond, perServer)
			require.Positive(t, perSecond)
			require.LessOrEqual(t, perServer, 1/minReconnectInterval.Seconds()*1.1)
			require.LessOrEqual(t, perSecond, 1/reconnectIntervalPerMember.Seconds()*1.1)
		})
	}
}

// reconnectAttempts returns the number of attempts that nodes have made.
func reconnectAttempts(nodes []*Node) (count int64) {
	for _, node := range nodes {
		count += node.ReconnectAttempts.Load()
	}
	return count
}

// Guards against attempts to reach members that have announced their leave, and against a reconnection that merges two
// clusters: another cluster with another name, or with other keys, starts at the addresses of failed members.
func TestReconnectingNeverMergesClustersOrFollowsLeavers(t *testing.T) {
	for name, change := range map[string]func(config *Config){
		"another cluster name": func(config *Config) { config.ClusterName = "other" },
		"another key":          func(config *Config) { config.Keys = [][]byte{[]byte("fedcba9876543210")} },
	} {
		t.Run(name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				network := newVirtualNetwork(7)
				nodes := startNodes(t, network, 5)
				require.Positive(t, waitUntil(3*time.Minute, func() bool { return allInMajority(nodes, 5) }))
				nodes[3].SetLocalState(LocalState{State: membership.StateDraining})
				time.Sleep(2 * time.Second)
				nodes[3].Close()
				network.transports[nodes[4].config.ListenAddress].closed.Store(true)
				remaining := nodes[:3]
				require.Positive(t, waitUntil(time.Minute, func() bool { return allInMajority(remaining, 3) }))
				time.Sleep(20 * time.Second)
				for _, node := range remaining {
					var candidates []string
					require.NoError(t, node.Inspect(func(*membership.View, *membership.Agreement) {
						candidates = node.reconnectAddresses()
					}))
					require.Equal(t, []string{nodes[4].config.ListenAddress}, candidates)
				}
				transport := network.newTransport(5) // at the address of the failed member
				config := testConfig(40, 5, transport, transport.address)
				change(&config)
				stranger, err := Start(config)
				require.NoError(t, err)
				defer closeNodes([]*Node{remaining[0], remaining[1], remaining[2], nodes[4], stranger})
				before := reconnectAttempts(remaining)
				time.Sleep(time.Minute)
				require.Greater(t, reconnectAttempts(remaining), before)
				require.Equal(t, 1, stranger.memberCount())
				require.True(t, allSeeAlive(remaining, 3))
			})
		})
	}
}

// allSeeAlive reports whether every node sees the given number of members alive.
func allSeeAlive(nodes []*Node, alive int) bool {
	for _, node := range nodes {
		count := 0
		err := node.Inspect(func(view *membership.View, _ *membership.Agreement) { count = view.AliveCount() })
		if err != nil || count != alive {
			return false
		}
	}
	return true
}

// rivalMajorities returns the number of configurations in which some node claims the majority at this instant, beyond
// the first one.
func rivalMajorities(nodes []*Node) int {
	var epochs []uint64
	for _, node := range nodes {
		err := node.Inspect(func(_ *membership.View, agreement *membership.Agreement) {
			epoch := agreement.Configuration().Epoch
			if agreement.QuorumStatus() == membership.Majority && !slices.Contains(epochs, epoch) {
				epochs = append(epochs, epoch)
			}
		})
		if err != nil {
			continue
		}
	}
	return max(0, len(epochs)-1)
}
