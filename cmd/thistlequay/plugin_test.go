package main

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/emulator"
)

// module writes a plug-in of a kind and gives its file.
func (r *rig) module(kind string) string {
	file := filepath.Join(r.t.TempDir(), kind+".wasm")
	r.NoError(os.WriteFile(file, emulator.PluginModule(kind), 0o600))
	return file
}

// plug is the section with these plug-ins.
func plug(entries ...string) string {
	return "plugins:\n  memory_mb: 90\n  list:\n" + strings.Join(entries, "") // the race detector takes its part
}

func entry(name, file, more string) string {
	return fmt.Sprintf("    - {name: %s, file: %s, %s}\n", name, file, more)
}

const noCut = "call: 200ms, share: 0.5, core: 1" // verdicts are waited for, however slow the machine

// What plug-ins may do, each seen in the answer; and what stays above them.
func TestPluginsVerdicts(t *testing.T) {
	r := prepare(t)
	r.service = plug(entry("no", r.module("declines"),
		"hooks: [read], may: [decline], categories: [brief, book], "+noCut),
		entry("short", r.module("shortens"), "hooks: [result], may: [rewrite], categories: [look, book], "+noCut),
		entry("as-brief", r.module("recategorise"),
			"hooks: [read], may: [categorise], to: [brief], categories: [look], "+noCut))
	r.run()
	v := r.up(0)
	c := r.router()
	c.brief(1)
	c.answered(1, 403, "")
	id := c.look(2, "body")
	v.applied(id, "body")
	v.value(id, "OK", "a long result")
	c.answered(2, 200, "short")
	c.ask(3, "/health", "", nil)
	c.answered(3, 200, "")
	// A first try is declined by the hook; it never ran, so that is allowed and its key is free.
	c.book(4, "k")
	c.answered(4, 403, "")
	r.service = plug(entry("short", r.module("shortens"),
		"hooks: [result], may: [rewrite], categories: [look, book], "+noCut))
	r.again()
	id = c.book(5, "k")
	v.applied(id, "entry k")
	v.value(id, "OK", "a long result")
	c.answered(5, 200, "short")
	// A repeat of what ran is not declined, and gets the answer that the first try got.
	r.service = plug(entry("no", r.module("declines"), "hooks: [read], may: [decline], "+noCut))
	r.again()
	c.book(6, "k")
	c.answered(6, 200, "short")
	c.look(7, "declined now")
	c.answered(7, 403, "")
	// A result that is not longer than what it is replaced by stays, and so does one that ended badly.
	r.service = plug(entry("short", r.module("shortens"), "hooks: [result], may: [rewrite], "+noCut))
	r.again()
	id = c.look(8, "")
	v.applied(id, "")
	v.value(id, "OK", "r")
	c.answered(8, 200, "r")
	r.service = ""
	r.again()
	v.serves(c, 9, "no plug-ins")
	r.NoError(r.process.Process.Signal(syscall.SIGTERM))
	code, _ := r.exit()
	r.Zero(code)
}

// Verdicts that are not granted count for nothing: the work item goes on, and the plug-in is in quarantine soon.
func TestPluginsBeyondTheirGrants(t *testing.T) {
	for _, kind := range []string{"declines", "recategorise", "tags", "status-9999", "no-such-category", "noise",
		"points-outside", "answers-1gib", "traps"} {
		r := prepare(t)
		r.service = plug(entry("bad", r.module(kind),
			"hooks: [read], quarantine: 1h, longest_quarantine: 1h, faults_in_a_row: 2, "+noCut))
		if kind == "status-9999" {
			r.service = plug(entry("bad", r.module(kind),
				"hooks: [read], may: [decline], quarantine: 1h, longest_quarantine: 1h, faults_in_a_row: 2, "+noCut))
		}
		r.run()
		v := r.up(0)
		c := r.router()
		for slot := uint16(1); slot < 5; slot++ {
			v.serves(c, slot, kind)
		}
		r.Equal(1, strings.Count(logOf(r), "event=plugin_quarantined name=bad"), kind)
	}
}

