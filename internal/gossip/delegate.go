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

// rumour is a word on its way round; a newer one of the same life takes its place.
type rumour struct {
	id   membership.ID
	seq  uint64
	text []byte
}

func (r *rumour) Invalidates(b memberlist.Broadcast) bool {
	o, is := b.(*rumour)
	return is && o.id == r.id && o.seq <= r.seq
}
func (r *rumour) Message() []byte { return r.text }
func (r *rumour) Finished()       {}

// delegate is the talk as the library sees it.
type delegate Peers

// card is what the others must know of a member before its first word.
type card struct {
	Key  []byte `cbor:"1,keyasint"` // that its words and notes are sealed by
	Zone string `cbor:"2,keyasint,omitempty"`
}

// NodeMeta is the server's own card.
func (d *delegate) NodeMeta(limit int) []byte {
	text, err := cbor.Marshal(card{Key: d.secret.Public().(ed25519.PublicKey), Zone: d.terms.Members.Zone})
	if err != nil || len(text) > limit {
		return nil
	}
	return text
}

func (d *delegate) here() string {
	if d.terms.Advertise != "" {
		return d.terms.Advertise
	}
	return d.terms.Listen
}

func (d *delegate) NotifyMsg(text []byte) { (*Peers)(d).take(bytes.Clone(text)) }

// take takes a message that came: a word goes on where it was news.
func (p *Peers) take(text []byte) {
	if len(text) == 0 || len(text) > mostOf(text[0]) {
		p.Garbled.Add(1)
		return
	}
	p.do(func() {
		if w, news := p.hear(text); news && w.AgeMs == 0 {
			p.goRound(w, text)
		}
	})
}

func (d *delegate) GetBroadcasts(overhead, limit int) [][]byte {
	return d.queue.GetBroadcasts(overhead, limit)
}

// LocalState is what a full exchange hands over: words, each behind its length in two bytes.
func (d *delegate) LocalState(bool) (out []byte) {
	if words := d.sync.Load(); words != nil {
		for _, w := range *words {
			out = append(append(out, byte(len(w)>>8), byte(len(w))), w...)
		}
	}
	return out
}

func (d *delegate) MergeRemoteState(text []byte, _ bool) {
	for n := 0; len(text) >= 2 && n < mostSync; n++ {
		size := int(text[0])<<8 | int(text[1])
		if text = text[2:]; size > len(text) {
			break
		}
		word := bytes.Clone(text[:size])
		text = text[size:]
		(*Peers)(d).do(func() { (*Peers)(d).hear(word) })
	}
}

// NotifyAlive turns away what is no member of ours.
func (d *delegate) NotifyAlive(n *memberlist.Node) error {
	if _, ok := idOf(n.Name); !ok {
		return fmt.Errorf("%q names no life of a server", n.Name)
	}
	return nil
}

func (d *delegate) NotifyJoin(n *memberlist.Node) {
	id, _ := idOf(n.Name)
	var c card
	if understood.Unmarshal(n.Meta, &c) != nil || len(c.Key) != ed25519.PublicKeySize {
		c = card{} // of another version: its first word binds its key
	}
	w := membership.Word{ID: id, Zone: c.Zone, Address: n.Address()} // its own first word has the rest
	(*Peers)(d).do(func() {
		d.joined[id] = true
		if _, known := d.keys[id]; !known && c.Key != nil {
			d.keys[id] = c.Key
		}
		if d.view.Member(id) == nil {
			d.view.Hear(w)
		}
		d.view.Back(id)
	})
}

// NotifyLeave: the library holds it for dead, or it has said good-bye.
func (d *delegate) NotifyLeave(n *memberlist.Node) {
	id, _ := idOf(n.Name)
	left := n.State == memberlist.StateLeft
	(*Peers)(d).do(func() {
		delete(d.joined, id)
		if left {
			d.view.Left(id)
		} else {
			d.view.Lost(id)
		}
	})
}

func (d *delegate) NotifyUpdate(*memberlist.Node) {}

func (d *delegate) AckPayload() []byte { return nil }

func (d *delegate) NotifyPingComplete(n *memberlist.Node, trip time.Duration, _ []byte) {
	if id, ok := idOf(n.Name); ok {
		(*Peers)(d).do(func() { d.view.Answered(id, timeunit.Milliseconds(trip.Milliseconds())) })
	}
}

// ring changes the keys: the new ones are added, the first of them is spoken under, others go.
func (d *delegate) ring(keys [][]byte) error {
	ring := (*Peers)(d).keyring
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

// ping asks one member after the other whether it answers this server itself: the library asks others to try too, and so
// never tells that only this one cannot reach it.
func (p *Peers) ping() {
	defer p.ended.Done()
	next := 0
	for {
		select {
		case <-p.done:
			return
		case <-time.After(pingEvery):
		}
		var there []membership.Member
		if p.Look(func(v *membership.View, _ *membership.Accord) {
			for _, m := range v.Members() {
				if m != v.Me() && m.State <= membership.Suspected && m.Address != "" {
					there = append(there, *m)
				}
			}
		}) != nil || len(there) == 0 {
			continue
		}
		next = (next + 1) % len(there)
		m := there[next]
		if !p.answers(&m) {
			p.do(func() {
				p.view.Missed(m.ID)
				if now := p.view.Member(m.ID); now != nil && now.Cause != membership.FromMeAlone {
					p.view.Doubted(m.ID)
				}
			})
		}
	}
}

func (p *Peers) answers(m *membership.Member) bool {
	at, err := net.ResolveUDPAddr("udp", m.Address)
	if err != nil {
		return false
	}
	for range pingTries {
		if trip, err := p.list.Ping(nodeName(m.ID), at); err == nil {
			p.do(func() { p.view.Answered(m.ID, timeunit.Milliseconds(trip.Milliseconds())) })
			return true
		}
	}
	return false
}

func isRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}
