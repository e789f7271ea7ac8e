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

// tryCommand is the verb try: two servers with emulators of all that they talk to, on loopback; the same load with fair
// queues and without; a table of the results. It never reaches beyond this machine.
type tryCommand struct {
	Seconds float64 `default:"10" help:"How long requests are sent."`
	Seed    int64   `default:"7" help:"Seed of the load."`
	Greed   float64 `default:"10" help:"How many times its share the greedy tenant asks for."`
	Config  string  `placeholder:"FILE" help:"Write the configurations that it uses next to this name, and keep them."`
}

// The load of the verb try and the deadlines of its requests.
const (
	tryCores        = 4.0
	tryCoreSeconds  = 0.04 // of a request: a hundred requests a second in all
	trySoftDeadline = 2 * time.Second
	tryDeadline     = 5 * time.Second
	tryStopTimeout  = 3 * time.Second
)

// trial is one server with its emulators.
type trial struct {
	hasFairQueues bool
	directory     string
	interpreter   *emulator.Interpreter
	index         *emulator.Index
	lookup        *emulator.Directory
	process       *exec.Cmd
	log           strings.Builder
	stats         []*emulator.TenantStats
}

// Run plays both trials at once, each on a server of its own, and prints the table.
func (t *tryCommand) Run(out io.Writer) error {
	directory, err := os.MkdirTemp("", "thistlequay-try-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(directory) //nolint:errcheck // a temporary folder that stays does no harm
	printf(out, "Two servers with emulators on this machine, %v seconds of the same requests from four tenants: "+
		"fair queues off, and on.\n", t.Seconds)
	off := &trial{directory: directory}
	on := &trial{directory: directory, hasFairQueues: true}
	trials := []*trial{off, on}
	failed := make([]error, len(trials))
	var running sync.WaitGroup
	for i, one := range trials {
		running.Go(func() { failed[i] = one.play(t) })
	}
	running.Wait()
	for i, err := range failed {
		if err != nil {
			return fmt.Errorf("%w\n%s", err, trials[i].log.String())
		}
	}
	renderTrials(out, off.stats, on.stats)
	return nil
}

// streams are three tenants that ask for less than their shares and one that asks for many times its own.
func (t *tryCommand) streams() []*emulator.Stream {
	const modest = 0.7 // part of its share that a tenant asks for
	tenants := []struct {
		name  string
		share float64
		asks  float64
	}{
		{"kirkens", 0.31, modest},
		{"bymisjon", 0.29, modest},
		{"fjordhjelpa", 0.23, modest},
		{"ungdomslaget", 0.17, t.Greed},
	}
	var streams []*emulator.Stream
	for _, tenant := range tenants {
		streams = append(streams, &emulator.Stream{
			Tenant:            tenant.name,
			Weight:            tenant.share,
			ArrivalsPerSecond: tenant.asks * tenant.share * tryCores / tryCoreSeconds,
			To:                t.Seconds,
			MeanCoreSeconds:   tryCoreSeconds,
			PriorityWeight:    1,
		})
	}
	return streams
}

// play starts the emulators and the server, sends the load and stops them.
func (one *trial) play(options *tryCommand) error {
	var err error
	one.interpreter, err = emulator.NewInterpreter(tryCores, options.Seed)
	if err != nil {
		return err
	}
	defer one.interpreter.Close()
	one.index, err = emulator.NewIndex()
	if err != nil {
		return err
	}
	defer one.index.Close() //nolint:errcheck // a listener of this process
	one.lookup, err = emulator.NewDirectory()
	if err != nil {
		return err
	}
	defer one.lookup.Close() //nolint:errcheck // a listener of this process
	address, err := emulator.FreeAddress()
	if err != nil {
		return err
	}
	if err := one.start(options, address); err != nil {
		return err
	}
	defer one.stop()
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
	one.stats, err = load.Run()
	return err
}

// start writes the configuration and starts the server's process.
func (one *trial) start(options *tryCommand, address string) error {
	name := "plain"
	if one.hasFairQueues {
		name = "fair"
	}
	platform, err := one.platformConfig(name, address)
	if err != nil {
		return err
	}
	path, err := one.writeFile(options, name+".json", platform)
	if err != nil {
		return err
	}
	args := []string{"serve", "--config=" + path}
	if one.hasFairQueues {
		path, err := one.writeFile(options, name+".yaml", fairQueuesYAML(options.streams()))
		if err != nil {
			return err
		}
		args = append(args, "--service="+path)
	}
	program, err := os.Executable()
	if err != nil {
		return err
	}
	one.process = exec.Command(program, args...)
	one.process.Stdout = &one.log
	one.process.Stderr = &one.log
	return one.process.Start()
}

// platformConfig is the platform's configuration of the trial's server, as JSON.
func (one *trial) platformConfig(name, address string) (string, error) {
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
		"name": name, "listen": address, "vm": one.interpreter.Address, "index": one.index.Address,
		"lookup": one.lookup.Address, "seed": "0000000000000007", "stop_ms": tryStopTimeout.Milliseconds(),
		"limits": object{"cores": 1, "memory_mb": 64, "sockets": 1024}, "settings": settings,
	}, "", "  ")
	return string(text), err
}

// fairQueuesYAML is our own settings with fair queues by the weights of the streams.
func fairQueuesYAML(streams []*emulator.Stream) string {
	var yaml strings.Builder
	yaml.WriteString("fair_queues:\n  tenants:\n")
	for _, stream := range streams {
		printf(&yaml, "    - {name: %s, share: %v}\n", stream.Tenant, stream.Weight)
	}
	return yaml.String()
}

// writeFile writes a configuration to the trial's folder, or where the user wants to keep it, and returns its path.
func (one *trial) writeFile(options *tryCommand, name, text string) (string, error) {
	path := filepath.Join(one.directory, name)
	if options.Config != "" {
		path = options.Config + "." + name
	}
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// stop has the server shut down gracefully, and kills it if it does not in time.
func (one *trial) stop() {
	exited := make(chan struct{})
	go func() {
		_ = one.process.Wait() // how it ended does not matter here
		close(exited)
	}()
	_ = one.process.Process.Signal(syscall.SIGTERM) // it fails where the process has ended already
	select {
	case <-exited:
	case <-time.After(2 * tryStopTimeout):
		_ = one.process.Process.Kill() // as above
		<-exited
	}
}

// renderTrials prints what each tenant got, without and with fair queues.
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
