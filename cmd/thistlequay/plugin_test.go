package main

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/command"
	"thistlequay/internal/emulator"
)

// writeModule writes a plug-in of a kind and gives the path of its file.
func (r *testServer) writeModule(kind string) string {
	r.t.Helper()
	file := filepath.Join(r.t.TempDir(), kind+".wasm")
	r.NoError(os.WriteFile(file, emulator.PluginModule(kind), 0o600))
	return file
}

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
	r := newTestServer(t)
	r.service = pluginSection(pluginEntry("no", r.writeModule("declines"),
		"hooks: [read], may: [decline], categories: [brief, book], "+generousLimits),
		pluginEntry("short", r.writeModule("shortens"),
			"hooks: [result], may: [rewrite], categories: [look, book], "+generousLimits),
		pluginEntry("as-brief", r.writeModule("recategorise"),
			"hooks: [read], may: [categorise], to: [brief], categories: [look], "+generousLimits))
	r.writeFilesAndStart()
	v := r.acceptInterpreter(0)
	c := r.connectRouter()
	c.sendBrief(1)
	c.expectResponse(1, 403, "")
	id := c.sendLook(2, "body")
	v.expectApply(id, "body")
	v.sendValue(id, "OK", "a long result")
	c.expectResponse(2, 200, "short")
	c.send(3, "/health", "", nil)
	c.expectResponse(3, 200, "")
	// A first attempt is rejected by the hook; it never ran, so that is allowed and its key is free.
	c.sendBook(4, "k")
	c.expectResponse(4, 403, "")
	r.service = pluginSection(pluginEntry("short", r.writeModule("shortens"),
		"hooks: [result], may: [rewrite], categories: [look, book], "+generousLimits))
	r.reload()
	id = c.sendBook(5, "k")
	v.expectApply(id, "entry k")
	v.sendValue(id, "OK", "a long result")
	c.expectResponse(5, 200, "short")
	// A retry of what ran is not rejected, and gets the response that the first attempt got.
	r.service = pluginSection(pluginEntry("no", r.writeModule("declines"),
		"hooks: [read], may: [decline], "+generousLimits))
	r.reload()
	c.sendBook(6, "k")
	c.expectResponse(6, 200, "short")
	c.sendLook(7, "declined now")
	c.expectResponse(7, 403, "")
	// A result that is no longer than its replacement stays, and so does that of a failed run.
	r.service = pluginSection(pluginEntry("short", r.writeModule("shortens"),
		"hooks: [result], may: [rewrite], "+generousLimits))
	r.reload()
	id = c.sendLook(8, "")
	v.expectApply(id, "")
	v.sendValue(id, "OK", "r")
	c.expectResponse(8, 200, "r")
	r.service = ""
	r.reload()
	v.serveOne(c, 9, "no plug-ins")
	r.NoError(r.process.Process.Signal(syscall.SIGTERM))
	code, _ := r.waitForExit()
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
		r := newTestServer(t)
		r.service = pluginSection(pluginEntry("bad", r.writeModule(kind), "hooks: [read], "+permission+
			"quarantine: 1h, longest_quarantine: 1h, faults_in_a_row: 2, "+generousLimits))
		r.writeFilesAndStart()
		v := r.acceptInterpreter(0)
		c := r.connectRouter()
		for slot := uint16(1); slot < 5; slot++ {
			v.serveOne(c, slot, kind)
		}
		r.Equal(1, strings.Count(logText(r), "event=plugin_quarantined name=bad"), kind)
	}
}

