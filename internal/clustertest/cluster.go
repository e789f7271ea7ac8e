// Package fleet starts several processes of the program on loopback with stand-ins, has them talk through relays, and does to
// both what a script says: links that lose, delay, repeat and cut, processes that are killed, stopped, let go on and begun
// again with nothing kept. It keeps one history of what was done and said. It must never decide anything for a server, nor
// touch a process that it did not start.
package clustertest

import (
	"cmp"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"thistlequay/internal/emulator"
	"thistlequay/internal/gossip"
	"thistlequay/internal/quota/service"
)

// Plan is what a rig is begun with.
type Plan struct {
	Servers           int
	Seed              int64
	WorkDirectory     string   // for files
	Program           string   // and its environment, beyond this process's
	Env               []string //
	Settings          map[string]any
	Cores             float64 // of each interpreter
	Gossip            bool    // the servers know each other
	ConfiguredServers int     // servers that the section names; Servers where 0
	StopTimeout       time.Duration
	Index             *emulator.Index        // shared by all
	MemoryMB          int                    // MB
	ServiceYAML       func(s *Server) string // more sections of the YAML of a server; nil for none
}

// Cluster is a fleet of processes.
type Cluster struct {
	Plan
	Servers   []*Server
	Directory *emulator.Directory
	relays    *relays
	lock      sync.Mutex
	startedAt time.Time
	history   []Event
	closed    bool
	attempts  atomic.Uint64 // that routers sent
}

// Event is one entry of the history.
type Event struct {
	At     time.Duration
	Server string
	What   string
}

// Server is one process with its stand-ins.
type Server struct {
	cluster     *Cluster
	Index       int
	Name        string
	Zone        string
	Listen      string // for routers
	Status      string
	Program     string // started in place of the plan's where not empty, from the next Start on
	Interpreter *emulator.Interpreter
	relay       *relay
	process     *exec.Cmd
	exited      chan struct{}
	Log         *LogBuffer
	args        []string
	key         string
	fleet       string
}

// LogBuffer is a log that is read while it is written.
type LogBuffer struct {
	lock sync.Mutex
	text strings.Builder
}

func (t *LogBuffer) Write(b []byte) (int, error) {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.text.Write(b)
}

func (t *LogBuffer) String() string {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.text.String()
}

// Founders are the servers that form the first fleet.
const Founders = 3

// Key is what all of a rig's servers talk under unless told otherwise.
var Key = base64.StdEncoding.EncodeToString([]byte("the key of a rig"))

