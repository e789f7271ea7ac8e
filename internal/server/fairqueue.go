package server

import (
	"thistlequay/internal/fairqueue"
)

// configureFairQueue opens, changes or closes the books on tenants. Claims that are open end on the books that they began on.
func (a *Server) configureFairQueue() {
	switch t := a.config.FairQueue; {
	case t == nil:
		a.fairScheduler = nil
	case a.fairScheduler == nil:
		of := *t
		of.Cores, of.SoftDeadlines = a.config.Settings.Cores, nil
		for _, c := range a.config.Settings.Categories {
			of.SoftDeadlines = append(of.SoftDeadlines, c.SoftDeadline)
		}
		a.fairScheduler = fairqueue.New(of, a.random, a.clock.now())
	default:
		a.fairScheduler.Reconfigure(*t, a.now)
	}
}
