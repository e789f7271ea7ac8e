package main

// This file owns `thistlequay try`: servers with stand-ins on loopback, the same load with fair queues and without, and
// the table of what came of it. It must never reach beyond this machine.

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

type tryCommand struct {
	Seconds float64 `default:"10" help:"How long work is sent."`
	Seed    int64   `default:"7" help:"What the load is drawn from."`
	Greed   float64 `default:"10" help:"How many times its share the greedy tenant asks for."`
	Config  string  `placeholder:"FILE" help:"Write the configurations that it uses next to this name, and keep them."`
}

const (
	tryCores    = 4.0
	tryWork     = 0.04 // core seconds of a work item: a hundred a second in all
	tryContract = 2 * time.Second
	tryExpiry   = 5 * time.Second
	tryStop     = 3 * time.Second
)

// trial is one server with its stand-ins.
type trial struct {
	fair    bool
	dir     string
	vm      *emulator.Interpreter
	index   *emulator.Index
	lookup  *emulator.Directory
	process *exec.Cmd
	log     strings.Builder
	books   []*emulator.Account
}

// Run plays both trials at once, each on a server of its own, and prints the table.
func (t *tryCommand) Run(out io.Writer) error {
	dir, err := os.MkdirTemp("", "thistlequay-try-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	trials := []*trial{{dir: dir}, {dir: dir, fair: true}}
	fmt.Fprintf(out, "Two servers with stand-ins on this machine, %v seconds of the same work from four tenants: fair queues off, and on.\n", t.Seconds)
	failed := make([]error, len(trials))
	var all sync.WaitGroup
	for i, one := range trials {
		all.Go(func() { failed[i] = one.play(t) })
	}
	all.Wait()
	for i, err := range failed {
		if err != nil {
			return fmt.Errorf("%w\n%s", err, trials[i].log.String())
		}
	}
	t.print(out, trials[0].books, trials[1].books)
	return nil
}

// streams are three tenants that ask for less than their shares and one that asks for many times its own.
func (t *tryCommand) streams() (all []*emulator.Stream) {
	for i, name := range []string{"kirkens", "bymisjon", "fjordhjelpa", "ungdomslaget"} {
		share := []float64{0.31, 0.29, 0.23, 0.17}[i]
		rate := 0.7 * share * tryCores / tryWork
		if i == 3 {
			rate = t.Greed * share * tryCores / tryWork
		}
		all = append(all, &emulator.Stream{Tenant: name, Weight: share, ArrivalsPerSecond: rate, To: t.Seconds, MeanCoreSeconds: tryWork, PriorityWeight: 1})
	}
	return all
}

func (one *trial) play(t *tryCommand) (err error) {
	if one.vm, err = emulator.NewInterpreter(tryCores, t.Seed); err != nil {
		return err
	}
	defer one.vm.Close()
	if one.index, err = emulator.NewIndex(); err != nil {
		return err
	}
	defer one.index.Close()
	if one.lookup, err = emulator.NewDirectory(); err != nil {
		return err
	}
	defer one.lookup.Close()
	address, err := emulator.FreeAddress()
	if err != nil {
		return err
	}
	if err := one.start(t, address); err != nil {
		return err
	}
	defer one.end()
	if err := ready(address); err != nil {
		return err
	}
	load := &emulator.LoadRun{Address: address, Seed: t.Seed, Seconds: t.Seconds, Cores: tryCores, Categories: []string{"look"},
		SoftDeadline: tryContract, Deadline: tryExpiry, Streams: t.streams()}
	one.books, err = load.Run()
	return err
}

func (one *trial) start(t *tryCommand, address string) error {
	name := map[bool]string{false: "plain", true: "fair"}[one.fair]
	config := map[string]any{"name": name, "listen": address, "vm": one.vm.Address, "index": one.index.Address,
		"lookup": one.lookup.Address, "seed": "0000000000000007", "stop_ms": tryStop.Milliseconds(),
		"limits": map[string]any{"cores": 1, "memory_mb": 64, "sockets": 1024},
		"settings": map[string]any{
			"Categories": []any{map[string]any{"Name": "look", "Effect": "repeatable", "OnTime": tryContract.Milliseconds(),
				"HardLimit": tryExpiry.Milliseconds(), "LateWorth": 0.2, "Worth": 1, "Window": 5000}},
			"FamilyInfo": map[string]any{"Callers": 4, "Cores": tryCores, "Halt": "drop", "MemoryKb": 80_000, "RunFactor": 8,
				"EntryKb": 10, "Meters": []string{"core_use", "on_cores"}},
			"Limits": map[string]any{"RetryAfter": true, "MaxRetryAfter": 30_000}, "Period": 2, "Servers": 1,
			"Rules": map[string]any{"DrainGrace": 2000, "TipMultiple": 8}}}
	text, err := json.MarshalIndent(config, "", "  ")
	if err != nil {
		return err
	}
	var service strings.Builder
	service.WriteString("fair_queues:\n  tenants:\n")
	for _, s := range t.streams() {
		fmt.Fprintf(&service, "    - {name: %s, share: %v}\n", s.Tenant, s.Weight)
	}
	files := []struct{ name, text string }{{name + ".json", string(text)}, {name + ".yaml", service.String()}}
	args := []string{"serve"}
	for i, f := range files {
		if i == 1 && !one.fair {
			break
		}
		path := filepath.Join(one.dir, f.name)
		if t.Config != "" {
			path = t.Config + "." + f.name
		}
		if err := os.WriteFile(path, []byte(f.text), 0o600); err != nil {
			return err
		}
		args = append(args, []string{"--config=", "--service="}[i]+path)
	}
	program, err := os.Executable()
	if err != nil {
		return err
	}
	one.process = exec.Command(program, args...)
	one.process.Stdout, one.process.Stderr = &one.log, &one.log
	return one.process.Start()
}

// end has the server leave, and ends it if it does not.
func (one *trial) end() {
	gone := make(chan struct{})
	go func() { one.process.Wait(); close(gone) }()
	one.process.Process.Signal(syscall.SIGTERM)
	select {
	case <-gone:
	case <-time.After(2 * tryStop):
		one.process.Process.Kill()
		<-gone
	}
}

// ready waits until the server answers a health check with what it can take: then its interpreter is there.
func ready(address string) error {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		c, err := emulator.Dial(address)
		if err != nil {
			continue
		}
		c.Write(emulator.FastCGIRequest(1, "/rpc/none", "", nil))
		a, err := c.ReadResponse()
		c.Close()
		if err == nil && a.Status == 404 {
			return nil
		}
	}
	return fmt.Errorf("no server came up at %s", address)
}

func (t *tryCommand) print(out io.Writer, off, on []*emulator.Account) {
	w := table.NewWriter()
	w.SetOutputMirror(out)
	w.SetStyle(table.StyleLight)
	w.AppendHeader(table.Row{"", "", "fair queues off", "", "", "", "", "fair queues on", "", "", "", ""}, table.RowConfig{AutoMerge: true})
	w.AppendHeader(table.Row{"tenant", "asked", "in time", "late", "declined", "broken off", "of entitled", "in time", "late", "declined", "broken off", "of entitled"})
	row := func(a, b *emulator.Account) table.Row {
		r := table.Row{a.Tenant, a.Requested}
		for _, x := range []*emulator.Account{a, b} {
			r = append(r, x.OnTime, x.Late, x.Rejected, x.Aborted, fmt.Sprintf("%.0f%%", 100*x.DeliveredShare()))
		}
		return r
	}
	for i := range off {
		w.AppendRow(row(off[i], on[i]))
	}
	a, b := emulator.Total(off), emulator.Total(on)
	w.AppendFooter(row(&a, &b))
	w.Render()
	fmt.Fprintln(out, "of entitled: gain delivered inside the contract time, of what the tenant's part by its share (max-min) would have earned in that time; answers after the last ask count too.")
}
