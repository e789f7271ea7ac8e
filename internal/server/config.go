package server

import (
	"thistlequay/internal/deployment"
	"thistlequay/internal/fairqueue"
	"thistlequay/internal/tenancy"
	"thistlequay/timeunit"
)

// Config describes one app server: its addresses, what it may use, and its optional subsystems.
type Config struct {
	// Name is the server's name in the directory and in the log.
	Name string

	// Listen is the address on which routers connect; host:port, as are the next three.
	Listen string

	// Interpreter is the address of the process that runs requests.
	Interpreter string

	// Index is the address of the downstream dependency that runs call.
	Index string

	// Directory is the address of the directory that routers find the server in.
	Directory string

	// ShutdownTimeout is the time from the notice to shut down to the end of the process.
	ShutdownTimeout timeunit.Ticks

	// MaxSockets is the number of descriptors that the process may hold.
	MaxSockets int

	// MemoryBytes is the memory that the process may use, in bytes.
	MemoryBytes int

	// Settings are the deployment's settings; they cannot change while the server runs.
	Settings *deployment.Config

	// Cores is the number of the machine's cores that this process may use.
	Cores float64

	// Seed makes the server's random choices repeatable.
	Seed int64

	// FairQueue configures fair queueing among tenants; nil means first come, first served.
	FairQueue *fairqueue.Config

	// Tenancy maps addresses to tenants; nil means that a request's account names its tenant.
	Tenancy *tenancy.Table

	// Plugins are the plug-ins that requests and results are shown to; nil means none.
	Plugins *Plugins

	// Recovery is the log that idempotency entries outlive the process in; nil means that they do not.
	Recovery *Recovery

	// Gossip is the connection to the other servers; nil means that this server knows no others.
	Gossip *Gossip

	// Quota is the server's part of the fleet's limits; nil means that the settings alone tell it.
	Quota *Quota
}
