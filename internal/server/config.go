package server

import (
	"thistlequay/internal/deployment"
	"thistlequay/internal/fairqueue"
	"thistlequay/internal/tenancy"
	"thistlequay/timeunit"
)

// Config configures one app server: its addresses, its resource limits and its optional subsystems.
type Config struct {
	// Name is the server's name in the directory and in the log.
	Name string

	// Listen is the address to which routers connect. All four addresses have the form host:port.
	Listen string

	// Interpreter is the address of the interpreter, the process that runs requests.
	Interpreter string

	// Index is the address of the index, the downstream dependency that requests call while they run.
	Index string

	// Directory is the address of the directory in which routers look up the server.
	Directory string

	// ShutdownTimeout is the time from the shutdown notice until the platform kills the process.
	ShutdownTimeout timeunit.Ticks

	// MaxSockets is the maximum number of file descriptors of the process.
	MaxSockets int

	// MemoryBytes is the maximum memory of the process, in bytes.
	MemoryBytes int

	// Settings holds the deployment's settings, which cannot change while the server runs.
	Settings *deployment.Config

	// Cores is the number of the machine's cores that this process may use.
	Cores float64

	// Seed is the seed of the server's random number generator.
	Seed int64

	// FairQueue configures fair queueing among tenants. If it is nil, requests are served in order of arrival.
	FairQueue *fairqueue.Config

	// Tenancy maps client addresses to tenants. If it is nil, a request's account names its tenant.
	Tenancy *tenancy.Table

	// Plugins configures the plug-ins that evaluate requests and results. If it is nil, there are none.
	Plugins *Plugins

	// Recovery is the log from which idempotency entries are restored after a restart. If it is nil, they are lost with
	// the process.
	Recovery *Recovery

	// Gossip connects this server to the other servers of the cluster. If it is nil, the server knows no others.
	Gossip *Gossip

	// Quota manages this server's leases on the cluster-wide limits. If it is nil, only the settings limit the server.
	Quota *Quota
}
