package clustertest

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"thistlequay/internal/emulator"
	"thistlequay/internal/gossip"
	"thistlequay/internal/quota/service"
)

// Server is one server of a cluster, with its interpreter and its relay. It has at most one process at a time. Start,
// Configure and ReloadWithKeys must not run concurrently with any other method of the server.
type Server struct {
	// Index is the index given to AddServer.
	Index int
	// Name is the server's name in its settings.
	Name string
	// Zone is the server's zone in its settings.
	Zone string
	// RouterAddress is the address on which the server accepts connections from routers.
	RouterAddress string
	// StatusAddress is the address of the server's status page.
	StatusAddress string
	// Program is the path of the executable that the next Start runs; empty means Config.Program.
	Program string
	// Interpreter emulates the server's interpreter. It keeps running while the server restarts.
	Interpreter *emulator.Interpreter
	// Log collects the standard output and standard error of all processes of the server.
	Log *LogBuffer

	cluster     *Cluster
	relay       *relay // nil without gossip
	process     *exec.Cmd
	exited      chan struct{} // closed when process has ended
	pauses      pauseHistory  // of all processes so far
	args        []string      // appended to the command line
	keys        string        // gossip keys, in base64, one per line
	clusterName string        // name of the cluster
}

// LogBuffer is an io.Writer that keeps everything written to it. It is safe for concurrent use.
type LogBuffer struct {
	lock sync.Mutex
	text strings.Builder
}

// Write appends to the log. It never fails.
func (b *LogBuffer) Write(data []byte) (int, error) {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.text.Write(data)
}

// String returns everything written so far.
func (b *LogBuffer) String() string {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.text.String()
}

// Configure sets the server's name, the name of its cluster, its gossip keys (base64, one per line) and further
// command-line arguments. They take effect at the next Start. An empty name, clusterName or keys leaves the current
// value; the arguments replace those of an earlier call. Configure returns the server.
func (s *Server) Configure(name, clusterName, keys string, args ...string) *Server {
	s.Name = cmp.Or(name, s.Name)
	s.clusterName = cmp.Or(clusterName, s.clusterName)
	s.keys = cmp.Or(keys, s.keys)
	s.args = args
	return s
}

// Start writes the server's files and starts a process. It does not wait until the process serves. Of an earlier
// process of the server, only the state that it stored on disk remains.
func (s *Server) Start() error {
	c := s.cluster
	if err := s.writeConfig(); err != nil {
		return err
	}
	args := []string{"serve", "--config=" + s.path(".json")}
	if c.Gossip || c.ServiceYAML != nil {
		if err := s.writeServiceFiles(); err != nil {
			return err
		}
		args = append(args, "--service="+s.path(".yaml"))
	}
	if c.Gossip {
		if err := s.relay.startStreams(); err != nil {
			return err
		}
	}
	args = append(args, s.args...)
	process := exec.Command(cmp.Or(s.Program, c.Program), args...)
	process.Env = append(os.Environ(), c.Env...)
	process.Env = append(process.Env, "THISTLEQUAY_SERVICE=")
	process.Stdout = s.Log
	process.Stderr = s.Log
	s.process = process
	if err := process.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	s.exited = exited
	go s.reap(process, exited)
	c.Record(s.Name, "started")
	return nil
}

// reap waits for a process to end, and then makes the relay refuse connections to its gossip address.
func (s *Server) reap(process *exec.Cmd, exited chan struct{}) {
	_ = process.Wait() // ExitCode returns the code, and a killed process is not an error here
	if s.relay != nil {
		s.relay.stopStreams()
	}
	close(exited)
}

// path returns the path of the server's file with the given extension.
func (s *Server) path(extension string) string {
	return filepath.Join(s.cluster.WorkDirectory, fmt.Sprint(s.Name, "-", s.Index)+extension)
}

// fileMode is the permission mode of the servers' files. Gossip keys must not be readable by other users.
const fileMode = 0o600

// writeConfig writes the configuration that is documented for users (the --config file).
func (s *Server) writeConfig() error {
	c := s.cluster
	stopTimeout := cmp.Or(c.StopTimeout, defaultStopTimeout)
	text, err := json.Marshal(map[string]any{
		"name":     s.Name,
		"listen":   s.RouterAddress,
		"vm":       s.Interpreter.Address,
		"index":    c.Index.Address,
		"lookup":   c.Directory.Address,
		"seed":     fmt.Sprintf("%016x", c.Seed+int64(s.Index)),
		"stop_ms":  stopTimeout.Milliseconds(),
		"limits":   map[string]any{"cores": 1, "memory_mb": cmp.Or(c.MemoryMB, defaultMemoryMB), "sockets": 512},
		"settings": c.Settings,
	})
	if err != nil {
		return err
	}
	return os.WriteFile(s.path(".json"), text, fileMode)
}

