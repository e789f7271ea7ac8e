package clustertest_test

import (
	"bytes"
	"encoding/base64"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"thistlequay/internal/clustertest"
	"thistlequay/internal/command"
	"thistlequay/internal/gossip"
	"thistlequay/internal/membership"
)

// Members that do not belong: of another cluster, with an old or a wrong key, under a name that is taken, with a
// clock a minute ahead, and a network that duplicates and truncates. None is accepted, and no member fails because of
// them.
func TestForeignGossipMembersAreRejected(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, clustertest.Config{ServerCount: 5, Seed: 2, Gossip: true, ConfiguredServerCount: 4})
	all := cluster.Servers
	key := func(text string) string { return base64.StdEncoding.EncodeToString([]byte(text)) }
	next := key("the key of later")
	for _, server := range all[:4] {
		cluster.NoError(server.Start())
	}
	home := all[:4]
	cluster.waitForView("four are there", home, majorityOf(4))
	strangers := map[string]func(server *clustertest.Server){
		"another fleet": func(server *clustertest.Server) {
			server.Configure("x1", "other",
				clustertest.DefaultKey)
		},
		"a wrong key": func(server *clustertest.Server) {
			server.Configure("x2", "rig",
				key("a key of nowhere"))
		},
		"a key of tomorrow": func(server *clustertest.Server) { server.Configure("x3", "rig", next) },
	}
	for what, as := range strangers {
		as(all[4])
		cluster.NoError(all[4].Start())
		cluster.waitForView(what, all[4:], func(status gossip.Status) bool {
			return status.QuorumStatus == "alone" && len(status.Members) == 1
		})
		cluster.NoError(all[4].Kill())
	}
	// A second process under a name that is taken, started with its clock a minute off: the first one keeps the name.
	all[4].Configure("n03", "rig", clustertest.DefaultKey, "--clock-shift=1m")
	cluster.NoError(all[4].Start())
	taken := func(status gossip.Status) bool {
		lives := 0
		for _, l := range status.Members {
			if l.Name == "n03" && l.State == "gone" && l.Cause == "name taken" {
				lives++
			}
		}
		return lives == 1 && memberLine(status, "n03").State == "serving"
	}
	cluster.waitForView("a name that is taken", home, taken)
	cluster.NoError(all[4].Kill())
	// The network duplicates, reorders and truncates: the views stay.
	cluster.SetFaultEverywhere(clustertest.Fault{Loss: 0.3, Duplication: 0.2, Truncation: 0.05,
		Jitter: 50 * time.Millisecond, ReplayAfter: 700 * time.Millisecond})
	cluster.NoError(all[0].Kill())
	cluster.waitForView("a crash under loss", home[1:], memberIs("n00", "failed"))
	cluster.Heal()
	cluster.NoError(all[0].Start())
	cluster.waitForView("all are back", home, majorityOf(4))
	for _, server := range home {
		status, err := server.GossipStatus()
		cluster.NoError(err)
		for _, l := range status.Members {
			cluster.NotContains([]string{"x1", "x2", "x3"}, l.Name)
		}
	}
	// Keys rotate during gossip: both are accepted before any member sends with the new one, then the old one goes.
	for _, keys := range []string{clustertest.DefaultKey + "\n" + next, next + "\n" + clustertest.DefaultKey, next} {
		for _, server := range home {
			cluster.NoError(server.ReloadWithKeys(keys))
		}
	}
	cluster.NoError(all[3].Kill())
	cluster.NoError(all[3].Configure("", "", next).Start())
	cluster.waitForView("under the new key", home, majorityOf(4))
	all[4].Configure("x4", "rig", clustertest.DefaultKey)
	cluster.NoError(all[4].Start())
	cluster.waitForView("the old key", all[4:], func(status gossip.Status) bool {
		return status.QuorumStatus == "alone" &&
			len(status.Members) == 1
	})
	cluster.NoError(all[4].Kill())
	cluster.waitForView("the first is with the whole", all[:1], agreedOn(4))
	var out bytes.Buffer
	cluster.Zero(command.Run([]string{"members", all[0].StatusAddress}, &out, &out), out.String())
	cluster.Contains(out.String(), "n00: whole for ")
	cluster.Contains(out.String(), "n03")
	out.Reset()
	cluster.Zero(command.Run([]string{"members", "--json", all[0].StatusAddress}, &out, &out))
	cluster.Contains(out.String(), `"state": "serving"`)
}

