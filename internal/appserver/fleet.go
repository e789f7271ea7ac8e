// This file owns the seam to the talk among servers: what this one says of itself, each second, and the size of the fleet that
// the module reckons with. It must never wait for the talk, nor know what is said there.
package appserver

import (
	"sync"
	"time"

	"thistlequay/internal/peers"
	"thistlequay/members"
)

// Talk is the talk with other servers.
type Talk struct {
	Peers    *peers.Peers
	lock     sync.Mutex
	size     int
	standing members.Standing
	changed  func()
}

const sayEvery = second

// Changed is called by the talk's worker; it hands over and does not wait.
func (t *Talk) Changed(size int, standing members.Standing) {
	t.lock.Lock()
	t.size, t.standing = size, standing
	changed := t.changed
	t.lock.Unlock()
	if changed != nil {
		changed()
	}
}

// listen has the loop told of each change.
func (t *Talk) listen(changed func()) {
	t.lock.Lock()
	t.changed = changed
	t.lock.Unlock()
}

func (t *Talk) look() int {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.size
}

// talk begins to tell and to listen, once the loop is there.
func (a *App) talk() {
	t := a.place.Talk
	if t == nil {
		return
	}
	t.listen(func() {
		select {
		case a.orders <- a.follow:
		default: // a later change or the next word does it
		}
	})
	a.word.ring = func() {
		a.say()
		a.set(&a.word, a.now+sayEvery)
	}
	a.word.ring()
}

// follow has the module reckon with the servers that there are.
func (a *App) follow() {
	if t := a.place.Talk; t != nil && a.server != nil {
		if n := t.look(); n > 0 {
			a.server.Fleet(n)
		}
	}
}

// say tells how this server is.
func (a *App) say() {
	t := a.place.Talk
	if t == nil {
		return
	}
	own := peers.Own{State: members.Joining, Late: time.Duration(a.late.most()) * (time.Millisecond / 10)}
	switch {
	case a.stop < never:
		own.State = members.Leaving
	case a.server != nil:
		own.State = members.Serving
		if a.server.IsCold() {
			own.State = members.Cold
		}
	}
	if a.server != nil {
		b := a.server.Books()
		own.Pool, own.Load, own.Free, own.Index = b.Pool, float64(b.Held+b.Running), max(0, b.Pool-float64(b.Running)), float64(b.CallsLately)/10
		a.follow()
	}
	t.Peers.Say(own)
}
