package clustertest_test

import (
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"thistlequay/internal/clustertest"
	"thistlequay/internal/emulator"
	"thistlequay/internal/quota/service"
)

// coordinatorDisk is the directory that one coordinator stores its log in.
type coordinatorDisk struct {
	cluster *testCluster
	server  *clustertest.Server
}

// path returns the path of the directory.
func (d coordinatorDisk) path() string {
	return filepath.Join(d.cluster.WorkDirectory, "keeper-"+d.server.Name)
}

// truncateFirstFile truncates the first file in the middle of a page.
func (d coordinatorDisk) truncateFirstFile() {
	d.cluster.t.Helper()
	files, err := filepath.Glob(filepath.Join(d.path(), "*"))
	d.cluster.NoError(err)
	text, err := os.ReadFile(files[0])
	d.cluster.NoError(err)
	d.cluster.NoError(os.WriteFile(files[0], text[:len(text)*2/5+100], 0o600))
}

// remove deletes the directory.
func (d coordinatorDisk) remove() {
	d.cluster.t.Helper()
	d.cluster.NoError(os.RemoveAll(d.path()))
}

// voterID returns a server's voter ID among the coordinators, or 0 if it is not a voter.
func (c *testCluster) voterID(server *clustertest.Server) uint64 {
	c.t.Helper()
	status, err := server.QuotaStatus()
	c.NoError(err)
	return status.Voter
}

// TestCoordinatorsRecoverFromDisk kills and restarts three named coordinators, one after the other. While they are
// down, a file of the second is truncated and the directory of the third removed. Only the one with an intact log may
// restart as the same voter. Then all servers are killed at once and restarted, and the committed log must continue.
func TestCoordinatorsRecoverFromDisk(t *testing.T) {
	t.Parallel()
	cluster := startQuotaCluster(t, quotaClusterConfig{
		servers:    4,
		slots:      4,
		totalCalls: 12,
		callShare:  3,
		seed:       9,
		replyDelay: 30 * time.Millisecond,
		quotaYAML:  newLogYAML,
	})
	all := slices.Clone(cluster.Servers)
	coordinators := all[:3]
	cluster.waitForQuota("leases granted", all, hasLease)
	cluster.ServiceYAML = func(server *clustertest.Server) string {
		return quotaYAML(12, 4) + namedCoordinatorsYAML(server)
	}
	for _, test := range []struct {
		killed    *clustertest.Server
		damage    func(disk coordinatorDisk)
		sameVoter bool
	}{
		{killed: coordinators[0], damage: func(coordinatorDisk) {}, sameVoter: true},
		{killed: coordinators[1], damage: coordinatorDisk.truncateFirstFile, sameVoter: false},
		{killed: coordinators[2], damage: coordinatorDisk.remove, sameVoter: false},
	} {
		cluster.waitForView("four in the configuration", all, agreedOn(4))
		before := cluster.voterID(test.killed)
		cluster.NoError(test.killed.Kill())
		test.damage(coordinatorDisk{cluster, test.killed})
		cluster.waitForQuota("leases at the others", serversExcept(all, test.killed), hasLease)
		cluster.NoError(test.killed.Start())
		cluster.NoError(emulator.WaitUntilServing(test.killed.RouterAddress))
		cluster.waitForQuota("three voters", coordinators, func(status service.Status) bool {
			return knowsVoters(status, 3) && status.Opened
		})
		cluster.waitForQuota("leases granted again", all, hasLease)
		if test.sameVoter {
			cluster.Equal(before, cluster.voterID(test.killed))
		} else {
			cluster.NotEqual(before, cluster.voterID(test.killed), test.killed.Name)
		}
	}
	cluster.killAllAndRestart(all) // the coordinators must continue the stored log and not begin a new one
	cluster.waitForQuota("leases after all were killed", all, hasLease)
	for _, server := range coordinators {
		cluster.Contains(server.Log.String(), "state=restored")
	}
}