// A version that is bad in any way leaves the old one in place; one that is bad at the start keeps the program from it.
func TestPluginsReplaced(t *testing.T) {
	r := prepare(t)
	good := plug(entry("one", r.module("declines"), "hooks: [read], may: [decline], categories: [brief], "+noCut))
	r.service = good
	r.run()
	v := r.up(0)
	c := r.router()
	slot := uint16(0)
	declined := func() {
		slot++
		c.brief(slot)
		c.answered(slot, 403, "")
	}
	declined()
	for kind, why := range map[string]string{"truncated": "is no module", "other-version": "is of version 7",
		"foreign": "open_socket", "loops-at-start": "does not start"} {
		r.service = plug(entry("one", r.module(kind), "hooks: [read], start: 100ms, "+noCut))
		r.again()
		r.Contains(logOf(r), why)
		declined()
	}
	r.service = plug(entry("one", r.module("good"), "hooks: [read], sha256: \"00\", "+noCut))
	r.again()
	r.Contains(logOf(r), "the file has ")
	declined()
	r.service = plug(entry("one", r.module("good"),
		`hooks: [read], samples: [{hook: read, category: look, does: [decline]}], `+noCut))
	r.again()
	r.Contains(logOf(r), "sample 1: does 0")
	declined()
	// Removed with a work item on its walk: that one ends with what it began with.
	r.service = plug(entry("one", r.module("slow-4ms"), "hooks: [read, result], "+noCut))
	r.again()
	id := c.look(100, "under way")
	r.service = "# none\n"
	r.again()
	v.applied(id, "under way")
	v.value(id, "OK", "r")
	c.answered(100, 200, "r")
	bad := prepare(t)
	bad.service = plug(entry("one", r.module("truncated"), "hooks: [read]"))
	bad.run()
	code, log := bad.exit()
	r.Equal(exitFailed, code)
	r.Contains(log, "plug-in one is no module that can be run")
}

// The caller leaves, the notice to leave comes and the process of plug-ins dies, each while a hook runs.
func TestPluginsWhileMuchHappens(t *testing.T) {
	r := prepare(t)
	r.service = plug(entry("loops", r.module("loops"),
		"hooks: [read, result], categories: [look], call: 150ms, share: 0.5, core: 1, faults_in_a_row: 1000"))
	r.run()
	v := r.up(0)
	c := r.router()
	c.look(1, "leaves")
	_, err := c.Write(fcgi(2, 1, ""))
	r.NoError(err)
	c.answered(1, 0, "")
	id := c.look(2, "cut")
	v.applied(id, "cut") // nothing of the first came to the interpreter
	v.value(id, "OK", "the result as it was")
	c.answered(2, 200, "the result as it was")
	id = c.look(3, "its process dies")
	pid, err := strconv.Atoi(strings.Fields(strings.SplitN(logOf(r), " process=", 2)[1])[0])
	r.NoError(err)
	r.NoError(syscall.Kill(pid, syscall.SIGKILL))
	v.applied(id, "its process dies")
	v.value(id, "OK", "r")
	c.answered(3, 200, "r")
	r.Eventually(func() bool { return strings.Count(logOf(r), "event=plugins_ready") == 2 }, patience, time.Millisecond)
	id = c.look(4, "leaving")
	r.NoError(r.process.Process.Signal(syscall.SIGTERM))
	v.applied(id, "leaving")
	v.value(id, "OK", "r")
	c.answered(4, 200, "r")
	code, log := r.exit()
	r.Zero(code)
	r.Contains(log, "event=plugin_process_exited")
}

// under plays load for a second or so against a server with these plug-ins; acme is seen by them, beta is not.
func under(t *testing.T, service func(r *rig) string, during func(r *rig)) (r *rig, acme, beta *emulator.Account,
	vm *emulator.Interpreter) {
	r = prepare(t)
	var err error
	vm, err = emulator.NewInterpreter(2, 3)
	r.NoError(err)
	t.Cleanup(vm.Close)
	closeQuietly(r.vm)
	r.config = strings.Replace(r.config, r.vm.Address, vm.Address, 1)
	r.config = strings.Replace(r.config, `"Tenants":[{"Name":"acme"}]`, twoTenants(0.5, 0.5), 1)
	r.service = service(r)
	r.run()
	r.Eventually(func() bool { return strings.Contains(logOf(r), "interpreter_up") }, patience, time.Millisecond)
	length := 0.8
	if os.Getenv("MEASURE") == "full" {
		length = 20
	}
	load := &emulator.LoadRun{Address: r.listen, Seed: 5, Seconds: length, Cores: 2, Categories: []string{"look"},
		SoftDeadline: 4 * time.Second, Deadline: 7 * time.Second, Streams: []*emulator.Stream{
			{Tenant: "acme", Weight: 0.5, ArrivalsPerSecond: 250, To: length, MeanCoreSeconds: 0.002,
				PriorityWeight: 1},
			{Tenant: "beta", Weight: 0.5, ArrivalsPerSecond: 250, To: length, MeanCoreSeconds: 0.002,
				PriorityWeight: 1}}}
	var all sync.WaitGroup
	if during != nil {
		all.Go(func() { during(r) })
	}
	books, err := load.Run()
	r.NoError(err)
	all.Wait()
	r.Zero(load.BrokenRequests())
	return r, books[0], books[1], vm
}

