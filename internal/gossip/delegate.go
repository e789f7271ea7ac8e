package gossip

// This file owns what the library asks and tells: words and notes that come and go, members that it holds for there or lost,
// and the direct pings. It runs on the library's goroutines and must never touch the view, nor block.

import (
	"bytes"
	"crypto/ed25519"
	"errors"
	"fmt"
	"net"
	"slices"
	"syscall"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/memberlist"

	"thistlequay/internal/membership"
	"thistlequay/timeunit"
)

// updateBroadcast is a word on its way round; a newer one of the same life takes its place.
type updateBroadcast struct {
	sender   membership.ID
	sequence uint64
	message  []byte
}

func (r *updateBroadcast) Invalidates(b memberlist.Broadcast) bool {
	o, is := b.(*updateBroadcast)
	return is && o.sender == r.sender && o.sequence <= r.sequence
}
func (r *updateBroadcast) Message() []byte { return r.message }
func (r *updateBroadcast) Finished()       {}

// delegate is the talk as the library sees it.
type delegate Node

// nodeMetadata is what the others must know of a member before its first word.
type nodeMetadata struct {
	PublicKey []byte `cbor:"1,keyasint"` // that its words and notes are sealed by
	Zone      string `cbor:"2,keyasint,omitempty"`
}

// NodeMeta is the server's own card.
func (d *delegate) NodeMeta(limit int) []byte {
	text, err := cbor.Marshal(nodeMetadata{PublicKey: d.privateKey.Public().(ed25519.PublicKey), Zone: d.config.Membership.Zone})
	if err != nil || len(text) > limit {
		return nil
	}
	return text
}

func (d *delegate) advertisedAddress() string {
	if d.config.AdvertiseAddress != "" {
		return d.config.AdvertiseAddress
	}
	return d.config.ListenAddress
}

func (d *delegate) NotifyMsg(text []byte) { (*Node)(d).onMessage(bytes.Clone(text)) }

// onMessage takes a message that came: a word goes on where it was news.
func (p *Node) onMessage(text []byte) {
	if len(text) == 0 || len(text) > maxMessageBytes(text[0]) {
		p.Malformed.Add(1)
		return
	}
	p.enqueue(func() {
		if w, news := p.receive(text); news && w.AgeMs == 0 {
			p.broadcast(w, text)
		}
	})
}

func (d *delegate) GetBroadcasts(overhead, limit int) [][]byte {
	return d.broadcasts.GetBroadcasts(overhead, limit)
}

// LocalState is what a full exchange hands over: words, each behind its length in two bytes.
func (d *delegate) LocalState(bool) (out []byte) {
	if words := d.pushPullState.Load(); words != nil {
		for _, w := range *words {
			out = append(append(out, byte(len(w)>>8), byte(len(w))), w...)
		}
	}
	return out
}

func (d *delegate) MergeRemoteState(text []byte, _ bool) {
	for n := 0; len(text) >= 2 && n < maxPushPullUpdates; n++ {
		size := int(text[0])<<8 | int(text[1])
		if text = text[2:]; size > len(text) {
			break
		}
		word := bytes.Clone(text[:size])
		text = text[size:]
		(*Node)(d).enqueue(func() { (*Node)(d).receive(word) })
	}
}

// NotifyAlive turns away what is no member of ours.
func (d *delegate) NotifyAlive(n *memberlist.Node) error {
	if _, ok := parseNodeName(n.Name); !ok {
		return fmt.Errorf("%q names no life of a server", n.Name)
	}
	return nil
}

func (d *delegate) NotifyJoin(n *memberlist.Node) {
	id, _ := parseNodeName(n.Name)
	var c nodeMetadata
	if strictDecoder.Unmarshal(n.Meta, &c) != nil || len(c.PublicKey) != ed25519.PublicKeySize {
		c = nodeMetadata{} // of another version: its first word binds its key
	}
	w := membership.StateUpdate{ID: id, Zone: c.Zone, Address: n.Address()} // its own first word has the rest
	(*Node)(d).enqueue(func() {
		d.joined[id] = true
		if _, known := d.publicKeys[id]; !known && c.PublicKey != nil {
			d.publicKeys[id] = c.PublicKey
		}
		if d.view.Member(id) == nil {
			d.view.ApplyUpdate(w)
		}
		d.view.Refuted(id)
	})
}

// NotifyLeave: the library holds it for dead, or it has said good-bye.
func (d *delegate) NotifyLeave(n *memberlist.Node) {
	id, _ := parseNodeName(n.Name)
	left := n.State == memberlist.StateLeft
	(*Node)(d).enqueue(func() {
		delete(d.joined, id)
		if left {
			d.view.Left(id)
		} else {
			d.view.Failed(id)
		}
	})
}

func (d *delegate) NotifyUpdate(*memberlist.Node) {}

func (d *delegate) AckPayload() []byte { return nil }

func (d *delegate) NotifyPingComplete(n *memberlist.Node, trip time.Duration, _ []byte) {
	if id, ok := parseNodeName(n.Name); ok {
		(*Node)(d).enqueue(func() { d.view.ProbeSucceeded(id, timeunit.Milliseconds(trip.Milliseconds())) })
	}
}

// replaceKeys changes the keys: the new ones are added, the first of them is spoken under, others go.
func (d *delegate) replaceKeys(keys [][]byte) error {
	ring := (*Node)(d).keyring
	if ring == nil || len(keys) == 0 {
		return errors.New("a fleet that talks without keys cannot be given some while it runs, nor the other way round")
	}
	for _, key := range keys {
		if err := ring.AddKey(key); err != nil {
			return err
		}
	}
	if err := ring.UseKey(keys[0]); err != nil {
		return err
	}
	for _, key := range slices.Clone(ring.GetKeys()) {
		if !slices.ContainsFunc(keys, func(k []byte) bool { return bytes.Equal(k, key) }) {
			if err := ring.RemoveKey(key); err != nil {
				return err
			}
		}
	}
	return nil
}

// pingLoop asks one member after the other whether it answers this server itself: the library asks others to try too, and so
// never tells that only this one cannot reach it.
func (p *Node) pingLoop() {
	defer p.goroutines.Done()
	next := 0
	for {
		select {
		case <-p.done:
			return
		case <-time.After(pingInterval):
		}
		var there []membership.Member
		if p.Inspect(func(v *membership.View, _ *membership.Agreement) {
			for _, m := range v.Members() {
				if m != v.Self() && m.State <= membership.StateSuspected && m.Address != "" {
					there = append(there, *m)
				}
			}
		}) != nil || len(there) == 0 {
			continue
		}
		next = (next + 1) % len(there)
		m := there[next]
		if !p.pingMember(&m) {
			p.enqueue(func() {
				p.view.ProbeFailed(m.ID)
				if now := p.view.Member(m.ID); now != nil && now.Cause != membership.CauseUnreachableFromHere {
					p.view.Suspected(m.ID)
				}
			})
		}
	}
}

func (p *Node) pingMember(m *membership.Member) bool {
	at, err := net.ResolveUDPAddr("udp", m.Address)
	if err != nil {
		return false
	}
	for range pingAttempts {
		if trip, err := p.memberlist.Ping(nodeName(m.ID), at); err == nil {
			p.enqueue(func() { p.view.ProbeSucceeded(m.ID, timeunit.Milliseconds(trip.Milliseconds())) })
			return true
		}
	}
	return false
}

func isRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}
