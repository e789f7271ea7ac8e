// This file owns the seam to the talk among servers: what this one says of itself, each second, and the size of the fleet that
// the module reckons with. It must never wait for the talk, nor know what is said there.
package server

import (
	"slices"
	"sync"
	"time"

	"thistlequay/internal/fairqueue"
	"thistlequay/internal/gossip"
	"thistlequay/internal/membership"
	"thistlequay/internal/quota/service"
	"thistlequay/timeunit"
)

// Talk is the talk with other servers.
type Talk struct {
	Peers    *gossip.Peers
	lock     sync.Mutex
	size     int
	standing membership.Standing
	changed  func()
	used     map[membership.ID]usage // what tenants were given elsewhere, as it was told last
}

type usage struct {
	said time.Time
	of   []membership.Used
}

const sayEvery = second

// Changed is called by the talk's worker; it hands over and does not wait.
func (t *Talk) Changed(size int, standing membership.Standing) {
	t.lock.Lock()
	t.size, t.standing = size, standing
	changed := t.changed
	t.lock.Unlock()
	if changed != nil {
		changed()
	}
}

// Used is called by the talk's worker with what another server gave tenants.
func (t *Talk) Used(of membership.ID, age time.Duration, used []membership.Used) {
	t.lock.Lock()
	defer t.lock.Unlock()
	if t.used == nil {
		t.used = map[membership.ID]usage{}
	}
	t.used[of] = usage{time.Now().Add(-age), used}
}

// elsewhere gives what was told since it was last asked, in the order of lives.
func (t *Talk) elsewhere() (lives []membership.ID, used map[membership.ID]usage) {
	t.lock.Lock()
	defer t.lock.Unlock()
	used, t.used = t.used, nil
	for id := range used {
		lives = append(lives, id)
	}
	slices.SortFunc(lives, membership.ID.Compare)
	return lives, used
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
	t.listen(func() { a.wake(a.follow) })
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
			a.holding.last = -1 // its part of the calls is what is granted, where that is
		}
	}
}

// tenants has the ledger count what they were given elsewhere, and gives what they were given here.
func (a *App) tenants() (used []membership.Used) {
	if a.ledger == nil {
		return nil
	}
	lives, told := a.place.Talk.elsewhere()
	for _, id := range lives {
		var given []fairqueue.Service
		for _, u := range told[id].of {
			given = append(given, fairqueue.Service{Tenant: u.Tenant, Time: u.Time})
		}
		a.ledger.Elsewhere(service.HolderName(id), timeunit.Ticks(time.Since(told[id].said)/(100*time.Microsecond)), given, a.now)
	}
	for _, g := range a.ledger.Given() {
		if len(used) < membership.MostUsed {
			used = append(used, membership.Used{Tenant: g.Tenant, Time: g.Time})
		}
	}
	return used
}

// say tells how this server is.
func (a *App) say() {
	t := a.place.Talk
	if t == nil {
		return
	}
	own := gossip.Own{Used: a.tenants(), State: membership.Joining, Late: time.Duration(a.late.most()) * (time.Millisecond / 10)}
	switch {
	case a.stop < never:
		own.State = membership.Leaving
	case a.server != nil:
		own.State = membership.Serving
		if a.server.IsCold() {
			own.State = membership.Cold
		}
	}
	if a.server != nil {
		b := a.server.Books()
		own.Pool, own.Load, own.Free, own.Index = b.Pool, float64(b.Held+b.Running), max(0, b.Pool-float64(b.Running)), float64(b.CallsLately)/10
		a.follow()
	}
	t.Peers.Say(own)
}