// A member with the cluster's key lies to processes about others and about themselves, and sends messages that are
// corrupted, of 64 KiB and of unknown kinds: none is taken, all are counted, and its updates about itself still hold.
func TestForgedGossipIsRejectedAndCounted(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, clustertest.Config{ServerCount: 5, Seed: 8, Gossip: true, ConfiguredServerCount: 4})
	all := cluster.Servers
	home := cluster.Servers[:4]
	for _, server := range home {
		cluster.NoError(server.Start())
	}
	cluster.waitForView("four are there", home, agreedOn(4))
	listen, advertise, err := all[4].GossipAddresses()
	cluster.NoError(err)
	key, err := base64.StdEncoding.DecodeString(clustertest.DefaultKey)
	cluster.NoError(err)
	_, first, err := all[0].GossipAddresses()
	cluster.NoError(err)
	terms := membership.DefaultConfig(membership.ID{Name: "liar", Incarnation: uint64(time.Now().UnixMicro())})
	liar, err := gossip.Start(gossip.Config{Membership: terms, ListenAddress: listen, AdvertiseAddress: advertise,
		SeedAddresses: []string{first}, ClusterName: "rig", Keys: [][]byte{key}})
	cluster.NoError(err)
	defer liar.Close()
	liar.SetLocalState(gossip.LocalState{State: membership.StateServing})
	cluster.waitForView("it is one of them", home, memberIs("liar", "serving"))
	before, err := all[1].GossipStatus()
	cluster.NoError(err)
	var victim, target membership.Member
	cluster.NoError(liar.Inspect(func(v *membership.View, _ *membership.Agreement) {
		for _, m := range v.Members() {
			switch m.Name {
			case "n00":
				victim = *m
			case "n01":
				target = *m
			}
		}
	}))
	text := func(v any) []byte {
		b, err := cbor.Marshal(v)
		cluster.NoError(err)
		return b
	}
	lies := map[byte][][]byte{
		1: {text(membership.StateUpdate{ID: victim.ID, Sequence: 1 << 40, State: membership.StateDraining}),
			text(membership.StateUpdate{ID: target.ID, Sequence: 1 << 40, State: membership.StateDraining})},
		2: {text(membership.Message{Kind: membership.MessageCommitted, From: victim.ID, To: target.ID, Epoch: 1 << 40,
			Configuration: &membership.Configuration{Epoch: 1 << 40, MemberCount: 1, LeaseDuration: 60000,
				Voters: []membership.Voter{{ID: terms.Self}}}}), []byte("spoilt")},
		gossip.FirstEnvelopeKind: {text(map[int]any{1: victim.ID, 2: target.ID, 3: []byte("for another")}),
			make([]byte, 64<<10)},
		200: {bytes.Repeat([]byte{0x9f}, 900), make([]byte, 64<<10)},
	}
	for kind, messages := range lies {
		for _, m := range messages {
			cluster.NoError(liar.SendRaw(target.ID, target.Address, kind, m))
		}
	}
	cluster.waitForView("the lies were counted", all[1:2], func(status gossip.Status) bool {
		return status.Rejected.Forged >= before.Rejected.Forged+1 && status.Malformed >= before.Malformed+1
	})
	cluster.waitForView("none of them was taken", home, func(status gossip.Status) bool {
		return memberLine(status, "n00").State == "serving" && memberLine(status, "n01").State == "serving" &&
			status.Epoch < 1<<40 &&
			status.QuorumStatus == "whole"
	})
	liar.SetLocalState(gossip.LocalState{State: membership.StateDraining})
	cluster.waitForView("what it says of itself holds", home, memberIs("liar", "leaving", "left"))
}