// resident is the memory of the processes of plug-ins that a server has, in MB, and how many there are.
func resident(r *rig) (mb float64, n int) {
	out, _ := exec.Command("ps", "--ppid", strconv.Itoa(r.process.Process.Pid), "-o", "rss=").Output()
	for _, field := range strings.Fields(string(out)) {
		kb, _ := strconv.ParseFloat(field, 64)
		mb += kb / 1024
		n++
	}
	return mb, n
}

// Each hostile plug-in beside a well-behaved one, under load: whatever it does, nobody waits for it and nothing is
// lost.
func TestMeasuredPlugins(t *testing.T) {
	_, _, calm, _ := under(t, func(*rig) string { return "" }, nil)
	for _, kind := range []string{"good", "loops", "asks-4gib", "asks-bit-by-bit", "recurses", "recurses compiled",
		"traps", "traps-one-in-ten",
		"points-outside", "answers-1gib", "status-9999", "no-such-category", "logs-without-end", "slow-4ms"} {
		t.Run(kind, func(t *testing.T) {
			name, compiled := strings.CutSuffix(kind, " compiled")
			engine := map[bool]string{false: "interpreter", true: "compiler"}[compiled]
			var most float64
			r, acme, beta, vm := under(t, func(r *rig) string {
				return plug(entry("hostile", r.module(name), "hooks: [read, result, tick], every: 20ms, tenants: "+
					"[acme], may: [decline, rewrite], quarantine: 50ms, engine: "+engine),
					entry("tagger", r.module("tags"),
						"hooks: [read], tenants: [acme], may: [tag], call: 50ms, core: 0.5"))
			}, func(r *rig) {
				for range 6 {
					mb, _ := resident(r)
					most = max(most, mb)
					time.Sleep(100 * time.Millisecond) // a look now and then; nothing hangs on it
				}
			})
			late, lost, double := 0, 0, 0
			for _, a := range []*emulator.Account{acme, beta} {
				late += a.PastDeadline
				lost += a.Requested - a.OnTime - a.Late - a.Rejected - a.Aborted - a.BadRequests
			}
			vm.Inspect(func(v *emulator.Interpreter) {
				for _, runs := range v.RunsByRequest {
					double += runs - 1
				}
			})
			alive := map[bool]int{true: 1}[r.process.ProcessState == nil]
			t.Logf("measured plugins kind=%q late_answers=%d lost=%d double=%d server_alive=%d rss_mb=%.0f "+
				"other_p99_ratio=%.2f seen_p50_ms=%.1f seen_p99_ms=%.1f",
				kind, late, lost, double, alive, most,
				float64(beta.Times.ValueAtQuantile(99))/float64(calm.Times.ValueAtQuantile(99)),
				float64(acme.Times.ValueAtQuantile(50))/1000, float64(acme.Times.ValueAtQuantile(99))/1000)
			r.Equal([]int{0, 0, 0, 1}, []int{late, lost, double, alive})
			r.Zero(beta.BadRequests + beta.Aborted)
		})
	}
}

// Forty versions in a row under load: each work item ends with one, none is lost.
func TestPluginsReplacedFortyTimes(t *testing.T) {
	r, acme, beta, _ := under(t, func(r *rig) string {
		return plug(entry("one", r.module("good"),
			"hooks: [read, result]"))
	}, func(r *rig) {
		for i := range 40 {
			r.service = plug(entry("one", r.module([]string{"good", "tags"}[i%2]),
				fmt.Sprintf("hooks: [read, result], may: [tag], row: %d", i)))
			r.service = strings.Replace(r.service, "row", "faults_in_a_row", 1)
			r.service = strings.Replace(r.service, "faults_in_a_row: 0", "faults_in_a_row: 1", 1)
			r.again()
		}
	})
	for _, a := range []*emulator.Account{acme, beta} {
		r.Equal(a.Requested, a.OnTime+a.Late+a.Rejected, a)
		r.Zero(a.PastDeadline)
	}
	r.Equal(40, strings.Count(logOf(r), "event=configuration_read"))
	_, n := resident(r)
	r.LessOrEqual(n, 6)
}

