// Package clustertest runs several server processes on loopback addresses, with emulators of the services that they use
// and a relay in front of each gossip address. Tests inject faults: the relays drop, delay, duplicate, truncate and
// replay the traffic that they forward, and processes are killed, stopped, continued and restarted. The cluster records
// these actions in a history. The package takes no decision for a server, and sends signals only to processes that it
// started.
package clustertest

import (
	"encoding/base64"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"thistlequay/internal/emulator"
)

// MaxFounderCount is the largest number of servers that form the first cluster configuration. The first servers of the
// cluster are both its founders and its seed members.
const MaxFounderCount = 3

// DefaultKey is the gossip key, in base64, of every server for which Server.Configure sets no other key.
var DefaultKey = base64.StdEncoding.EncodeToString([]byte("the key of a rig"))

// defaultClusterName is the cluster name ("fleet" in the settings) of every server for which Server.Configure sets no
// other.
const defaultClusterName = "rig"

// zoneCount is the number of zones that the servers are distributed over, by their index.
const zoneCount = 3

// Defaults for zero fields of a Config.
const (
	defaultStopTimeout = 3 * time.Second
	defaultMemoryMB    = 64
)

// Config describes a cluster: its servers, their settings and the emulators.
type Config struct {
	// ServerCount is the number of servers that New creates. Cluster.AddServer creates more.
	ServerCount int
	// Seed is the random seed from which the servers, emulators, relays and routers derive theirs.
	Seed int64
	// WorkDirectory is the directory that the servers' files are written to.
	WorkDirectory string
	// Program is the path of the server executable.
	Program string
	// Env holds "name=value" entries that the servers get in addition to the environment of this process.
	Env []string
	// Settings is the object "settings" of the servers' configuration, as documented for users.
	Settings map[string]any
	// Cores is the number of emulated cores of each interpreter.
	Cores float64
	// Gossip makes the servers gossip with each other, through relays.
	Gossip bool
	// ConfiguredServerCount is the cluster size in the servers' settings; 0 means ServerCount.
	ConfiguredServerCount int
	// StopTimeout limits the servers' graceful shutdown; 0 means 3 seconds.
	StopTimeout time.Duration
	// Index is the index that all servers use. If it is nil, New starts one. Cluster.Close closes it in both cases.
	Index *emulator.Index
	// MemoryMB is each server's memory limit in megabytes; 0 means 64.
	MemoryMB int
	// ServiceYAML returns further sections of a server's service settings (the --service file); nil means none.
	ServiceYAML func(server *Server) string
}

// Cluster runs server processes together with the emulators that they use. While one goroutine calls AddServer, others
// may call only RunTraffic, CurrentServers, Record, History and SetFault. While one calls Close, others may call only
// CurrentServers, Record, History and SetFault. Several calls of RunTraffic may run concurrently.
type Cluster struct {
	Config
	// Servers holds the servers in the order in which they were added.
	Servers []*Server
	// Directory is the directory that all servers report to.
	Directory *emulator.Directory

	network   *network
	startedAt time.Time
	closed    bool
	attempts  atomic.Uint64 // number of attempts sent by routers, for unique request IDs

	lock    sync.Mutex // guards history, and Servers while AddServer appends to it
	history []Event
}

// Event is one entry in the history of a cluster.
type Event struct {
	// Elapsed is the time since New was called.
	Elapsed time.Duration
	// Server is the name of the server that the event concerns; empty means all servers.
	Server string
	// Description says what happened.
	Description string
}