// A plug-in version that is bad in any way leaves the old one in place; one that is bad at the start keeps the program
// from starting.
func TestBadPluginVersionKeepsTheOldOne(t *testing.T) {
	r := newTestServer(t)
	good := pluginSection(pluginEntry("one", r.writeModule("declines"),
		"hooks: [read], may: [decline], categories: [brief], "+generousLimits))
	r.service = good
	r.writeFilesAndStart()
	v := r.acceptInterpreter(0)
	c := r.connectRouter()
	slot := uint16(0)
	declined := func() {
		slot++
		c.sendBrief(slot)
		c.expectResponse(slot, 403, "")
	}
	declined()
	for kind, why := range map[string]string{"truncated": "is no module", "other-version": "is of version 7",
		"foreign": "open_socket", "loops-at-start": "does not start"} {
		r.service = pluginSection(pluginEntry("one", r.writeModule(kind),
			"hooks: [read], start: 100ms, "+generousLimits))
		r.reload()
		r.Contains(logText(r), why)
		declined()
	}
	r.service = pluginSection(pluginEntry("one", r.writeModule("good"),
		"hooks: [read], sha256: \"00\", "+generousLimits))
	r.reload()
	r.Contains(logText(r), "the file has ")
	declined()
	r.service = pluginSection(pluginEntry("one", r.writeModule("good"),
		`hooks: [read], samples: [{hook: read, category: look, does: [decline]}], `+generousLimits))
	r.reload()
	r.Contains(logText(r), "sample 1: does 0")
	declined()
	// Removed while a request is in its chain: that request ends with the plug-in that it began with.
	r.service = pluginSection(pluginEntry("one", r.writeModule("slow-4ms"), "hooks: [read, result], "+generousLimits))
	r.reload()
	id := c.sendLook(100, "under way")
	r.service = "# none\n"
	r.reload()
	v.expectApply(id, "under way")
	v.sendValue(id, "OK", "r")
	c.expectResponse(100, 200, "r")
	bad := newTestServer(t)
	bad.service = pluginSection(pluginEntry("one", r.writeModule("truncated"), "hooks: [read]"))
	bad.writeFilesAndStart()
	code, log := bad.waitForExit()
	r.Equal(command.ExitFailed, code)
	r.Contains(log, "plug-in one is no module that can be run")
}

// The client aborts, the drain begins and the plug-in process dies, each while a hook runs.
func TestPluginHookSurvivesAbortDrainAndProcessDeath(t *testing.T) {
	r := newTestServer(t)
	r.service = pluginSection(pluginEntry("loops", r.writeModule("loops"),
		"hooks: [read, result], categories: [look], call: 150ms, share: 0.5, core: 1, faults_in_a_row: 1000"))
	r.writeFilesAndStart()
	v := r.acceptInterpreter(0)
	c := r.connectRouter()
	c.sendLook(1, "leaves")
	_, err := c.Write(fastCGIRecord(2, 1, ""))
	r.NoError(err)
	c.expectResponse(1, 0, "")
	id := c.sendLook(2, "cut")
	v.expectApply(id, "cut") // the aborted request never reached the interpreter
	v.sendValue(id, "OK", "the result as it was")
	c.expectResponse(2, 200, "the result as it was")
	id = c.sendLook(3, "its process dies")
	pid, err := strconv.Atoi(strings.Fields(strings.SplitN(logText(r), " process=", 2)[1])[0])
	r.NoError(err)
	r.NoError(syscall.Kill(pid, syscall.SIGKILL))
	v.expectApply(id, "its process dies")
	v.sendValue(id, "OK", "r")
	c.expectResponse(3, 200, "r")
	r.Eventually(func() bool { return strings.Count(logText(r), "event=plugins_ready") == 2 }, eventTimeout,
		time.Millisecond)
	id = c.sendLook(4, "leaving")
	r.NoError(r.process.Process.Signal(syscall.SIGTERM))
	v.expectApply(id, "leaving")
	v.sendValue(id, "OK", "r")
	c.expectResponse(4, 200, "r")
	code, log := r.waitForExit()
	r.Zero(code)
	r.Contains(log, "event=plugin_process_exited")
}

func TestPluginCommandExitCodesAndOutput(t *testing.T) {
	r := newTestServer(t)
	request := filepath.Join(t.TempDir(), "r.json")
	r.NoError(os.WriteFile(request, []byte(`{"hook":"read","category":"look","tenant":"acme","body":"b"}`), 0o600))
	for line, says := range map[string]string{
		"0 plugin check " + r.writeModule("good"):                                           "KB of memory an instance",
		"1 plugin check " + r.writeModule("other-version"):                                  "is of version 7",
		"1 plugin check " + r.writeModule("foreign"):                                        "open_socket",
		"0 plugin run " + r.writeModule("declines") + " --request " + request:               `"does":"decline"`,
		"0 plugin run " + r.writeModule("good") + " --engine=compiler --request " + request: `"does":"nothing"`,
		"1 plugin run " + r.writeModule("loops") + " --request " + request:                  "",
		"2 plugin run " + r.writeModule("loops"):                                            "--request",
	} {
		code, rest, _ := strings.Cut(line, " ")
		var out bytes.Buffer
		require.Equal(t, code, strconv.Itoa(command.Run(strings.Fields(rest), &out, &out)), out.String())
		require.Contains(t, out.String(), says)
	}
}

