package soak

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"thistlequay/internal/clustertest"
	"thistlequay/internal/emulator"
	"thistlequay/internal/servertest"
)

// Options are the parameters of Run that do not depend on the plan.
type Options struct {
	// Program is the path of the program. Env is added to its environment.
	Program string
	Env     []string
	// Directory is an empty directory for the files of the servers.
	Directory string
}

// run is the state of a plan while it is carried out.
type run struct {
	plan        Plan
	observation *Observation
	cluster     *clustertest.Cluster
	targets     []*target
	readyAt     time.Time // when all servers were ready
}

// target is one server of a run and its current process.
type target struct {
	server *clustertest.Server
	plan   ServerPlan

	lock        sync.Mutex
	process     *Process
	logOffset   int  // offset of the process's log in the log of the server
	hasFinished bool // whether the last process has exited
}

// currentProcess returns the current process.
func (t *target) currentProcess() *Process {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.process
}

// isFinished reports whether the server's last process has exited.
func (t *target) isFinished() bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.hasFinished
}

// Run carries out a plan and returns what was observed. It returns an error if the servers could not be started;
// violations of the rules are no errors.
func Run(plan Plan, options Options) (*Observation, error) {
	cluster, err := newCluster(plan, options)
	if err != nil {
		return nil, err
	}
	defer cluster.Close()
	r := &run{plan: plan, observation: &Observation{Plan: plan}, cluster: cluster}
	for i, server := range cluster.Servers {
		r.targets = append(r.targets, &target{server: server, plan: plan.Servers[i]})
	}
	if err := r.startAll(); err != nil {
		return nil, err
	}
	stopMeasuring := r.measureLateness()
	r.runServers()
	stopMeasuring()
	r.countRuns()
	return r.observation, nil
}

// newCluster creates the servers and emulators of a plan. It does not start the servers.
func newCluster(plan Plan, options Options) (*clustertest.Cluster, error) {
	var settings map[string]any
	if err := json.Unmarshal([]byte(servertest.PlatformSettings), &settings); err != nil {
		return nil, err
	}
	settings["Servers"] = len(plan.Servers)
	settings["Rules"].(map[string]any)["DrainGrace"] = float64(plan.GracePeriod.Milliseconds())
	index, err := emulator.NewIndex()
	if err != nil {
		return nil, err
	}
	index.ReplyDelay = plan.IndexDelay
	index.ReplyScript = func(n int) emulator.IndexReply { return plan.IndexReplies[n%len(plan.IndexReplies)] }
	config := clustertest.Config{
		ServerCount:   len(plan.Servers),
		Seed:          plan.Seed,
		WorkDirectory: options.Directory,
		Program:       options.Program,
		Env:           options.Env,
		Settings:      settings,
		Cores:         2,
		Gossip:        plan.Gossip,
		StopTimeout:   plan.StopTimeout,
		Index:         index,
		ServiceYAML:   func(server *clustertest.Server) string { return serviceYAML(plan, options, server) },
	}
	cluster, err := clustertest.New(config)
	if err != nil {
		return nil, err
	}
	for _, server := range cluster.Servers {
		server.Interpreter.CallProbability = plan.CallProbability
	}
	if plan.IsDirectoryDown {
		err = cluster.Directory.Listener.Listener.Close()
	}
	return cluster, err
}

// serviceYAML returns the service settings of a server: a section for each enabled subsystem.
func serviceYAML(plan Plan, options Options, server *clustertest.Server) string {
	var text strings.Builder
	if plan.FairQueues {
		text.WriteString("fair_queues:\n")
	}
	if plan.Store {
		fmt.Fprintf(&text, "store:\n  directory: %s\n", storeDirectory(options.Directory, server))
	}
	return text.String()
}

// storeMode is the file mode of store directories.
const storeMode = 0o700

// storeDirectory returns the path of a server's store directory.
func storeDirectory(directory string, server *clustertest.Server) string {
	return filepath.Join(directory, "store-"+server.Name)
}

// startAll starts all servers and waits until they are ready.
func (r *run) startAll() error {
	for _, target := range r.targets {
		if r.plan.Store {
			if err := os.MkdirAll(storeDirectory(r.cluster.WorkDirectory, target.server), storeMode); err != nil {
				return err
			}
		}
		if err := r.startProcess(target); err != nil {
			return err
		}
	}
	for _, target := range r.targets {
		if err := r.waitUntilReady(target); err != nil {
			return err
		}
	}
	r.readyAt = time.Now()
	return nil
}

// startProcess starts a new process of a server and records it in the observation.
func (r *run) startProcess(target *target) error {
	process := &Process{Server: target.server.Name, StartedAt: time.Now()}
	target.lock.Lock()
	target.process = process
	target.logOffset = len(target.server.Log.String())
	target.lock.Unlock()
	r.observation.lock.Lock()
	r.observation.Processes = append(r.observation.Processes, process)
	r.observation.lock.Unlock()
	return target.server.Start()
}

// waitUntilReady waits until a server is ready and records the time.
func (r *run) waitUntilReady(target *target) error {
	process := target.currentProcess()
	err := emulator.WaitUntilServing(target.server.RouterAddress)
	if err != nil {
		return fmt.Errorf("%w; log of the server:\n%s", err, target.server.Log)
	}
	process.ReadyAt = time.Now()
	return nil
}

