package admission

import "thistlequay/timeunit"

// slowStart tells how much of its full speed a server has that started cold. The speed grows evenly with
// time. It scales the overload limit (coreLoad.limitAt), which guards against a crowd that a cold server does
// not survive.
type slowStart struct {
	coldSpeed float64 // share of its full speed at the start, 1 for a server that is warm
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

// speed is the share of its full speed that the server has now, from coldSpeed to 1.
func (s *slowStart) speed(now timeunit.Ticks) float64 {
	return 1 - (1-s.coldSpeed)*float64(max(0, s.warmAt-now))/float64(max(1, s.duration))
}

// IsWarmingUp says whether the server has not reached its full speed yet.
func (s *Server) IsWarmingUp() bool { return s.now < s.slowStart.warmAt }
