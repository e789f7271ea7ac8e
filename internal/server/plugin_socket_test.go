package server_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"thistlequay/internal/command"
	"thistlequay/internal/emulator"
	"thistlequay/internal/servertest"
)

// pluginSection is the section of our settings with these plug-ins.
func pluginSection(entries ...string) string {
	return "plugins:\n  memory_mb: 90\n  list:\n" + strings.Join(entries, "") // enough for the race detector too
}

// pluginEntry is one plug-in of the section.
func pluginEntry(name, file, more string) string {
	return fmt.Sprintf("    - {name: %s, file: %s, %s}\n", name, file, more)
}

// generousLimits has the server wait for verdicts, however slow the machine is.
const generousLimits = "call: 200ms, share: 0.5, core: 1" // no verdict is cut off, however slow the machine is

// What plug-ins may do, each seen in the response; and what stays out of their reach.
func TestPluginVerdictsTakeEffect(t *testing.T) {
	r := servertest.New(t)
	r.Service = pluginSection(pluginEntry("no", r.WriteModule("declines"),
		"hooks: [read], may: [decline], categories: [brief, book], "+generousLimits),
		pluginEntry("short", r.WriteModule("shortens"),
			"hooks: [result], may: [rewrite], categories: [look, book], "+generousLimits),
		pluginEntry("as-brief", r.WriteModule("recategorise"),
			"hooks: [read], may: [categorise], to: [brief], categories: [look], "+generousLimits))
	r.WriteFilesAndStart()
	v := r.AcceptInterpreter(0)
	c := r.ConnectRouter()
	c.SendBrief(1)
	c.ExpectResponse(1, 403, "")
	id := c.SendLook(2, "body")
	v.ExpectApply(id, "body")
	v.SendValue(id, "OK", "a long result")
	c.ExpectResponse(2, 200, "short")
	c.Send(3, "/health", "", nil)
	c.ExpectResponse(3, 200, "")
	// A first attempt is rejected by the hook; it never ran, so that is allowed and its key is free.
	c.SendBook(4, "k")
	c.ExpectResponse(4, 403, "")
	r.Service = pluginSection(pluginEntry("short", r.WriteModule("shortens"),
		"hooks: [result], may: [rewrite], categories: [look, book], "+generousLimits))
	r.Reload()
	id = c.SendBook(5, "k")
	v.ExpectApply(id, "entry k")
	v.SendValue(id, "OK", "a long result")
	c.ExpectResponse(5, 200, "short")
	// A retry of what ran is not rejected, and gets the response that the first attempt got.
	r.Service = pluginSection(pluginEntry("no", r.WriteModule("declines"),
		"hooks: [read], may: [decline], "+generousLimits))
	r.Reload()
	c.SendBook(6, "k")
	c.ExpectResponse(6, 200, "short")
	c.SendLook(7, "declined now")
	c.ExpectResponse(7, 403, "")
	// A result that is no longer than its replacement stays, and so does that of a failed run.
	r.Service = pluginSection(pluginEntry("short", r.WriteModule("shortens"),
		"hooks: [result], may: [rewrite], "+generousLimits))
	r.Reload()
	id = c.SendLook(8, "")
	v.ExpectApply(id, "")
	v.SendValue(id, "OK", "r")
	c.ExpectResponse(8, 200, "r")
	r.Service = ""
	r.Reload()
	v.ServeOne(c, 9, "no plug-ins")
	r.NoError(r.Process.Process.Signal(syscall.SIGTERM))
	code, _ := r.WaitForExit()
	r.Zero(code)
}

// Verdicts without permission have no effect: the request goes on, and the plug-in is soon in quarantine.
func TestPluginVerdictsWithoutPermissionAreIgnored(t *testing.T) {
	for _, kind := range []string{"declines", "recategorise", "tags", "status-9999", "no-such-category", "noise",
		"points-outside", "answers-1gib", "traps"} {
		permission := ""
		if kind == "status-9999" {
			permission = "may: [decline], "
		}
		r := servertest.New(t)
		r.Service = pluginSection(pluginEntry("bad", r.WriteModule(kind), "hooks: [read], "+permission+
			"quarantine: 1h, longest_quarantine: 1h, faults_in_a_row: 2, "+generousLimits))
		r.WriteFilesAndStart()
		v := r.AcceptInterpreter(0)
		c := r.ConnectRouter()
		for slot := uint16(1); slot < 5; slot++ {
			v.ServeOne(c, slot, kind)
		}
		r.Equal(1, strings.Count(r.LogText(), "event=plugin_quarantined name=bad"), kind)
	}
}

