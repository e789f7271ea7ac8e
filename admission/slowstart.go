package admission

import "thistlequay/timeunit"

// slowStart computes the current speed of a server that started cold. The speed grows linearly with time. It scales the
// limit of runnable requests (coreLoad.overloadLimitAt), which protects a cold server from more load than it can
// sustain.
type slowStart struct {
	coldSpeed float64 // fraction of the full speed at the start; 1 for a warm server
	duration  timeunit.Ticks
	warmAt    timeunit.Ticks
}

func newSlowStart(config *Config, now timeunit.Ticks) slowStart {
	if !config.StartsCold {
		return slowStart{coldSpeed: 1}
	}
	return slowStart{
		coldSpeed: config.ColdSpeed,
		duration:  config.WarmUpTime,
		warmAt:    now + config.WarmUpTime,
	}
}

// speed returns the current fraction of the full speed, from coldSpeed to 1.
func (s *slowStart) speed(now timeunit.Ticks) float64 {
	return 1 - (1-s.coldSpeed)*float64(max(0, s.warmAt-now))/float64(max(1, s.duration))
}

// IsWarmingUp reports whether the server has not reached its full speed yet.
func (s *Server) IsWarmingUp() bool { return s.now < s.slowStart.warmAt }
