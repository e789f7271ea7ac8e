package command

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"thistlequay/internal/emulator"
)

// tryCommand implements the try command. It starts two servers, one with fair queues and one without, and emulators of
// their interpreter, index and directory. It sends the same load to both servers and prints a table of the results. All
// connections are local to this machine.
type tryCommand struct {
	Seconds float64 `default:"10" help:"How long requests are sent."`
	Seed    int64   `default:"7" help:"Seed of the load."`
	Greed   float64 `default:"10" help:"How many times its share the greedy tenant asks for."`
	Config  string  `placeholder:"FILE" help:"Write the configurations that it uses next to this name, and keep them."`
}

// The load of the try command, and the deadlines and the shutdown timeout of its servers.
const (
	tryCores        = 4.0
	tryCoreSeconds  = 0.04 // mean of a request; with tryCores, the capacity is 100 requests per second
	trySoftDeadline = 2 * time.Second
	tryDeadline     = 5 * time.Second
	tryStopTimeout  = 3 * time.Second
)

// trial holds one server process, its emulators and the results of its load.
type trial struct {
	hasFairQueues bool
	configDir     string // for the configuration files
	interpreter   *emulator.Interpreter
	index         *emulator.Index
	directory     *emulator.Directory
	process       *exec.Cmd
	log           strings.Builder // output of process
	stats         []*emulator.TenantStats
}

