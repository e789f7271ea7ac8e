// Package clustertest runs several processes of the program on loopback, with emulators of the services that they use
// and a relay before each gossip address. Tests inject faults: the relays drop, delay, duplicate, truncate and replay
// what they carry, and processes are killed, stopped, continued and restarted. The cluster keeps a history of what was
// done. The package takes no decision for a server, and sends signals only to processes that it started.
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

// FounderCount is the largest number of servers that form the first cluster configuration.
const FounderCount = 3

// DefaultKey is the gossip key of all servers that Server.Configure gives no other, in base64.
var DefaultKey = base64.StdEncoding.EncodeToString([]byte("the key of a rig"))

// defaultFleet is the cluster name ("fleet" in the settings) of all servers that Server.Configure gives no other.
const defaultFleet = "rig"

// zones is the number of zones that servers are spread over.
const zones = 3

// Defaults of a Config.
const (
	defaultStopTimeout = 3 * time.Second
	defaultMemoryMB    = 64
)

// Config describes a cluster.
type Config struct {
	// ServerCount is the number of servers that New makes. Cluster.AddServer makes more.
	ServerCount int
	// Seed is the seed of the servers, the emulators, the relays and the routers.
	Seed int64
	// WorkDirectory is where the servers' files are written.
	WorkDirectory string
	// Program is the path of the executable.
	Program string
	// Env is added to the environment of this process for the servers, as "name=value".
	Env []string
	// Settings are the servers' "settings", as in the users' pages.
	Settings map[string]any
	// Cores is the number of cores of each interpreter.
	Cores float64
	// Gossip connects the servers by gossip, through relays.
	Gossip bool
	// ConfiguredServerCount is the cluster size in the servers' settings; 0 for ServerCount.
	ConfiguredServerCount int
	// StopTimeout is the servers' time for a graceful shutdown; 0 for 3 seconds.
	StopTimeout time.Duration
	// Index is the index that all servers use; nil for one that New starts. Cluster.Close closes it in both cases.
	Index *emulator.Index
	// MemoryMB is each server's memory limit in megabytes; 0 for 64.
	MemoryMB int
	// ServiceYAML returns further sections of a server's own settings; nil for none.
	ServiceYAML func(server *Server) string
}

// Cluster is a number of server processes with the emulators that they use. While a goroutine calls AddServer, others
// may call RunTraffic, CurrentServers, Record, History and SetFault, and no other method; while one calls Close, the
// same but RunTraffic. Several calls of RunTraffic may run at once.
type Cluster struct {
	Config
	// Servers are the servers in the order in which they were added.
	Servers []*Server
	// Directory is the directory that all servers report to.
	Directory *emulator.Directory

	network   *network
	startedAt time.Time
	closed    bool
	attempts  atomic.Uint64 // that routers sent, for unique request IDs

	lock    sync.Mutex // guards history, and Servers against CurrentServers
	history []Event
}

// Event is one entry of the history of a cluster.
type Event struct {
	// Elapsed is the time since New.
	Elapsed time.Duration
	// Server is the name of the server that the event is about; empty for all servers.
	Server string
	// Description is what was done.
	Description string
}

// New starts the emulators and relays and makes the servers, whose processes Server.Start starts. The caller must call
// Close.
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

// Each purpose has a loopback network, and each server has a host in it. So no outgoing connection from 127.0.0.1 can
// take one of the ports between freeAddress and the server's start, and a relay knows the sender of a packet by its
// host.
const (
	networkStatus     = 75
	networkRouters    = 76
	networkGossip     = 77 // what the server listens on
	networkAdvertised = 78 // what its relay listens on
)

// AddServer makes one more server, which is not started. Its name, zone, seed and addresses follow from the index,
// which no other server of the cluster may have.
func (c *Cluster) AddServer(index int) (*Server, error) {
	server := &Server{
		cluster: c,
		Index:   index,
		Name:    serverName(index),
		Zone:    fmt.Sprint("z", index%zones),
		Log:     &LogBuffer{},
		key:     DefaultKey,
		fleet:   defaultFleet,
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

// addRelay makes the relay of one server.
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

// serverName returns the name of the server with this index.
func serverName(index int) string { return fmt.Sprintf("n%02d", index) }

// host returns a server's address in one of the loopback networks. Clusters of other seeds and processes have others.
func (c *Cluster) host(loopback, index int) string {
	const spread = 37 // an odd factor: seeds that follow each other get distinct networks
	return fmt.Sprintf("127.%d.%d.%d", loopback, (c.Seed*spread+int64(syscall.Getpid()))&255, index+1)
}

// freeAddress returns an address of the host on which nothing listens at this moment.
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

// Record adds an event to the history, with the name of a server, or "" for all. It is safe for concurrent use.
func (c *Cluster) Record(server, format string, args ...any) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.history = append(c.history, Event{time.Since(c.startedAt), server, fmt.Sprintf(format, args...)})
}

// History returns the events so far, in the order in which they were recorded. It is safe for concurrent use.
func (c *Cluster) History() []Event {
	c.lock.Lock()
	defer c.lock.Unlock()
	return slices.Clone(c.history)
}

// SetFault sets the fault of the direction from one server to another, by their indexes. It is safe for concurrent use.
func (c *Cluster) SetFault(from, to int, fault Fault) { c.network.setFault(from, to, fault) }

// SetFaultEverywhere sets the fault of all directions between the current servers, and records it.
func (c *Cluster) SetFaultEverywhere(fault Fault) {
	c.Record("", "everywhere %+v", fault)
	c.setFaults(func(_, _ *Server) Fault { return fault })
}

// Heal removes all faults.
func (c *Cluster) Heal() { c.SetFaultEverywhere(Fault{}) }

// Partition cuts the cluster into groups, by the number that group returns for each server. Directions inside a group
// have no faults.
func (c *Cluster) Partition(group func(server *Server) int) {
	c.Record("", "split")
	c.setFaults(func(from, to *Server) Fault { return Fault{Cut: group(from) != group(to)} })
}

// setFaults sets the fault of each direction.
func (c *Cluster) setFaults(faultOf func(from, to *Server) Fault) {
	for _, from := range c.Servers {
		for _, to := range c.Servers {
			if from != to {
				c.SetFault(from.Index, to.Index, faultOf(from, to))
			}
		}
	}
}

// Close kills all processes and closes the relays and emulators. A second call does nothing. Errors from closing
// sockets are ignored: they do not matter to a test that is over.
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
