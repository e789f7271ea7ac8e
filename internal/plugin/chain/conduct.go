package chain

// This file owns how each plug-in does: its share of a core, its faults, quarantine and trials. It must never forget a
// quarantine for the sake of a new work item, nor keep a table that grows.

import (
	"math/rand"

	"thistlequay/timeunit"
)

// State is how a plug-in stands.
type State int

const (
	Live State = iota
	Quarantined
	Trial // it is asked about one work item at a time
)

// States are words for logs.
var States = [...]string{"live", "quarantined", "on trial"}

const (
	second    = timeunit.Ticks(10_000)
	trials    = 3  // good ones in a row that end a quarantine
	heals     = 10 // quarantines' worth of good time after which the next wait is the first again
	smoothing = 1.0 / 16
	enough    = 32 // calls before a rate says anything
	mostApart = 64 // tenants for whom it may be off alone
	apartAll  = 4  // off for so many at once it is the plug-in's own matter
	spread    = 0.2
)

// Conduct is the record of one plug-in.
type Conduct struct {
	State     State
	Calls     int
	Faults    [len(Words)]int
	chance    *rand.Rand
	row, good int
	rate      float64 // share of calls that ended in a fault, of late
	seen      int
	wait      timeunit.Ticks // of the last quarantine
	until     timeunit.Ticks // its end
	since     timeunit.Ticks // live
	trying    bool           // a trial is out
	room      float64
	roomAt    timeunit.Ticks
	apart     []apart // oldest first
}

// apart is a tenant at whose work items it failed.
type apart struct {
	tenant string
	row    int
	wait   timeunit.Ticks
	until  timeunit.Ticks
}

// Until is the end of its last quarantine.
func (c *Conduct) Until() timeunit.Ticks { return c.until }

func newConduct(chance *rand.Rand, now timeunit.Ticks) *Conduct {
	return &Conduct{chance: chance, since: now, room: float64(second), roomAt: now}
}

// fill lets its share of a core run up, no further than a second's worth.
func (c *Conduct) fill(now timeunit.Ticks, g *Grant) {
	c.room = min(c.room+float64(now-c.roomAt)*g.Core, float64(second)*g.Core)
	c.roomAt = now
}

// may says whether the plug-in may be asked now.
func (c *Conduct) may(tenant string, now timeunit.Ticks, g *Grant) bool {
	if c.fill(now, g); c.room <= 0 {
		return false
	}
	if c.State == Quarantined && now >= c.until {
		c.State, c.good = Trial, 0
	}
	if c.State == Quarantined || c.State == Trial && c.trying {
		return false
	}
	if a := c.of(tenant); a != nil && a.row >= g.Row {
		if now < a.until {
			return false
		}
		a.until = now + a.wait // one trial for this tenant
	}
	c.trying = c.State == Trial
	c.Calls++
	return true
}

func (c *Conduct) of(tenant string) *apart {
	for i := range c.apart {
		if c.apart[i].tenant == tenant {
			return &c.apart[i]
		}
	}
	return nil
}

// judge books how a call went and says whether the plug-in went into quarantine by it.
func (c *Conduct) judge(tenant string, f Fault, failed bool, took, now timeunit.Ticks, g *Grant) (quarantined bool) {
	c.fill(now, g)
	c.room -= float64(took)
	wasTrial := c.State == Trial && c.trying
	c.trying = false
	if failed && f == Absent {
		return false
	}
	if !failed {
		c.row = 0
		c.seen = min(c.seen+1, enough)
		c.rate -= c.rate * smoothing
		c.forgive(tenant)
		if wasTrial {
			if c.good++; c.good >= trials {
				c.State, c.since, c.rate, c.seen = Live, now, 0, 0
			}
		}
		return false
	}
	c.Faults[f]++
	if g.Alone && f != Died && tenant != "" && !c.blame(tenant, now, g) {
		return false
	}
	c.row++
	c.seen = min(c.seen+1, enough)
	c.rate += (1 - c.rate) * smoothing
	if c.State == Live && (c.row >= g.Row || c.seen >= enough && c.rate > g.Rate) || wasTrial {
		c.quarantine(now, g)
		return true
	}
	return false
}

// quarantine: ever longer, and not to the moment, so that a fleet's plug-ins don't come back together.
func (c *Conduct) quarantine(now timeunit.Ticks, g *Grant) {
	if c.State == Live && now-c.since > heals*max(c.wait, g.Wait) {
		c.wait = 0
	}
	c.wait = min(max(g.Wait, 2*c.wait), g.Longest)
	c.until = now + c.wait + timeunit.Ticks(c.chance.Float64()*spread*float64(c.wait))
	c.State, c.row, c.good = Quarantined, 0, 0
}

// blame books a fault with the tenant whose work item it was, and says whether it is the plug-in's own matter.
func (c *Conduct) blame(tenant string, now timeunit.Ticks, g *Grant) (own bool) {
	a := c.of(tenant)
	if a == nil {
		if len(c.apart) >= mostApart {
			c.apart = append(c.apart[:0], c.apart[1:]...)
		}
		c.apart = append(c.apart, apart{tenant: tenant})
		a = &c.apart[len(c.apart)-1]
	}
	if a.row++; a.row >= g.Row {
		a.wait = min(max(g.Wait, 2*a.wait), g.Longest)
		a.until = now + a.wait
	}
	off := 0
	for _, other := range c.apart {
		if other.row >= g.Row {
			off++
		}
	}
	return off >= apartAll
}

func (c *Conduct) forgive(tenant string) {
	for i := range c.apart {
		if c.apart[i].tenant == tenant {
			c.apart = append(c.apart[:i], c.apart[i+1:]...)
			return
		}
	}
}