// Run runs the trials without and with fair queues concurrently and prints the results. If a trial fails, the error
// includes the log of its server.
func (t *tryCommand) Run(out io.Writer) error {
	tempDir, err := os.MkdirTemp("", "thistlequay-try-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(tempDir) //nolint:errcheck // a temporary directory that is left behind does no harm
	printf(out, "Two servers with emulators on this machine, %v seconds of the same requests from four tenants: "+
		"fair queues off, and on.\n", t.Seconds)
	off := &trial{configDir: tempDir}
	on := &trial{configDir: tempDir, hasFairQueues: true}
	trials := []*trial{off, on}
	errs := make([]error, len(trials))
	var waitGroup sync.WaitGroup
	for i, current := range trials {
		waitGroup.Go(func() { errs[i] = current.run(t) })
	}
	waitGroup.Wait()
	for i, err := range errs {
		if err != nil {
			return fmt.Errorf("%w\n%s", err, trials[i].log.String())
		}
	}
	renderTrials(out, off.stats, on.stats)
	return nil
}

// streams returns the load: three tenants that demand less than their shares, and one that demands Greed times its
// share.
func (t *tryCommand) streams() []*emulator.Stream {
	const modestDemand = 0.7 // demand of the first three tenants, as a fraction of their shares
	tenants := []struct {
		name   string
		share  float64
		demand float64 // as a multiple of share
	}{
		{"kirkens", 0.31, modestDemand},
		{"bymisjon", 0.29, modestDemand},
		{"fjordhjelpa", 0.23, modestDemand},
		{"ungdomslaget", 0.17, t.Greed},
	}
	var streams []*emulator.Stream
	for _, tenant := range tenants {
		streams = append(streams, &emulator.Stream{
			Tenant:            tenant.name,
			Weight:            tenant.share,
			ArrivalsPerSecond: tenant.demand * tenant.share * tryCores / tryCoreSeconds,
			To:                t.Seconds,
			MeanCoreSeconds:   tryCoreSeconds,
			PriorityWeight:    1,
		})
	}
	return streams
}

// run starts the emulators and the server, sends the load, collects the results and stops the server and the
// emulators.
func (t *trial) run(options *tryCommand) error {
	var err error
	t.interpreter, err = emulator.NewInterpreter(tryCores, options.Seed)
	if err != nil {
		return err
	}
	defer t.interpreter.Close()
	t.index, err = emulator.NewIndex()
	if err != nil {
		return err
	}
	defer t.index.Close() //nolint:errcheck // the listener is closed with this process at the latest
	t.directory, err = emulator.NewDirectory()
	if err != nil {
		return err
	}
	defer t.directory.Close() //nolint:errcheck // the listener is closed with this process at the latest
	address, err := emulator.FreeAddress()
	if err != nil {
		return err
	}
	if err := t.startServer(options, address); err != nil {
		return err
	}
	defer t.stopServer()
	if err := emulator.WaitUntilServing(address); err != nil {
		return err
	}
	load := &emulator.LoadRun{
		Address:      address,
		Seed:         options.Seed,
		Seconds:      options.Seconds,
		Cores:        tryCores,
		Categories:   []string{"look"},
		SoftDeadline: trySoftDeadline,
		Deadline:     tryDeadline,
		Streams:      options.streams(),
	}
	t.stats, err = load.Run()
	return err
}

// startServer writes the configuration files and starts the server process.
func (t *trial) startServer(options *tryCommand, address string) error {
	name := "plain"
	if t.hasFairQueues {
		name = "fair"
	}
	platform, err := t.platformConfig(name, address)
	if err != nil {
		return err
	}
	path, err := t.writeFile(options, name+".json", platform)
	if err != nil {
		return err
	}
	args := []string{"serve", "--config=" + path}
	if t.hasFairQueues {
		path, err := t.writeFile(options, name+".yaml", fairQueuesYAML(options.streams()))
		if err != nil {
			return err
		}
		args = append(args, "--service="+path)
	}
	program, err := os.Executable()
	if err != nil {
		return err
	}
	t.process = exec.Command(program, args...)
	t.process.Stdout = &t.log
	t.process.Stderr = &t.log
	return t.process.Start()
}

// platformConfig returns the platform's configuration for the server of the trial, as JSON.
func (t *trial) platformConfig(name, address string) (string, error) {
	type object = map[string]any
	settings := object{
		"Categories": []any{object{
			"Name": "look", "Effect": "repeatable", "OnTime": trySoftDeadline.Milliseconds(),
			"HardLimit": tryDeadline.Milliseconds(), "LateWorth": 0.2, "Worth": 1, "Window": 5000,
		}},
		"FamilyInfo": object{
			"Callers": 4, "Cores": tryCores, "Halt": "drop", "MemoryKb": 80_000, "RunFactor": 8, "EntryKb": 10,
			"Meters": []string{"core_use", "on_cores"},
		},
		"Limits":  object{"RetryAfter": true, "MaxRetryAfter": 30_000},
		"Period":  2,
		"Servers": 1,
		"Rules":   object{"DrainGrace": 2000, "TipMultiple": 8},
	}
	text, err := json.MarshalIndent(object{
		"name": name, "listen": address, "vm": t.interpreter.Address, "index": t.index.Address,
		"lookup": t.directory.Address, "seed": "0000000000000007", "stop_ms": tryStopTimeout.Milliseconds(),
		"limits": object{"cores": 1, "memory_mb": 64, "sockets": 1024}, "settings": settings,
	}, "", "  ")
	return string(text), err
}

// fairQueuesYAML returns service settings that give each tenant a fair queue with the weight of its stream, as YAML.
func fairQueuesYAML(streams []*emulator.Stream) string {
	var yaml strings.Builder
	yaml.WriteString("fair_queues:\n  tenants:\n")
	for _, stream := range streams {
		printf(&yaml, "    - {name: %s, share: %v}\n", stream.Tenant, stream.Weight)
	}
	return yaml.String()
}

// writeFile writes a configuration file and returns its path. The file is in the trial's temporary directory unless the
// user gave a path prefix with --config.
func (t *trial) writeFile(options *tryCommand, name, text string) (string, error) {
	path := filepath.Join(t.configDir, name)
	if options.Config != "" {
		path = options.Config + "." + name
	}
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// stopServer shuts the server down gracefully and waits until the process has exited. It kills the process if the
// shutdown takes longer than twice tryStopTimeout.
func (t *trial) stopServer() {
	exited := make(chan struct{})
	go func() {
		_ = t.process.Wait() // the exit status does not affect the results
		close(exited)
	}()
	_ = t.process.Process.Signal(syscall.SIGTERM) // fails if the process has already exited
	select {
	case <-exited:
	case <-time.After(2 * tryStopTimeout):
		_ = t.process.Process.Kill() // fails if the process has already exited
		<-exited
	}
}

// renderTrials prints a table with the results of each tenant and their totals, without and with fair queues.
func renderTrials(out io.Writer, off, on []*emulator.TenantStats) {
	t := table.NewWriter()
	t.SetOutputMirror(out)
	t.SetStyle(table.StyleLight)
	t.AppendHeader(table.Row{"", "", "fair queues off", "", "", "", "", "fair queues on", "", "", "", ""},
		table.RowConfig{AutoMerge: true})
	t.AppendHeader(table.Row{"tenant", "requests",
		"on time", "late", "rejected", "aborted", "of entitled",
		"on time", "late", "rejected", "aborted", "of entitled"})
	row := func(off, on *emulator.TenantStats) table.Row {
		cells := table.Row{off.Tenant, off.Requests}
		for _, stats := range []*emulator.TenantStats{off, on} {
			delivered := fmt.Sprintf("%.0f%%", 100*stats.DeliveredShare())
			cells = append(cells, stats.OnTime, stats.Late, stats.Rejected, stats.Aborted, delivered)
		}
		return cells
	}
	for i := range off {
		t.AppendRow(row(off[i], on[i]))
	}
	totalOff := emulator.Total(off)
	totalOn := emulator.Total(on)
	t.AppendFooter(row(&totalOff, &totalOn))
	t.Render()
	printLine(out, "of entitled: value delivered before the soft deadline, of what the tenant's share (max-min) of "+
		"the server's work would have earned in that time; answers after the last request count too.")
}
