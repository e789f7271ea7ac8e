// Package timeunit has the two units in which thistlequay counts time. A value is either a span or a point on a clock
// of one process that never runs backwards; which of the two it is, its name tells. No value of this package is a
// wall-clock time unless its name says so.
package timeunit

import "time"

// Ticks counts units of 100 microseconds, the resolution of admission decisions and of the request path.
type Ticks int64

// Milliseconds counts milliseconds, the resolution of gossip, consensus and quota leases.
type Milliseconds int64

// Conversions between the units.
const (
	TicksPerMillisecond   Ticks        = 10
	TicksPerSecond        Ticks        = 10_000
	MillisecondsPerSecond Milliseconds = 1_000
)

// tick is the length of one of Ticks.
const tick = 100 * time.Microsecond

// TicksOf converts a span of time; a part of a tick is dropped.
func TicksOf(span time.Duration) Ticks { return Ticks(span / tick) }

// UnixTicks returns the wall-clock time in ticks since 1970, UTC; a part of a tick is dropped.
func UnixTicks(at time.Time) Ticks { return Ticks(at.UnixMicro() / tick.Microseconds()) }

// Duration converts a span in ticks.
func (t Ticks) Duration() time.Duration { return time.Duration(t) * tick }

// Milliseconds converts to milliseconds; a part of a millisecond is dropped.
func (t Ticks) Milliseconds() int64 { return int64(t / TicksPerMillisecond) }

// MillisecondsOf converts a span of time; a part of a millisecond is dropped.
func MillisecondsOf(span time.Duration) Milliseconds { return Milliseconds(span.Milliseconds()) }

// Duration converts a span in milliseconds.
func (m Milliseconds) Duration() time.Duration { return time.Duration(m) * time.Millisecond }