// writeServiceFiles writes the server's service settings (the --service file) and its gossip keys.
func (s *Server) writeServiceFiles() error {
	c := s.cluster
	text := ""
	if c.Gossip {
		text = s.gossipYAML()
		if err := os.WriteFile(s.path(".keys"), []byte(s.keys+"\n"), fileMode); err != nil {
			return err
		}
	}
	if c.ServiceYAML != nil {
		text += c.ServiceYAML(s)
	}
	return os.WriteFile(s.path(".yaml"), []byte(text), fileMode)
}

// gossipYAML returns the section "peers" of the server's service settings.
func (s *Server) gossipYAML() string {
	c := s.cluster
	var seeds, founders []string
	for i := range min(MaxFounderCount, c.ServerCount) {
		seeds = append(seeds, c.Servers[i].relay.advertised)
		founders = append(founders, serverName(i))
	}
	var out strings.Builder
	out.WriteString("peers:\n")
	writeSetting := func(key string, value any) { fmt.Fprintf(&out, "  %s: %v\n", key, value) }
	writeSetting("listen", s.relay.listen)
	writeSetting("advertise", s.relay.advertised)
	writeSetting("first", "["+strings.Join(seeds, ", ")+"]")
	writeSetting("founders", "["+strings.Join(founders, ", ")+"]")
	writeSetting("fleet", s.clusterName)
	writeSetting("servers", cmp.Or(c.ConfiguredServerCount, c.ServerCount))
	writeSetting("zone", s.Zone)
	writeSetting("key_file", filepath.Base(s.path(".keys")))
	writeSetting("status", s.StatusAddress)
	return out.String()
}

// The number of times that ReloadWithKeys reads the log while it waits for a reload, and the pause between two reads.
const (
	maxReloadPolls     = 1000
	reloadPollInterval = 10 * time.Millisecond
)

// errNoReload is returned if the server does not log that it has read its files again.
var errNoReload = errors.New("server did not log a configuration reload within 10 seconds")

// ReloadWithKeys replaces the server's gossip keys (base64, one per line), sends SIGHUP, and waits until the server
// logs that it has read its files again. It fails if that takes more than 10 seconds.
func (s *Server) ReloadWithKeys(keys string) error {
	s.keys = keys
	if err := s.writeServiceFiles(); err != nil {
		return err
	}
	countReloads := func() int { return strings.Count(s.Log.String(), "event=configuration_") }
	before := countReloads()
	if err := s.Signal(syscall.SIGHUP); err != nil {
		return err
	}
	for range maxReloadPolls {
		if countReloads() > before {
			return nil
		}
		time.Sleep(reloadPollInterval)
	}
	return errNoReload
}

// Signal sends a signal to the process and records it in the history.
func (s *Server) Signal(signal os.Signal) error {
	s.cluster.Record(s.Name, "%v", signal)
	return s.pauses.send(signal, s.process.Process.Signal)
}

// Kill sends SIGKILL to the process and waits for it to end. Afterwards, connections to its gossip address are refused.
func (s *Server) Kill() error {
	err := s.Signal(syscall.SIGKILL)
	<-s.exited
	return err
}

// Exited returns a channel that is closed when the current process has ended.
func (s *Server) Exited() <-chan struct{} { return s.exited }

// ExitCode returns the exit code of the process, or -1 if a signal killed it. The process must have ended.
func (s *Server) ExitCode() int { return s.process.ProcessState.ExitCode() }

// PID returns the ID of the server's process.
func (s *Server) PID() int { return s.process.Process.Pid }

// QuotaStatus fetches the quota status from the server's status page.
func (s *Server) QuotaStatus() (service.Status, error) {
	var status service.Status
	err := gossip.FetchJSON(s.StatusAddress, service.StatusPath, &status)
	return status, err
}

// GossipStatus fetches the server's view of the cluster from its status page.
func (s *Server) GossipStatus() (gossip.Status, error) { return gossip.FetchStatus(s.StatusAddress) }

// GossipAddresses returns the gossip addresses of a server in whose place the test itself runs a gossip node: the
// address to listen on, and the one that other servers send to. It starts the relay's stream listener unless a process
// was started. Config.Gossip must be set.
func (s *Server) GossipAddresses() (listen, advertise string, err error) {
	if s.process == nil {
		err = s.relay.startStreams()
	}
	return s.relay.listen, s.relay.advertised, err
}

// close kills the process, if one was started, and closes the relay and the interpreter.
func (s *Server) close() {
	if s.process != nil {
		_ = s.process.Process.Signal(syscall.SIGKILL) // the process may already have ended
		<-s.exited
	}
	if s.relay != nil {
		s.relay.close()
	}
	s.Interpreter.Close()
}
