// Package timeunit defines the two units in which thistlequay measures time. A value is either a duration or a point in
// time on a monotonic clock of one process; its name tells which. A value is wall-clock time only if its name says so.
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

// tickDuration is the length of one tick.
const tickDuration = 100 * time.Microsecond

// TicksOf converts a duration to ticks, rounded towards zero.
func TicksOf(span time.Duration) Ticks { return Ticks(span / tickDuration) }

// UnixTicks returns the wall-clock time in ticks since 1970 UTC, rounded towards zero.
func UnixTicks(at time.Time) Ticks { return Ticks(at.UnixMicro() / tickDuration.Microseconds()) }

// Duration converts ticks to a time.Duration.
func (t Ticks) Duration() time.Duration { return time.Duration(t) * tickDuration }

// Milliseconds converts ticks to milliseconds, rounded towards zero.
func (t Ticks) Milliseconds() int64 { return int64(t / TicksPerMillisecond) }

// MillisecondsOf converts a duration to milliseconds, rounded towards zero.
func MillisecondsOf(span time.Duration) Milliseconds { return Milliseconds(span.Milliseconds()) }

// Duration converts milliseconds to a time.Duration.
func (m Milliseconds) Duration() time.Duration { return time.Duration(m) * time.Millisecond }