// A plug-in version that is bad in any way leaves the old one in place; one that is bad at the start keeps the program
// from starting.
func TestBadPluginVersionKeepsTheOldOne(t *testing.T) {
	r := servertest.New(t)
	good := pluginSection(pluginEntry("one", r.WriteModule("declines"),
		"hooks: [read], may: [decline], categories: [brief], "+generousLimits))
	r.Service = good
	r.WriteFilesAndStart()
	v := r.AcceptInterpreter(0)
	c := r.ConnectRouter()
	slot := uint16(0)
	declined := func() {
		slot++
		c.SendBrief(slot)
		c.ExpectResponse(slot, 403, "")
	}
	declined()
	for kind, why := range map[string]string{"truncated": "is no module", "other-version": "is of version 7",
		"foreign": "open_socket", "loops-at-start": "does not start"} {
		r.Service = pluginSection(pluginEntry("one", r.WriteModule(kind),
			"hooks: [read], start: 100ms, "+generousLimits))
		r.Reload()
		r.Contains(r.LogText(), why)
		declined()
	}
	r.Service = pluginSection(pluginEntry("one", r.WriteModule("good"),
		"hooks: [read], sha256: \"00\", "+generousLimits))
	r.Reload()
	r.Contains(r.LogText(), "the file has ")
	declined()
	r.Service = pluginSection(pluginEntry("one", r.WriteModule("good"),
		`hooks: [read], samples: [{hook: read, category: look, does: [decline]}], `+generousLimits))
	r.Reload()
	r.Contains(r.LogText(), "sample 1: does 0")
	declined()
	// Removed while a request is in its chain: that request ends with the plug-in that it began with.
	r.Service = pluginSection(pluginEntry("one", r.WriteModule("slow-4ms"), "hooks: [read, result], "+generousLimits))
	r.Reload()
	id := c.SendLook(100, "under way")
	r.Service = "# none\n"
	r.Reload()
	v.ExpectApply(id, "under way")
	v.SendValue(id, "OK", "r")
	c.ExpectResponse(100, 200, "r")
	bad := servertest.New(t)
	bad.Service = pluginSection(pluginEntry("one", r.WriteModule("truncated"), "hooks: [read]"))
	bad.WriteFilesAndStart()
	code, log := bad.WaitForExit()
	r.Equal(command.ExitFailed, code)
	r.Contains(log, "plug-in one is no module that can be run")
}

// The client aborts, the drain begins and the plug-in process dies, each while a hook runs.
func TestPluginHookSurvivesAbortDrainAndProcessDeath(t *testing.T) {
	r := servertest.New(t)
	r.Service = pluginSection(pluginEntry("loops", r.WriteModule("loops"),
		"hooks: [read, result], categories: [look], call: 150ms, share: 0.5, core: 1, faults_in_a_row: 1000"))
	r.WriteFilesAndStart()
	v := r.AcceptInterpreter(0)
	c := r.ConnectRouter()
	c.SendLook(1, "leaves")
	_, err := c.Write(emulator.FastCGIRecord(2, 1, ""))
	r.NoError(err)
	c.ExpectResponse(1, 0, "")
	id := c.SendLook(2, "cut")
	v.ExpectApply(id, "cut") // the aborted request never reached the interpreter
	v.SendValue(id, "OK", "the result as it was")
	c.ExpectResponse(2, 200, "the result as it was")
	id = c.SendLook(3, "its process dies")
	pid, err := strconv.Atoi(strings.Fields(strings.SplitN(r.LogText(), " process=", 2)[1])[0])
	r.NoError(err)
	r.NoError(syscall.Kill(pid, syscall.SIGKILL))
	v.ExpectApply(id, "its process dies")
	v.SendValue(id, "OK", "r")
	c.ExpectResponse(3, 200, "r")
	r.Eventually(func() bool { return strings.Count(r.LogText(), "event=plugins_ready") == 2 }, servertest.EventTimeout,
		time.Millisecond)
	id = c.SendLook(4, "leaving")
	r.NoError(r.Process.Process.Signal(syscall.SIGTERM))
	v.ExpectApply(id, "leaving")
	v.SendValue(id, "OK", "r")
	c.ExpectResponse(4, 200, "r")
	code, log := r.WaitForExit()
	r.Zero(code)
	r.Contains(log, "event=plugin_process_exited")
}

