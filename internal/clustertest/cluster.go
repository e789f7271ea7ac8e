// Package clustertest starts several processes of the program on loopback with emulators of their neighbours, has them
// gossip through relays, and does to both what a test says: links that lose, delay, repeat and cut, processes that are
// killed, stopped, continued and started again with an empty memory. It keeps one history of what was done. It never
// takes a decision for a server, and never touches a process that it did not start.
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

// Founders is the number of servers that form the first cluster configuration.
const Founders = 3

// Key is the key that all servers of a cluster gossip under unless told otherwise, in base64.
var Key = base64.StdEncoding.EncodeToString([]byte("the key of a rig"))

// defaultFleet is the fleet's name in the servers' settings unless told otherwise.
const defaultFleet = "rig"

// zones is the number of zones that servers are spread over.
const zones = 3

// Defaults of a plan.
const (
	defaultStopTimeout = 3 * time.Second
	defaultMemoryMB    = 64
)

// Plan says what a cluster is made of.
type Plan struct {
	// Servers is the number of servers that New makes.
	Servers int
	// Seed of the servers, the emulators, the relays and the routers.
	Seed int64
	// WorkDirectory is where the servers' files are written.
	WorkDirectory string
	// Program is the path of the executable.
	Program string
	// Env is added to the environment of this process.
	Env []string
	// Settings are the servers' "settings", as in the users' pages.
	Settings map[string]any
	// Cores of each interpreter.
	Cores float64
	// Gossip has the servers know each other.
	Gossip bool
	// ConfiguredServers is the size of the fleet that the settings name; 0 for Servers.
	ConfiguredServers int
	// StopTimeout of the servers; 0 for 3 seconds.
	StopTimeout time.Duration
	// Index is shared by all servers; nil for one that New starts. Close closes it.
	Index *emulator.Index
	// MemoryMB is each server's memory limit; 0 for 64.
	MemoryMB int
	// ServiceYAML gives more sections of a server's own settings; nil for none.
	ServiceYAML func(s *Server) string
}

// Cluster is a number of server processes with the emulators around them. Servers are added by the test's goroutine
// only; others look at CurrentServers.
type Cluster struct {
	Plan
	Servers   []*Server
	Directory *emulator.Directory

	network   *network
	startedAt time.Time
	closed    bool
	attempts  atomic.Uint64 // that routers sent, for unique request IDs

	lock    sync.Mutex // guards history, and Servers against CurrentServers
	history []Event
}

// Event is one entry of the history.
type Event struct {
	At     time.Duration // since the cluster was made
	Server string        // empty for all
	What   string
}

// New makes the emulators and the servers; Server.Start starts a process. The caller ends all by Close.
func New(plan Plan) (*Cluster, error) {
	directory, err := emulator.NewDirectory()
	if err != nil {
		return nil, err
	}
	if plan.Index == nil {
		plan.Index, err = emulator.NewIndex()
		if err != nil {
			return nil, err
		}
	}
	c := &Cluster{Plan: plan, Directory: directory, network: newNetwork(plan.Seed), startedAt: time.Now()}
	for i := range plan.Servers {
		if _, err := c.AddServer(i); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// Each purpose has a loopback network, and each server a host in it: a connection that leaves from 127.0.0.1 meanwhile
// takes none of the ports, and a relay knows the sender of a packet by its host.
const (
	networkStatus     = 75
	networkRouters    = 76
	networkGossip     = 77 // what the server listens on
	networkAdvertised = 78 // what its relay listens on
)

// AddServer makes one more server. The index gives its name, zone, seed and addresses, and must be new.
func (c *Cluster) AddServer(index int) (*Server, error) {
	s := &Server{
		cluster: c,
		Index:   index,
		Name:    serverName(index),
		Zone:    fmt.Sprint("z", index%zones),
		Log:     &LogBuffer{},
		key:     Key,
		fleet:   defaultFleet,
	}
	var err error
	s.Listen, err = freeAddress(c.host(networkRouters, index))
	if err != nil {
		return nil, err
	}
	s.Status, err = freeAddress(c.host(networkStatus, index))
	if err != nil {
		return nil, err
	}
	s.Interpreter, err = emulator.NewInterpreter(c.Cores, c.Seed+int64(index))
	if err != nil {
		return nil, err
	}
	if c.Gossip {
		s.relay, err = c.addRelay(index)
		if err != nil {
			return nil, err
		}
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	c.Servers = append(c.Servers, s)
	return s, nil
}

// addRelay makes the relay before one server.
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

// serverName is the name of the server with this index.
func serverName(index int) string { return fmt.Sprintf("n%02d", index) }

// host is a server's address in one of the loopback networks. Clusters of other seeds and processes have others.
func (c *Cluster) host(loopback, index int) string {
	const spread = 37 // an odd factor: seeds that follow each other get distinct networks
	return fmt.Sprintf("127.%d.%d.%d", loopback, (c.Seed*spread+int64(syscall.Getpid()))&255, index+1)
}

// freeAddress is an address of the host on which nothing listens at this moment.
func freeAddress(host string) (string, error) {
	socket, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", err
	}
	return socket.Addr().String(), socket.Close()
}

// CurrentServers are the servers that there are now, for goroutines beside the test's.
func (c *Cluster) CurrentServers() []*Server {
	c.lock.Lock()
	defer c.lock.Unlock()
	return slices.Clone(c.Servers)
}

// Record adds an event to the history, with the name of a server or "" for all.
func (c *Cluster) Record(server, format string, args ...any) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.history = append(c.history, Event{time.Since(c.startedAt), server, fmt.Sprintf(format, args...)})
}

// History is what was done and concluded so far.
func (c *Cluster) History() []Event {
	c.lock.Lock()
	defer c.lock.Unlock()
	return slices.Clone(c.history)
}

// SetFault sets the fault of the direction between two servers, by their indexes.
func (c *Cluster) SetFault(from, to int, fault Fault) { c.network.setFault(from, to, fault) }

// SetFaultEverywhere sets the fault of all directions.
func (c *Cluster) SetFaultEverywhere(fault Fault) {
	c.Record("", "everywhere %+v", fault)
	c.setFaults(func(_, _ *Server) Fault { return fault })
}

// Heal takes all faults away.
func (c *Cluster) Heal() { c.SetFaultEverywhere(Fault{}) }

// Partition cuts the cluster into groups, by the number that group gives for each server. Directions inside a group are
// without faults.
func (c *Cluster) Partition(group func(s *Server) int) {
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

// Close kills all processes and closes all emulators. A second call does nothing. The errors of closing sockets say
// nothing to a test that is over.
func (c *Cluster) Close() {
	if c.closed {
		return
	}
	c.closed = true
	close(c.network.closed)
	for _, s := range c.Servers {
		s.close()
	}
	_ = c.Directory.Close()
	_ = c.Index.Close()
}
