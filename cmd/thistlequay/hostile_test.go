package main

import (
	"bytes"
	"encoding/base64"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"thistlequay/internal/clustertest"
	"thistlequay/internal/gossip"
	"thistlequay/internal/membership"
)

// A member with the cluster's key lies to processes about others and about themselves, and sends messages that are
// corrupted, of 64 KiB and of unknown kinds: none is taken, all are counted, and its updates about itself still hold.
func TestForgedGossipIsRejectedAndCounted(t *testing.T) {
	t.Parallel()
	g := newTestCluster(t, clustertest.Plan{Servers: 5, Seed: 8, Gossip: true, ConfiguredServers: 4})
	all, home := g.Servers, g.Servers[:4]
	for _, s := range home {
		g.NoError(s.Start())
	}
	g.waitForView("four are there", home, agreedOn(4))
	listen, advertise, err := all[4].GossipAddresses()
	g.NoError(err)
	key, err := base64.StdEncoding.DecodeString(clustertest.Key)
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
	before, err := all[1].View()
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