// buildExample compiles one of the examples as its page says.
func buildExample(r *servertest.Server, name string) string {
	r.T.Helper()
	file := filepath.Join(r.T.TempDir(), name+".wasm")
	build := exec.Command("go", "build", "-buildmode=c-shared", "-ldflags=-s -w", "-o", file, "../../examples/"+name)
	build.Env = append(os.Environ(), "GOOS=wasip1", "GOARCH=wasm")
	out, err := build.CombinedOutput()
	r.NoError(err, string(out))
	return file
}

// Both examples work, and what one of them keeps passes to its next version.
func TestPluginExamplesWork(t *testing.T) {
	r := servertest.New(t)
	hall := buildExample(r, "hallcheck")
	short := buildExample(r, "shortanswer")
	r.Config = strings.Replace(r.Config, `"memory_mb":192`, `"memory_mb":1024`, 1)
	const room = "memory_kb: 4096, code_kb: 4096, start: 10s, "
	section := func(more string) string {
		return "plugins:\n  memory_mb: 400\n  ready: 60s\n  list:\n" +
			pluginEntry("hall", hall, room+"hooks: [read, tick], may: [decline, tag], categories: [book], "+
				"every: 1s, "+more+generousLimits) +
			pluginEntry("short", short, room+"hooks: [result], may: [rewrite], categories: [look], "+generousLimits)
	}
	r.Service = section("")
	r.WriteFilesAndStart()
	v := r.AcceptInterpreter(0)
	c := r.ConnectRouter()
	id := c.SendLook(1, "l")
	v.ExpectApply(id, "l")
	v.SendValue(id, "OK", "first line\nmore")
	c.ExpectResponse(1, 200, "first line")
	book := func(slot uint16, body string) {
		id := r.NewRequestID()
		with := servertest.RequestParameters("")
		with["HTTP_REQUEST_ID"], with["HTTP_ONCE_KEY"] = id, id
		c.Send(slot, "/rpc/book", body, with)
	}
	book(2, "nothing")
	c.ExpectResponse(2, 422, "")
	book(3, "note=1")
	o := v.NextCommand()
	r.Equal("APPLY", o.Type)
	v.SendValue(o.Job, "OK", "booked")
	c.ExpectResponse(3, 200, "booked")
	r.Service = section("row: 7, ")
	r.Service = strings.Replace(r.Service, "row: 7", "faults_in_a_row: 7", 1)
	r.Reload()
	book(4, "nothing")
	c.ExpectResponse(4, 422, "")
	r.NoError(r.Process.Process.Signal(syscall.SIGTERM))
	code, log := r.WaitForExit()
	r.Zero(code)
	r.Equal(2, strings.Count(log, "event=plugins_ready"))
}

// A plug-in that is not ready within its limit keeps the program from starting; one that logs without end is rate
// limited.
func TestPluginReadinessTimeoutAndLogLimit(t *testing.T) {
	r := servertest.New(t)
	r.Service = "plugins:\n  memory_mb: 90\n  ready: 2s\n  list:\n" +
		pluginEntry("long", r.WriteModule("loops-at-start"), "hooks: [read], start: 20s")
	r.WriteFilesAndStart()
	code, log := r.WaitForExit()
	r.Equal(command.ExitFailed, code)
	r.Contains(log, "were not ready within 2s")
	r = servertest.New(t)
	r.Service = pluginSection(pluginEntry("loud", r.WriteModule("logs-without-end"),
		"hooks: [read], categories: [look], call: 100ms, share: 0.5, core: 1"))
	r.WriteFilesAndStart()
	v := r.AcceptInterpreter(0)
	c := r.ConnectRouter()
	v.ServeOne(c, 1, "heard")
	r.Eventually(func() bool { return strings.Count(r.LogText(), "event=plugin_log") >= 20 }, servertest.EventTimeout,
		time.Millisecond)
	v.ServeOne(c, 2, "heard again")
	r.LessOrEqual(strings.Count(r.LogText(), "event=plugin_log"), 100)
}
