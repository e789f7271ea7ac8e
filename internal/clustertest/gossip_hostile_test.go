package clustertest_test

import (
	"bytes"
	"encoding/base64"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"thistlequay/internal/clustertest"
	"thistlequay/internal/command"
	"thistlequay/internal/gossip"
	"thistlequay/internal/membership"
)

// clusterName is the cluster name of every server for which Server.Configure sets no other.
const clusterName = "rig"

// gossipKey returns the gossip key, in base64, that consists of a text of 16 bytes.
func gossipKey(text string) string { return base64.StdEncoding.EncodeToString([]byte(text)) }

// startClusterOfFour starts four servers, the members. It also creates a fifth server without starting it, with which a
// test runs a process that does not belong to the cluster.
func startClusterOfFour(t *testing.T, seed int64) (cluster *testCluster, members []*clustertest.Server,
	outsider *clustertest.Server) {
	t.Helper()
	cluster = newTestCluster(t, clustertest.Config{
		ServerCount:           5,
		Seed:                  seed,
		Gossip:                true,
		ConfiguredServerCount: 4,
	})
	members = cluster.Servers[:4]
	cluster.start(members)
	return cluster, members, cluster.Servers[4]
}

// TestForeignGossipMembersAreRejected starts processes that do not belong to the cluster: with another cluster name,
// with a wrong or outdated key, and under the name of a member with a clock that is a minute ahead. Then the network
// loses, duplicates and truncates messages, and the gossip keys are replaced while the servers run. No foreign process
// may be accepted as a member, and no member may fail because of one.
func TestForeignGossipMembersAreRejected(t *testing.T) {
	t.Parallel()
	cluster, members, outsider := startClusterOfFour(t, 2)
	oldKey := clustertest.DefaultKey
	newKey := gossipKey("the key of later")
	cluster.waitForView("four alive", members, majorityOf(4))

	for _, foreign := range []struct{ description, name, clusterName, key string }{
		{description: "another cluster", name: "x1", clusterName: "other", key: oldKey},
		{description: "a wrong key", name: "x2", clusterName: clusterName, key: gossipKey("a key of nowhere")},
		{description: "a key that the members do not have yet", name: "x3", clusterName: clusterName, key: newKey},
	} {
		outsider.Configure(foreign.name, foreign.clusterName, foreign.key)
		cluster.requireOutsiderIsolated(foreign.description, outsider)
	}
	cluster.requireMemberKeepsName(outsider, members)
	cluster.requireNoOutsiderAfterLoss(members)

	// Replace the key in three steps while the servers gossip. All members accept both keys before any member sends
	// with the new one, and the old key is removed last.
	for _, keys := range []string{oldKey + "\n" + newKey, newKey + "\n" + oldKey, newKey} {
		for _, server := range members {
			cluster.NoError(server.ReloadWithKeys(keys))
		}
	}
	cluster.NoError(members[3].Kill())
	cluster.NoError(members[3].Configure("", "", newKey).Start())
	cluster.waitForView("restarted with the new key", members, majorityOf(4))
	outsider.Configure("x4", clusterName, oldKey)
	cluster.requireOutsiderIsolated("the old key", outsider)
	cluster.waitForView("first server in the majority", members[:1], agreedOn(4))
	cluster.requireMembersCommand(members[0])
}

// requireOutsiderIsolated starts a server that does not belong to the cluster, checks that it finds no other member,
// and kills it.
func (c *testCluster) requireOutsiderIsolated(description string, outsider *clustertest.Server) {
	c.t.Helper()
	c.NoError(outsider.Start())
	c.waitForView(description, []*clustertest.Server{outsider}, isIsolated)
	c.NoError(outsider.Kill())
}

// requireMemberKeepsName starts a second process under the name of a member, with its clock a minute ahead, and checks
// that the member keeps the name.
func (c *testCluster) requireMemberKeepsName(outsider *clustertest.Server, members []*clustertest.Server) {
	c.t.Helper()
	const name = "n03"
	outsider.Configure(name, clusterName, clustertest.DefaultKey, "--clock-shift=1m")
	c.NoError(outsider.Start())
	c.waitForView("name taken", members, func(status gossip.Status) bool {
		rejected := 0
		for _, member := range status.Members {
			if member.Name == name && member.State == "gone" && member.Cause == "name taken" {
				rejected++
			}
		}
		return rejected == 1 && memberStatus(status, name).State == "serving"
	})
	c.NoError(outsider.Kill())
}

// requireNoOutsiderAfterLoss makes the network lose, duplicate, reorder, replay and truncate messages while one server
// crashes. The others must detect the crash, all must converge after the network has recovered, and none may list a
// foreign process as a member.
func (c *testCluster) requireNoOutsiderAfterLoss(members []*clustertest.Server) {
	c.t.Helper()
	c.SetFaultEverywhere(clustertest.Fault{
		Loss:        0.3,
		Duplication: 0.2,
		Truncation:  0.05,
		Jitter:      50 * time.Millisecond,
		ReplayAfter: 700 * time.Millisecond,
	})
	c.NoError(members[0].Kill())
	c.waitForView("crash detected under loss", members[1:], memberIs("n00", "failed"))
	c.Heal()
	c.NoError(members[0].Start())
	c.waitForView("four alive again", members, majorityOf(4))
	for _, server := range members {
		for _, member := range c.gossipStatus(server).Members {
			c.NotContains([]string{"x1", "x2", "x3"}, member.Name)
		}
	}
}