func TestPluginCommands(t *testing.T) {
	r := prepare(t)
	request := filepath.Join(t.TempDir(), "r.json")
	r.NoError(os.WriteFile(request, []byte(`{"hook":"read","category":"look","tenant":"acme","body":"b"}`), 0o600))
	for line, says := range map[string]string{
		"0 plugin check " + r.module("good"):                                           "KB of memory an instance",
		"1 plugin check " + r.module("other-version"):                                  "is of version 7",
		"1 plugin check " + r.module("foreign"):                                        "open_socket",
		"0 plugin run " + r.module("declines") + " --request " + request:               `"does":"decline"`,
		"0 plugin run " + r.module("good") + " --engine=compiler --request " + request: `"does":"nothing"`,
		"1 plugin run " + r.module("loops") + " --request " + request:                  "",
		"2 plugin run " + r.module("loops"):                                            "--request",
	} {
		code, rest, _ := strings.Cut(line, " ")
		var out bytes.Buffer
		require.Equal(t, code, strconv.Itoa(runCommandLine(strings.Fields(rest), &out, &out)), out.String())
		require.Contains(t, out.String(), says)
	}
}

// example compiles one of the examples as its page says.
func (r *rig) example(name string) string {
	file := filepath.Join(r.t.TempDir(), name+".wasm")
	build := exec.Command("go", "build", "-buildmode=c-shared", "-ldflags=-s -w", "-o", file, "../../examples/"+name)
	build.Env = append(os.Environ(), "GOOS=wasip1", "GOARCH=wasm")
	out, err := build.CombinedOutput()
	r.NoError(err, string(out))
	return file
}

// Both worked examples, and what one of them keeps: it passes to the next version, and to the next process after a
// death.
func TestPluginExamples(t *testing.T) {
	r := prepare(t)
	hall, short := r.example("hallcheck"), r.example("shortanswer")
	r.config = strings.Replace(r.config, `"memory_mb":192`, `"memory_mb":1024`, 1)
	const room = "memory_kb: 4096, code_kb: 4096, start: 10s, "
	section := func(more string) string {
		return "plugins:\n  memory_mb: 400\n  ready: 60s\n  list:\n" +
			entry("hall", hall, room+"hooks: [read, tick], may: [decline, tag], categories: [book], "+
				"every: 1s, "+more+noCut) +
			entry("short", short, room+"hooks: [result], may: [rewrite], categories: [look], "+noCut)
	}
	r.service = section("")
	r.run()
	v := r.up(0)
	c := r.router()
	id := c.look(1, "l")
	v.applied(id, "l")
	v.value(id, "OK", "first line\nmore")
	c.answered(1, 200, "first line")
	book := func(slot uint16, body string) {
		id, with := r.id(), fields("")
		with["HTTP_REQUEST_ID"], with["HTTP_ONCE_KEY"] = id, id
		c.ask(slot, "/rpc/book", body, with)
	}
	book(2, "nothing")
	c.answered(2, 422, "")
	book(3, "note=1")
	o := v.next()
	r.Equal("APPLY", o.Type)
	v.value(o.Job, "OK", "booked")
	c.answered(3, 200, "booked")
	r.service = section("row: 7, ")
	r.service = strings.Replace(r.service, "row: 7", "faults_in_a_row: 7", 1)
	r.again()
	book(4, "nothing")
	c.answered(4, 422, "")
	r.NoError(r.process.Process.Signal(syscall.SIGTERM))
	code, log := r.exit()
	r.Zero(code)
	r.Equal(2, strings.Count(log, "event=plugins_ready"))
}

// A plug-in that takes longer to be ready than it may, and one that writes as fast as it can.
func TestPluginsNotReadyAndLoud(t *testing.T) {
	r := prepare(t)
	r.service = "plugins:\n  memory_mb: 90\n  ready: 2s\n  list:\n" +
		entry("long", r.module("loops-at-start"), "hooks: [read], start: 20s")
	r.run()
	code, log := r.exit()
	r.Equal(exitFailed, code)
	r.Contains(log, "were not ready within 2s")
	r = prepare(t)
	r.service = plug(entry("loud", r.module("logs-without-end"),
		"hooks: [read], categories: [look], call: 100ms, share: 0.5, core: 1"))
	r.run()
	v := r.up(0)
	c := r.router()
	v.serves(c, 1, "heard")
	r.Eventually(func() bool { return strings.Count(logOf(r), "event=plugin_log") >= 20 }, patience, time.Millisecond)
	v.serves(c, 2, "heard again")
	r.LessOrEqual(strings.Count(logOf(r), "event=plugin_log"), 100)
}