// New starts the emulators and relays and creates the servers. It starts no server process: Server.Start does. The
// caller must call Close.
func New(config Config) (*Cluster, error) {
	directory, err := emulator.NewDirectory()
	if err != nil {
		return nil, err
	}
	if config.Index == nil {
		config.Index, err = emulator.NewIndex()
		if err != nil {
			return nil, err
		}
	}
	c := &Cluster{Config: config, Directory: directory, network: newNetwork(config.Seed), startedAt: time.Now()}
	for i := range config.ServerCount {
		if _, err := c.AddServer(i); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// Second byte of the loopback addresses, one value for each kind of listener; each server has its own host address in
// each of these networks. An outgoing connection from 127.0.0.1 therefore cannot take a port between the call of
// freeAddress and the start of the server, and a relay identifies the sender of a packet by its host address.
const (
	networkStatus     = 75
	networkRouters    = 76
	networkGossip     = 77 // the server's gossip listener
	networkAdvertised = 78 // the listener of the server's relay
)

// AddServer creates another server without starting it. The server's name, zone, seed and addresses are derived from
// the index, which must be unique in the cluster.
func (c *Cluster) AddServer(index int) (*Server, error) {
	server := &Server{
		cluster:     c,
		Index:       index,
		Name:        serverName(index),
		Zone:        fmt.Sprint("z", index%zoneCount),
		Log:         &LogBuffer{},
		keys:        DefaultKey,
		clusterName: defaultClusterName,
	}
	var err error
	server.RouterAddress, err = freeAddress(c.host(networkRouters, index))
	if err != nil {
		return nil, err
	}
	server.StatusAddress, err = freeAddress(c.host(networkStatus, index))
	if err != nil {
		return nil, err
	}
	server.Interpreter, err = emulator.NewInterpreter(c.Cores, c.Seed+int64(index))
	if err != nil {
		return nil, err
	}
	if c.Gossip {
		server.relay, err = c.addRelay(index)
		if err != nil {
			return nil, err
		}
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	c.Servers = append(c.Servers, server)
	return server, nil
}

// addRelay creates the relay in front of the gossip address of a server.
func (c *Cluster) addRelay(index int) (*relay, error) {
	advertised, err := freeAddress(c.host(networkAdvertised, index))
	if err != nil {
		return nil, fmt.Errorf("advertised gossip address: %w", err)
	}
	host := c.host(networkGossip, index)
	listen, err := freeAddress(host)
	if err != nil {
		return nil, fmt.Errorf("gossip address: %w", err)
	}
	c.network.setSender(host, index)
	return newRelay(c.network, index, advertised, listen)
}

// serverName returns the name of the server with the given index.
func serverName(index int) string { return fmt.Sprintf("n%02d", index) }

// host returns a server's address in one of the loopback networks. The address depends on the seed and the process ID,
// so that clusters with other seeds or in other processes use other addresses.
func (c *Cluster) host(loopbackNetwork, index int) string {
	const seedFactor = 37 // odd, so that consecutive seeds get distinct networks
	return fmt.Sprintf("127.%d.%d.%d", loopbackNetwork, (c.Seed*seedFactor+int64(syscall.Getpid()))&255, index+1)
}

// freeAddress returns an address of the host with a TCP port that nothing listens on at present.
func freeAddress(host string) (string, error) {
	socket, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", err
	}
	return socket.Addr().String(), socket.Close()
}

// CurrentServers returns a copy of Servers. It is safe for concurrent use.
func (c *Cluster) CurrentServers() []*Server {
	c.lock.Lock()
	defer c.lock.Unlock()
	return slices.Clone(c.Servers)
}

// Record adds an event to the history. The server is a name, or "" for an event that concerns all servers. It is safe
// for concurrent use.
func (c *Cluster) Record(server, format string, args ...any) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.history = append(c.history, Event{time.Since(c.startedAt), server, fmt.Sprintf(format, args...)})
}

// History returns a copy of the recorded events, oldest first. It is safe for concurrent use.
func (c *Cluster) History() []Event {
	c.lock.Lock()
	defer c.lock.Unlock()
	return slices.Clone(c.history)
}

// SetFault sets the fault for traffic from one server to another, given by their indexes. It is safe for concurrent
// use.
func (c *Cluster) SetFault(from, to int, fault Fault) { c.network.setFault(from, to, fault) }

// SetFaultEverywhere sets the same fault for both directions between every two current servers, and records it.
func (c *Cluster) SetFaultEverywhere(fault Fault) {
	c.Record("", "fault set in all directions: %+v", fault)
	c.setFaults(func(_, _ *Server) Fault { return fault })
}

// Heal removes all faults between the current servers.
func (c *Cluster) Heal() { c.SetFaultEverywhere(Fault{}) }

// Partition separates the servers into groups that cannot reach each other; group returns the number of a server's
// group. It removes all faults within a group.
func (c *Cluster) Partition(group func(server *Server) int) {
	c.Record("", "partitioned")
	c.setFaults(func(from, to *Server) Fault { return Fault{Cut: group(from) != group(to)} })
}

// setFaults sets the fault for each direction between two current servers to the result of faultOf.
func (c *Cluster) setFaults(faultOf func(from, to *Server) Fault) {
	for _, from := range c.Servers {
		for _, to := range c.Servers {
			if from != to {
				c.SetFault(from.Index, to.Index, faultOf(from, to))
			}
		}
	}
}

// Close kills all processes and closes the relays and emulators. A second call does nothing. Close ignores errors from
// closing sockets, because they cannot affect a test that has ended.
func (c *Cluster) Close() {
	if c.closed {
		return
	}
	c.closed = true
	close(c.network.closed)
	for _, server := range c.Servers {
		server.close()
	}
	_ = c.Directory.Close()
	_ = c.Index.Close()
}
