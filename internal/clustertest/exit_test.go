package clustertest_test

import (
	"syscall"
	"testing"
	"time"
)

// Guards against a process that has ended and is killed because it still waits for members that do not answer to
// receive its announcement that it leaves. It must exit 0.1 s before the kill, also if the notice was up to 0.3 s late.
func TestExitDoesNotWaitForMembersThatDoNotAnswer(t *testing.T) {
	t.Parallel()
	const (
		stopTimeout = 3 * time.Second // that of the cluster
		minMargin   = 400 * time.Millisecond
	)
	cluster := startGossipCluster(t, 3, 31)
	all := cluster.Servers
	cluster.waitForView("three alive", all, majorityOf(3))
	stopped := all[2]
	cluster.NoError(stopped.Signal(syscall.SIGSTOP))
	for _, leaving := range all[:2] { // the second one leaves when no other member answers
		sentAt := time.Now()
		cluster.NoError(leaving.Signal(syscall.SIGTERM))
		<-leaving.Exited()
		margin := stopTimeout - time.Since(sentAt)
		t.Logf("measured exit margin_ms=%d", margin.Milliseconds())
		cluster.Zero(leaving.ExitCode())
		cluster.GreaterOrEqual(margin, minMargin, leaving.Log.String())
	}
	cluster.NoError(stopped.Signal(syscall.SIGCONT))
}