// New makes the parties; Start starts a server.
func New(p Plan) (*Cluster, error) {
	r := &Cluster{Plan: p, relays: newRelays(p.Seed), startedAt: time.Now()}
	var err error
	if r.Directory, err = emulator.NewDirectory(); err != nil {
		return nil, err
	}
	if r.Index == nil {
		if r.Index, err = emulator.NewIndex(); err != nil {
			return nil, err
		}
	}
	for i := range p.Servers {
		if _, err := r.AddServer(i); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// AddServer makes one more server, with the number given as its place.
func (r *Cluster) AddServer(i int) (s *Server, err error) {
	s = &Server{cluster: r, Index: i, Name: fmt.Sprintf("n%02d", i), Zone: fmt.Sprint("z", i%3), Log: &LogBuffer{}, key: Key, fleet: "rig"}
	// Hosts of their own: a connection that leaves from 127.0.0.1 meanwhile takes none of these ports.
	host := func(net int) string {
		return fmt.Sprintf("127.%d.%d.%d", net, (r.Seed*37+int64(os.Getpid()))&255, i+1)
	}
	if s.Listen, err = freeAddress(host(76)); err != nil {
		return nil, err
	}
	if s.Status, err = freeAddress(host(75)); err != nil {
		return nil, err
	}
	if s.Interpreter, err = emulator.NewInterpreter(r.Cores, r.Seed+int64(i)); err != nil {
		return nil, err
	}
	if r.Gossip {
		at, errAt := freeAddress(host(78))
		behind, errBehind := freeAddress(host(77))
		if errAt != nil || errBehind != nil {
			return nil, fmt.Errorf("no address for the talk: %v %v", errAt, errBehind)
		}
		r.relays.lock.Lock()
		r.relays.whose[host(77)] = i
		r.relays.lock.Unlock()
		if s.relay, err = r.relays.relay(i, at, behind); err != nil {
			return nil, err
		}
	}
	r.lock.Lock()
	r.Servers = append(r.Servers, s)
	r.lock.Unlock()
	return s, nil
}

// CurrentServers are the servers that there are now, for those who look on beside the test.
func (r *Cluster) CurrentServers() []*Server {
	r.lock.Lock()
	defer r.lock.Unlock()
	return slices.Clone(r.Servers)
}

// freeAddress is an address of the host on which neither TCP nor UDP is in use.
func freeAddress(host string) (string, error) {
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// Record notes something in the history.
func (r *Cluster) Record(server, what string, args ...any) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.history = append(r.history, Event{time.Since(r.startedAt), server, fmt.Sprintf(what, args...)})
}

// History is what was done and concluded so far.
func (r *Cluster) History() []Event {
	r.lock.Lock()
	defer r.lock.Unlock()
	return append([]Event(nil), r.history...)
}

// Configure changes what a server is begun with: its name, its fleet, its key (base64, a line each), more arguments.
func (s *Server) Configure(name, fleet, key string, args ...string) *Server {
	if name != "" {
		s.Name = name
	}
	if fleet != "" {
		s.fleet = fleet
	}
	if key != "" {
		s.key = key
	}
	s.args = args
	return s
}

// Start starts the process of a server. What an earlier life of it knew is gone.
func (s *Server) Start() error {
	r := s.cluster
	stop, memory := r.StopTimeout, r.MemoryMB
	if stop == 0 {
		stop = 3 * time.Second
	}
	if memory == 0 {
		memory = 64
	}
	config := map[string]any{"name": s.Name, "listen": s.Listen, "vm": s.Interpreter.Address, "index": r.Index.Address, "lookup": r.Directory.Address,
		"seed": fmt.Sprintf("%016x", r.Seed+int64(s.Index)), "stop_ms": stop.Milliseconds(),
		"limits": map[string]any{"cores": 1, "memory_mb": memory, "sockets": 512}, "settings": r.Settings}
	text, err := json.Marshal(config)
	if err != nil {
		return err
	}
	args := []string{"serve", "--config=" + s.basePath() + ".json"}
	if err := os.WriteFile(s.basePath()+".json", text, 0o600); err != nil {
		return err
	}
	if r.Gossip || r.ServiceYAML != nil {
		if err := s.writeFiles(); err != nil {
			return err
		}
		args = append(args, "--service="+s.basePath()+".yaml")
	}
	if r.Gossip {
		if err := s.relay.up(); err != nil {
			return err
		}
	}
	s.process = exec.Command(cmp.Or(s.Program, r.Program), append(args, s.args...)...)
	s.process.Env = append(append(os.Environ(), r.Env...), "THISTLEQUAY_SERVICE=")
	s.process.Stdout, s.process.Stderr = s.Log, s.Log
	if err := s.process.Start(); err != nil {
		return err
	}
	ended, process := make(chan struct{}), s.process
	s.exited = ended
	go func() {
		process.Wait()
		if s.relay != nil {
			s.relay.down() // no process is there: connections are refused
		}
		close(ended)
	}()
	r.Record(s.Name, "started")
	return nil
}

func (s *Server) basePath() string {
	return filepath.Join(s.cluster.WorkDirectory, fmt.Sprint(s.Name, "-", s.Index))
}

// writeFiles writes the server's own settings and its keys.
func (s *Server) writeFiles() error {
	r, text := s.cluster, ""
	if r.Gossip {
		var first, founders []string
		for i := range min(Founders, r.Plan.Servers) {
			first = append(first, r.Servers[i].relay.address)
			founders = append(founders, fmt.Sprintf("n%02d", i))
		}
		size := r.ConfiguredServers
		if size == 0 {
			size = r.Plan.Servers
		}
		text = fmt.Sprintf("peers:\n  listen: %s\n  advertise: %s\n  first: [%s]\n  founders: [%s]\n  fleet: %s\n  servers: %d\n  zone: %s\n  key_file: %s\n  status: %s\n",
			s.relay.behind, s.relay.address, strings.Join(first, ", "), strings.Join(founders, ", "), s.fleet, size, s.Zone, filepath.Base(s.basePath()+".keys"), s.Status)
		if err := os.WriteFile(s.basePath()+".keys", []byte(s.key+"\n"), 0o600); err != nil {
			return err
		}
	}
	if r.ServiceYAML != nil {
		text += r.ServiceYAML(s)
	}
	return os.WriteFile(s.basePath()+".yaml", []byte(text), 0o600)
}

// ReloadWithKeys gives the server other keys, has it read its files again, and waits until it has said so.
func (s *Server) ReloadWithKeys(keys string) error {
	s.key = keys
	if err := s.writeFiles(); err != nil {
		return err
	}
	read := func() int { return strings.Count(s.Log.String(), "event=configuration_") }
	before := read()
	if err := s.Signal(syscall.SIGHUP); err != nil {
		return err
	}
	for range 1000 {
		if read() > before {
			return nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return errors.New("it does not read its files again")
}

// Signal sends a signal to the process of a server.
func (s *Server) Signal(what os.Signal) error {
	s.cluster.Record(s.Name, "%v", what)
	return s.process.Process.Signal(what)
}

// Kill kills it and waits for its end; connections to its address are refused from then on.
func (s *Server) Kill() error {
	err := s.Signal(syscall.SIGKILL)
	<-s.exited
	return err
}

// Ended is closed when the process has ended.
func (s *Server) Ended() <-chan struct{} { return s.exited }

// Exit is its exit code, once it has ended.
func (s *Server) Exit() int { return s.process.ProcessState.ExitCode() }

// Process is its number.
func (s *Server) Process() int { return s.process.Process.Pid }

// Shares asks the server for what it knows of shares.
func (s *Server) Shares() (r service.Status, err error) {
	err = gossip.FetchJSON(s.Status, "/shares", &r)
	return r, err
}

// GossipAddresses gives the addresses of a server that the test itself speaks for: where to listen and where others reach it.
func (s *Server) GossipAddresses() (listen, advertise string, err error) {
	if s.process == nil {
		err = s.relay.up()
	}
	return s.relay.behind, s.relay.address, err
}

// View asks the server for its view.
func (s *Server) View() (gossip.Status, error) { return gossip.FetchStatus(s.Status) }

// SetFault sets the fault of one direction.
func (r *Cluster) SetFault(from, to int, f Fault) {
	r.relays.lock.Lock()
	defer r.relays.lock.Unlock()
	r.relays.faults[[2]int{from, to}] = f
}

// SetFaultEverywhere sets the fault of all directions.
func (r *Cluster) SetFaultEverywhere(f Fault) {
	r.Record("", "everywhere %+v", f)
	for i := range r.Servers {
		for j := range r.Servers {
			if i != j {
				r.SetFault(r.Servers[i].Index, r.Servers[j].Index, f)
			}
		}
	}
}

// Heal takes all faults away.
func (r *Cluster) Heal() { r.SetFaultEverywhere(Fault{}) }

// Partition cuts the servers into groups by what of gives for each; all else is as it is without faults.
func (r *Cluster) Partition(of func(s *Server) int) {
	r.Record("", "split")
	for _, a := range r.Servers {
		for _, b := range r.Servers {
			if a != b {
				r.SetFault(a.Index, b.Index, Fault{Cut: of(a) != of(b)})
			}
		}
	}
}

// Close ends all that the rig started; a second one does nothing.
func (r *Cluster) Close() {
	if r.closed {
		return
	}
	r.closed = true
	close(r.relays.ended)
	for _, s := range r.Servers {
		if s.process != nil {
			_ = s.process.Process.Signal(syscall.SIGKILL)
			<-s.exited
		}
		if s.relay != nil {
			s.relay.down()
			s.relay.packets.Close()
		}
		s.Interpreter.Close()
	}
	r.Directory.Close()
	r.Index.Close()
}