// buildExample compiles one of the examples as its page says.
func (r *testServer) buildExample(name string) string {
	r.t.Helper()
	file := filepath.Join(r.t.TempDir(), name+".wasm")
	build := exec.Command("go", "build", "-buildmode=c-shared", "-ldflags=-s -w", "-o", file, "../../examples/"+name)
	build.Env = append(os.Environ(), "GOOS=wasip1", "GOARCH=wasm")
	out, err := build.CombinedOutput()
	r.NoError(err, string(out))
	return file
}

// Both examples work, and what one of them keeps passes to its next version.
func TestPluginExamplesWork(t *testing.T) {
	r := newTestServer(t)
	hall := r.buildExample("hallcheck")
	short := r.buildExample("shortanswer")
	r.config = strings.Replace(r.config, `"memory_mb":192`, `"memory_mb":1024`, 1)
	const room = "memory_kb: 4096, code_kb: 4096, start: 10s, "
	section := func(more string) string {
		return "plugins:\n  memory_mb: 400\n  ready: 60s\n  list:\n" +
			pluginEntry("hall", hall, room+"hooks: [read, tick], may: [decline, tag], categories: [book], "+
				"every: 1s, "+more+generousLimits) +
			pluginEntry("short", short, room+"hooks: [result], may: [rewrite], categories: [look], "+generousLimits)
	}
	r.service = section("")
	r.writeFilesAndStart()
	v := r.acceptInterpreter(0)
	c := r.connectRouter()
	id := c.sendLook(1, "l")
	v.expectApply(id, "l")
	v.sendValue(id, "OK", "first line\nmore")
	c.expectResponse(1, 200, "first line")
	book := func(slot uint16, body string) {
		id := r.newRequestID()
		with := requestParameters("")
		with["HTTP_REQUEST_ID"], with["HTTP_ONCE_KEY"] = id, id
		c.send(slot, "/rpc/book", body, with)
	}
	book(2, "nothing")
	c.expectResponse(2, 422, "")
	book(3, "note=1")
	o := v.nextCommand()
	r.Equal("APPLY", o.Type)
	v.sendValue(o.Job, "OK", "booked")
	c.expectResponse(3, 200, "booked")
	r.service = section("row: 7, ")
	r.service = strings.Replace(r.service, "row: 7", "faults_in_a_row: 7", 1)
	r.reload()
	book(4, "nothing")
	c.expectResponse(4, 422, "")
	r.NoError(r.process.Process.Signal(syscall.SIGTERM))
	code, log := r.waitForExit()
	r.Zero(code)
	r.Equal(2, strings.Count(log, "event=plugins_ready"))
}

// A plug-in that is not ready within its limit keeps the program from starting; one that logs without end is rate
// limited.
func TestPluginReadinessTimeoutAndLogLimit(t *testing.T) {
	r := newTestServer(t)
	r.service = "plugins:\n  memory_mb: 90\n  ready: 2s\n  list:\n" +
		pluginEntry("long", r.writeModule("loops-at-start"), "hooks: [read], start: 20s")
	r.writeFilesAndStart()
	code, log := r.waitForExit()
	r.Equal(command.ExitFailed, code)
	r.Contains(log, "were not ready within 2s")
	r = newTestServer(t)
	r.service = pluginSection(pluginEntry("loud", r.writeModule("logs-without-end"),
		"hooks: [read], categories: [look], call: 100ms, share: 0.5, core: 1"))
	r.writeFilesAndStart()
	v := r.acceptInterpreter(0)
	c := r.connectRouter()
	v.serveOne(c, 1, "heard")
	r.Eventually(func() bool { return strings.Count(logText(r), "event=plugin_log") >= 20 }, eventTimeout,
		time.Millisecond)
	v.serveOne(c, 2, "heard again")
	r.LessOrEqual(strings.Count(logText(r), "event=plugin_log"), 100)
}