// runServers carries out the plans of all servers and runs their clients. It returns when all processes have exited.
func (r *run) runServers() {
	var tasks sync.WaitGroup
	for _, target := range r.targets {
		for number := range r.plan.ClientsPerServer {
			tasks.Go(r.newClient(target, number).sendLoop)
		}
		if r.plan.HasConnectOnlyClients {
			for number := range connectOnlyClients {
				tasks.Go(r.newClient(target, r.plan.ClientsPerServer+number).connectLoop)
			}
		}
		tasks.Go(func() { r.runServer(target) })
	}
	tasks.Wait()
}

// newClient returns a client of a server, with random numbers seeded by the plan, the server and the client's number.
func (r *run) newClient(target *target, number int) *client {
	seed := r.plan.Seed<<16 ^ int64(target.server.Index)<<8 ^ int64(number)
	return &client{run: r, target: target, random: rand.New(rand.NewSource(seed)), number: number}
}

// runServer carries out the plan of a started server until its last process has exited.
func (r *run) runServer(target *target) {
	if target.plan.Crashes {
		r.sleepUntil(r.readyAt.Add(target.plan.CrashAt))
		r.crash(target)
	}
	r.sleepUntil(r.readyAt.Add(target.plan.ShutdownAt))
	r.shutDown(target)
	target.lock.Lock()
	target.hasFinished = true
	target.lock.Unlock()
}

// crash kills the process of a server without a SIGTERM before, and starts another.
func (r *run) crash(target *target) {
	process := target.currentProcess()
	process.CrashedAt = time.Now()
	_ = target.server.Kill() // fails if the process has exited; why is in its log
	r.recordLog(target, process)
	if r.startProcess(target) == nil {
		_ = r.waitUntilReady(target) // on failure ReadyAt stays zero, which Check counts
	}
}

// shutDown sends SIGTERM and the other signals of the plan, and kills the process if it has not exited by the stop
// timeout.
func (r *run) shutDown(target *target) {
	process := target.currentProcess()
	server := target.server
	signalAll := func(signals []syscall.Signal) {
		for _, signal := range signals {
			_ = server.Signal(signal) // fails if the process has exited; Check sees its exit code
		}
	}
	signalAll(target.plan.SignalsBefore)
	if target.plan.Pause > 0 {
		_ = server.Signal(syscall.SIGSTOP)
	}
	process.Pause = target.plan.Pause
	process.ShutdownAt = time.Now()
	_ = server.Signal(syscall.SIGTERM)
	if target.plan.Pause > 0 {
		r.sleepUntil(process.ShutdownAt.Add(target.plan.Pause))
		_ = server.Signal(syscall.SIGCONT)
	}
	signalAll(target.plan.SignalsAfter)
	select {
	case <-server.Exited():
	case <-time.After(time.Until(process.ShutdownAt.Add(r.plan.StopTimeout))):
		process.WasKilled = !server.HasEnded()
		_ = server.Kill()
	}
	process.ExitedAt = time.Now()
	process.ExitCode = server.ExitCode()
	r.recordLog(target, process)
}

// recordLog records the log of a process that has exited.
func (r *run) recordLog(target *target, process *Process) {
	process.Log = target.server.Log.String()[target.logOffset:]
}

// sleepUntil sleeps until a moment and records by how much the wake-up was late.
func (r *run) sleepUntil(moment time.Time) {
	time.Sleep(time.Until(moment))
	r.observation.raiseLateness(time.Since(moment))
}

// latenessSampleInterval is the interval at which measureLateness samples timer delays.
const latenessSampleInterval = 5 * time.Millisecond

// measureLateness records how late timers fire in this process, which is no fault of the program under test. It runs
// until stop is called.
func (r *run) measureLateness() (stop func()) {
	done := make(chan struct{})
	var sampler sync.WaitGroup
	sampler.Go(func() {
		for {
			next := time.Now().Add(latenessSampleInterval)
			select {
			case <-done:
				return
			case <-time.After(latenessSampleInterval):
				r.observation.raiseLateness(time.Since(next))
			}
		}
	})
	return func() {
		close(done)
		sampler.Wait()
	}
}

// countRuns sets Request.Runs from the counts of the interpreters.
func (r *run) countRuns() {
	for _, target := range r.targets {
		target.server.Interpreter.Inspect(func(interpreter *emulator.Interpreter) {
			for _, request := range r.observation.Requests {
				if request.Process.Server == target.server.Name {
					request.Runs = interpreter.RunsByRequest[request.ID]
				}
			}
		})
	}
}

// notifyRequestEnded tells the interpreter that a request has its response.
func (r *run) notifyRequestEnded(target *target, request *Request) {
	target.server.Interpreter.RequestEnded(request.ID)
}

// recordReset records an error on a connection if it is a reset.
func (r *run) recordReset(process *Process, err error, during string) {
	if isReset(err) {
		r.observation.addReset(Reset{process, time.Now(), during})
	}
}

// recordUnexpected records a response in a slot without an open request, either a second response or one to a request
// that was never sent. It adds a request with two responses, which Check reports as CheckDuplicateResponse.
func (r *run) recordUnexpected(process *Process, at time.Time) {
	request := &Request{ID: "a slot without an open request", Process: process, ReceivedAt: at, WrittenAt: at}
	request.Responses = []time.Time{at, at}
	r.observation.addRequest(request)
}
