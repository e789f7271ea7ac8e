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
	g := newTestCluster(t, clustertest.Config{ServerCount: 5, Seed: 2, Gossip: true, ConfiguredServerCount: 4})
	all := g.Servers
	key := func(text string) string { return base64.StdEncoding.EncodeToString([]byte(text)) }
	next := key("the key of later")
	for _, s := range all[:4] {
		g.NoError(s.Start())
	}
	home := all[:4]
	g.waitForView("four are there", home, majorityOf(4))
	strangers := map[string]func(s *clustertest.Server){
		"another fleet":     func(s *clustertest.Server) { s.Configure("x1", "other", clustertest.DefaultKey) },
		"a wrong key":       func(s *clustertest.Server) { s.Configure("x2", "rig", key("a key of nowhere")) },
		"a key of tomorrow": func(s *clustertest.Server) { s.Configure("x3", "rig", next) },
	}
	for what, as := range strangers {
		as(all[4])
		g.NoError(all[4].Start())
		g.waitForView(what, all[4:], func(r gossip.Status) bool {
			return r.QuorumStatus == "alone" && len(r.Members) == 1
		})
		g.NoError(all[4].Kill())
	}
	// A second process under a name that is taken, started with its clock a minute off: the first one keeps the name.
	all[4].Configure("n03", "rig", clustertest.DefaultKey, "--clock-shift=1m")
	g.NoError(all[4].Start())
	taken := func(r gossip.Status) bool {
		lives := 0
		for _, l := range r.Members {
			if l.Name == "n03" && l.State == "gone" && l.Cause == "name taken" {
				lives++
			}
		}
		return lives == 1 && memberLine(r, "n03").State == "serving"
	}
	g.waitForView("a name that is taken", home, taken)
	g.NoError(all[4].Kill())
	// The network duplicates, reorders and truncates: the views stay.
	g.SetFaultEverywhere(clustertest.Fault{Loss: 0.3, Duplication: 0.2, Truncation: 0.05,
		Jitter: 50 * time.Millisecond, ReplayAfter: 700 * time.Millisecond})
	g.NoError(all[0].Kill())
	g.waitForView("a crash under loss", home[1:], memberIs("n00", "failed"))
	g.Heal()
	g.NoError(all[0].Start())
	g.waitForView("all are back", home, majorityOf(4))
	for _, s := range home {
		r, err := s.GossipStatus()
		g.NoError(err)
		for _, l := range r.Members {
			g.NotContains([]string{"x1", "x2", "x3"}, l.Name)
		}
	}
	// Keys rotate during gossip: both are accepted before any member sends with the new one, then the old one goes.
	for _, keys := range []string{clustertest.DefaultKey + "\n" + next, next + "\n" + clustertest.DefaultKey, next} {
		for _, s := range home {
			g.NoError(s.ReloadWithKeys(keys))
		}
	}
	g.NoError(all[3].Kill())
	g.NoError(all[3].Configure("", "", next).Start())
	g.waitForView("under the new key", home, majorityOf(4))
	all[4].Configure("x4", "rig", clustertest.DefaultKey)
	g.NoError(all[4].Start())
	g.waitForView("the old key", all[4:], func(r gossip.Status) bool {
		return r.QuorumStatus == "alone" &&
			len(r.Members) == 1
	})
	g.NoError(all[4].Kill())
	g.waitForView("the first is with the whole", all[:1], agreedOn(4))
	var out bytes.Buffer
	g.Zero(command.Run([]string{"members", all[0].StatusAddress}, &out, &out), out.String())
	g.Contains(out.String(), "n00: whole for ")
	g.Contains(out.String(), "n03")
	out.Reset()
	g.Zero(command.Run([]string{"members", "--json", all[0].StatusAddress}, &out, &out))
	g.Contains(out.String(), `"state": "serving"`)
}

// A member with the cluster's key lies to processes about others and about themselves, and sends messages that are
// corrupted, of 64 KiB and of unknown kinds: none is taken, all are counted, and its updates about itself still hold.
func TestForgedGossipIsRejectedAndCounted(t *testing.T) {
	t.Parallel()
	g := newTestCluster(t, clustertest.Config{ServerCount: 5, Seed: 8, Gossip: true, ConfiguredServerCount: 4})
	all := g.Servers
	home := g.Servers[:4]
	for _, s := range home {
		g.NoError(s.Start())
	}
	g.waitForView("four are there", home, agreedOn(4))
	listen, advertise, err := all[4].GossipAddresses()
	g.NoError(err)
	key, err := base64.StdEncoding.DecodeString(clustertest.DefaultKey)
	g.NoError(err)
	_, first, err := all[0].GossipAddresses()
	g.NoError(err)
	terms := membership.DefaultConfig(membership.ID{Name: "liar", Incarnation: uint64(time.Now().UnixMicro())})
	liar, err := gossip.Start(gossip.Config{Membership: terms, ListenAddress: listen, AdvertiseAddress: advertise,
		SeedAddresses: []string{first}, ClusterName: "rig", Keys: [][]byte{key}})
	g.NoError(err)
	defer liar.Close()
	liar.SetLocalState(gossip.LocalState{State: membership.StateServing})
	g.waitForView("it is one of them", home, memberIs("liar", "serving"))
	before, err := all[1].GossipStatus()
	g.NoError(err)
	var victim, target membership.Member
	g.NoError(liar.Inspect(func(v *membership.View, _ *membership.Agreement) {
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
		g.NoError(err)
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
			g.NoError(liar.SendRaw(target.ID, target.Address, kind, m))
		}
	}
	g.waitForView("the lies were counted", all[1:2], func(r gossip.Status) bool {
		return r.Rejected.Forged >= before.Rejected.Forged+1 && r.Malformed >= before.Malformed+1
	})
	g.waitForView("none of them was taken", home, func(r gossip.Status) bool {
		return memberLine(r, "n00").State == "serving" && memberLine(r, "n01").State == "serving" && r.Epoch < 1<<40 &&
			r.QuorumStatus == "whole"
	})
	liar.SetLocalState(gossip.LocalState{State: membership.StateDraining})
	g.waitForView("what it says of itself holds", home, memberIs("liar", "leaving", "left"))
}
