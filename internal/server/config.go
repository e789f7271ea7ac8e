package server

import (
	"thistlequay/internal/deployment"
	"thistlequay/internal/fairqueue"
	"thistlequay/internal/tenancy"
	"thistlequay/timeunit"
)

// Config is where an app server stands and what it may use.
type Config struct {
	Name, Listen, Interpreter, Index, Directory string
	ShutdownTimeout                             timeunit.Ticks // from the notice to leave to the stop
	MaxSockets                                  int            // descriptors it may hold
	MemoryBytes                                 int            // bytes
	Settings                                    *deployment.Config
	Cores                                       float64 // of the machine, for this process
	Seed                                        int64
	FairQueue                                   *fairqueue.Config // nil: no fair queues
	Tenancy                                     *tenancy.Table    // nil: tenants go by account
	Plugins                                     *Plugins          // nil: there are none
	Recovery                                    *Recovery         // nil: nothing outlives the process
	Gossip                                      *Gossip           // nil: it knows no other servers
	Quota                                       *Quota            // nil: its part of the fleet's limits is by the settings
}