// requireMembersCommand runs the command "members" against a server in the majority and checks its text and JSON
// output.
func (c *testCluster) requireMembersCommand(server *clustertest.Server) {
	c.t.Helper()
	var output bytes.Buffer
	c.Zero(command.Run([]string{"members", server.StatusAddress}, &output, &output), output.String())
	c.Contains(output.String(), "n00: whole for ")
	c.Contains(output.String(), "n03")
	output.Reset()
	c.Zero(command.Run([]string{"members", "--json", server.StatusAddress}, &output, &output))
	c.Contains(output.String(), `"state": "serving"`)
}

// TestForgedGossipIsRejectedAndCounted makes a member with the cluster's key send messages that forge the state of
// other members or of the receiver, and messages that are corrupted, 64 KiB long or of an unknown kind. The servers
// must accept none of them and count rejections as forged and as malformed, but must still accept the sender's updates
// about itself.
func TestForgedGossipIsRejectedAndCounted(t *testing.T) {
	t.Parallel()
	cluster, members, unstarted := startClusterOfFour(t, 8)
	cluster.waitForView("four in the configuration", members, agreedOn(4))
	forger, forgerID := cluster.startForger(unstarted, members[0])
	forger.SetLocalState(gossip.LocalState{State: membership.StateServing})
	cluster.waitForView("forger alive", members, memberIs(forgerName, "serving"))
	before := cluster.gossipStatus(members[1])
	var victim, target membership.Member
	cluster.NoError(forger.Inspect(func(view *membership.View, _ *membership.Agreement) {
		for _, member := range view.Members() {
			switch member.Name {
			case "n00":
				victim = *member
			case "n01":
				target = *member
			}
		}
	}))

	for kind, messages := range forgedMessages(t, victim.ID, target.ID, forgerID) {
		for _, message := range messages {
			cluster.NoError(forger.SendRaw(target.ID, target.Address, kind, message))
		}
	}
	cluster.waitForView("forged messages counted", members[1:2], func(status gossip.Status) bool {
		return status.Rejected.Forged >= before.Rejected.Forged+1 && status.Malformed >= before.Malformed+1
	})
	cluster.waitForView("forged messages rejected", members, func(status gossip.Status) bool {
		return memberStatus(status, "n00").State == "serving" &&
			memberStatus(status, "n01").State == "serving" &&
			status.Epoch < forgedNumber &&
			status.QuorumStatus == majority
	})
	forger.SetLocalState(gossip.LocalState{State: membership.StateDraining})
	cluster.waitForView("forger's own state accepted", members, memberIs(forgerName, "leaving", "left"))
}

const (
	// forgerName is the member name of the node that forges messages.
	forgerName = "liar"
	// forgedNumber is the sequence number and epoch of forged messages, larger than any that the cluster reaches.
	forgedNumber = 1 << 40
)

// startForger starts a gossip node inside the test, at the addresses of a server that is not started. The node has the
// cluster's name and key.
func (c *testCluster) startForger(unstarted, seed *clustertest.Server) (*gossip.Node, membership.ID) {
	c.t.Helper()
	listen, advertise, err := unstarted.GossipAddresses()
	c.NoError(err)
	key, err := base64.StdEncoding.DecodeString(clustertest.DefaultKey)
	c.NoError(err)
	_, seedAddress, err := seed.GossipAddresses()
	c.NoError(err)
	id := membership.ID{Name: forgerName, Incarnation: uint64(time.Now().UnixMicro())}
	forger, err := gossip.Start(gossip.Config{
		Membership:       membership.DefaultConfig(id),
		ListenAddress:    listen,
		AdvertiseAddress: advertise,
		SeedAddresses:    []string{seedAddress},
		ClusterName:      clusterName,
		Keys:             [][]byte{key},
	})
	c.NoError(err)
	c.t.Cleanup(forger.Close)
	return forger, id
}

// forgedMessages returns messages to send to the target, by message kind: state updates about the victim and about the
// target itself, a committed configuration whose only voter is the forger, an envelope in the victim's name, and bytes
// that are not a valid message.
func forgedMessages(t *testing.T, victim, target, forger membership.ID) map[byte][][]byte {
	t.Helper()
	const (
		updateKind    = 1
		agreementKind = 2
		unknownKind   = 200
	)
	encode := func(message any) []byte {
		data, err := cbor.Marshal(message)
		require.NoError(t, err)
		return data
	}
	drainingUpdate := func(id membership.ID) []byte {
		return encode(membership.StateUpdate{ID: id, Sequence: forgedNumber, State: membership.StateDraining})
	}
	committed := membership.Message{
		Kind:  membership.MessageCommitted,
		From:  victim,
		To:    target,
		Epoch: forgedNumber,
		Configuration: &membership.Configuration{
			Epoch:         forgedNumber,
			MemberCount:   1,
			LeaseDuration: 60000,
			Voters:        []membership.Voter{{ID: forger}},
		},
	}
	oversized := make([]byte, 64<<10)
	return map[byte][][]byte{
		updateKind:    {drainingUpdate(victim), drainingUpdate(target)},
		agreementKind: {encode(committed), []byte("spoilt")},
		gossip.FirstEnvelopeKind: {
			encode(map[int]any{1: victim, 2: target, 3: []byte("for another")}),
			oversized,
		},
		unknownKind: {bytes.Repeat([]byte{0x9f}, 900), oversized},
	}
}
