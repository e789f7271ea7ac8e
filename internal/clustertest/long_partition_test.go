package clustertest_test

import (
	"slices"
	"testing"
	"time"

	"thistlequay/internal/servertest"
)

// Guards against a cluster that stays split after a partition that outlasts memberlist's memory of failed members: the
// smaller side kept to its guaranteed minimum until an operator restarted it. The load exceeds the quota all the time.
func TestMeasuredLongPartitionHealsWithLeases(t *testing.T) {
	t.Parallel()
	const (
		totalCalls   = 20
		maxSeenTime  = 20 * time.Second // until all see all after the heal
		maxLeaseTime = 20 * time.Second // from then on, until all have leases
	)
	lengths := []time.Duration{15 * time.Second}
	if isFullMeasurement() {
		lengths = []time.Duration{5 * time.Second, 15 * time.Second, 40 * time.Second, 2 * time.Minute}
	}
	cluster := startQuotaCluster(t, quotaClusterConfig{
		servers:    5,
		slots:      8,
		totalCalls: totalCalls,
		callShare:  totalCalls / 5,
		seed:       33,
		replyDelay: 60 * time.Millisecond,
	})
	all := slices.Clone(cluster.Servers)
	cluster.waitForQuota("leases granted", all, hasLease)
	cluster.waitForView("all five agreed on", all, agreedOn(5))
	rivals := cluster.countRivalMajorities()
	load := cluster.startLoad(400, all)
	peaks := callPeaks{cluster: cluster}
	isLoaded := func() bool { return cluster.Index.PeakInFlight() > totalCalls/2 }
	cluster.Eventually(isLoaded, servertest.EventTimeout, 100*time.Millisecond, "the load is too small for the quota")
	for _, length := range lengths {
		cluster.Partition(isAmongFirstTwo)
		time.Sleep(length) // the fault itself
		peaks.check("partitioned", totalCalls)
		cluster.Heal()
		healedAt := time.Now()
		cluster.waitForView("all see all", all, majorityOf(5))
		seen := time.Since(healedAt)
		cluster.waitForQuota("leases after the partition", all, hasLease)
		leased := time.Since(healedAt)
		peaks.check("healed", totalCalls)
		t.Logf("measured long-partition sides=2|3 length_s=%.0f all_seen_ms=%d leases_ms=%d peak=%d total=%d "+
			"rival_majorities=%d", length.Seconds(), seen.Milliseconds(), leased.Milliseconds(), peaks.maxPeak,
			totalCalls, rivals.Count())
		cluster.Less(seen, maxSeenTime)
		cluster.Less(leased, seen+maxLeaseTime)
		cluster.waitForView("all five agreed on again", all, agreedOn(5))
	}
	load.stop()
	cluster.Zero(peaks.exceeded)
	cluster.Zero(rivals.Count())
}
