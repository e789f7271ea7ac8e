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
	server := servertest.New(t)
	server.Service = pluginSection(pluginEntry("no", server.WriteModule("declines"),
		"hooks: [read], may: [decline], categories: [brief, book], "+generousLimits),
		pluginEntry("short", server.WriteModule("shortens"),
			"hooks: [result], may: [rewrite], categories: [look, book], "+generousLimits),
		pluginEntry("as-brief", server.WriteModule("recategorise"),
			"hooks: [read], may: [categorise], to: [brief], categories: [look], "+generousLimits))
	server.WriteFilesAndStart()
	interpreter := server.AcceptInterpreter(0)
	router := server.ConnectRouter()
	router.SendBrief(1)
	router.ExpectResponse(1, 403, "")
	id := router.SendLook(2, "body")
	interpreter.ExpectApply(id, "body")
	interpreter.SendValue(id, "OK", "a long result")
	router.ExpectResponse(2, 200, "short")
	router.Send(3, "/health", "", nil)
	router.ExpectResponse(3, 200, "")
	// A first attempt is rejected by the hook; it never ran, so that is allowed and its key is free.
	router.SendBook(4, "k")
	router.ExpectResponse(4, 403, "")
	server.Service = pluginSection(pluginEntry("short", server.WriteModule("shortens"),
		"hooks: [result], may: [rewrite], categories: [look, book], "+generousLimits))
	server.Reload()
	id = router.SendBook(5, "k")
	interpreter.ExpectApply(id, "entry k")
	interpreter.SendValue(id, "OK", "a long result")
	router.ExpectResponse(5, 200, "short")
	// A retry of what ran is not rejected, and gets the response that the first attempt got.
	server.Service = pluginSection(pluginEntry("no", server.WriteModule("declines"),
		"hooks: [read], may: [decline], "+generousLimits))
	server.Reload()
	router.SendBook(6, "k")
	router.ExpectResponse(6, 200, "short")
	router.SendLook(7, "declined now")
	router.ExpectResponse(7, 403, "")
	// A result that is no longer than its replacement stays, and so does that of a failed run.
	server.Service = pluginSection(pluginEntry("short", server.WriteModule("shortens"),
		"hooks: [result], may: [rewrite], "+generousLimits))
	server.Reload()
	id = router.SendLook(8, "")
	interpreter.ExpectApply(id, "")
	interpreter.SendValue(id, "OK", "r")
	router.ExpectResponse(8, 200, "r")
	server.Service = ""
	server.Reload()
	interpreter.ServeOne(router, 9, "no plug-ins")
	server.NoError(server.Process.Process.Signal(syscall.SIGTERM))
	code, _ := server.WaitForExit()
	server.Zero(code)
}

// Verdicts without permission have no effect: the request goes on, and the plug-in is soon in quarantine.
func TestPluginVerdictsWithoutPermissionAreIgnored(t *testing.T) {
	for _, kind := range []string{"declines", "recategorise", "tags", "status-9999", "no-such-category", "noise",
		"points-outside", "answers-1gib", "traps"} {
		permission := ""
		if kind == "status-9999" {
			permission = "may: [decline], "
		}
		server := servertest.New(t)
		server.Service = pluginSection(pluginEntry("bad", server.WriteModule(kind), "hooks: [read], "+permission+
			"quarantine: 1h, longest_quarantine: 1h, faults_in_a_row: 2, "+generousLimits))
		server.WriteFilesAndStart()
		interpreter := server.AcceptInterpreter(0)
		router := server.ConnectRouter()
		for slot := uint16(1); slot < 5; slot++ {
			interpreter.ServeOne(router, slot, kind)
		}
		server.Equal(1, strings.Count(server.LogText(), "event=plugin_quarantined name=bad"), kind)
	}
}

// A plug-in version that is bad in any way leaves the old one in place; one that is bad at the start keeps the program
// from starting.
func TestBadPluginVersionKeepsTheOldOne(t *testing.T) {
	server := servertest.New(t)
	good := pluginSection(pluginEntry("one", server.WriteModule("declines"),
		"hooks: [read], may: [decline], categories: [brief], "+generousLimits))
	server.Service = good
	server.WriteFilesAndStart()
	interpreter := server.AcceptInterpreter(0)
	router := server.ConnectRouter()
	slot := uint16(0)
	declined := func() {
		slot++
		router.SendBrief(slot)
		router.ExpectResponse(slot, 403, "")
	}
	declined()
	for kind, why := range map[string]string{"truncated": "is no module", "other-version": "is of version 7",
		"foreign": "open_socket", "loops-at-start": "does not start"} {
		server.Service = pluginSection(pluginEntry("one", server.WriteModule(kind),
			"hooks: [read], start: 100ms, "+generousLimits))
		server.Reload()
		server.Contains(server.LogText(), why)
		declined()
	}
	server.Service = pluginSection(pluginEntry("one", server.WriteModule("good"),
		"hooks: [read], sha256: \"00\", "+generousLimits))
	server.Reload()
	server.Contains(server.LogText(), "the file has ")
	declined()
	server.Service = pluginSection(pluginEntry("one", server.WriteModule("good"),
		`hooks: [read], samples: [{hook: read, category: look, does: [decline]}], `+generousLimits))
	server.Reload()
	server.Contains(server.LogText(), "sample 1: does 0")
	declined()
	// Removed while a request is in its chain: that request ends with the plug-in that it began with.
	server.Service = pluginSection(pluginEntry("one", server.WriteModule("slow-4ms"),
		"hooks: [read, result], "+generousLimits))
	server.Reload()
	id := router.SendLook(100, "under way")
	server.Service = "# none\n"
	server.Reload()
	interpreter.ExpectApply(id, "under way")
	interpreter.SendValue(id, "OK", "r")
	router.ExpectResponse(100, 200, "r")
	bad := servertest.New(t)
	bad.Service = pluginSection(pluginEntry("one", server.WriteModule("truncated"), "hooks: [read]"))
	bad.WriteFilesAndStart()
	code, log := bad.WaitForExit()
	server.Equal(command.ExitFailed, code)
	server.Contains(log, "plug-in one is no module that can be run")
}

// The client aborts, the drain begins and the plug-in process dies, each while a hook runs.
func TestPluginHookSurvivesAbortDrainAndProcessDeath(t *testing.T) {
	server := servertest.New(t)
	server.Service = pluginSection(pluginEntry("loops", server.WriteModule("loops"),
		"hooks: [read, result], categories: [look], call: 150ms, share: 0.5, core: 1, faults_in_a_row: 1000"))
	server.WriteFilesAndStart()
	interpreter := server.AcceptInterpreter(0)
	router := server.ConnectRouter()
	router.SendLook(1, "leaves")
	_, err := router.Write(emulator.FastCGIRecord(2, 1, ""))
	server.NoError(err)
	router.ExpectResponse(1, 0, "")
	id := router.SendLook(2, "cut")
	interpreter.ExpectApply(id, "cut") // the aborted request never reached the interpreter
	interpreter.SendValue(id, "OK", "the result as it was")
	router.ExpectResponse(2, 200, "the result as it was")
	id = router.SendLook(3, "its process dies")
	pid, err := strconv.Atoi(strings.Fields(strings.SplitN(server.LogText(), " process=", 2)[1])[0])
	server.NoError(err)
	server.NoError(syscall.Kill(pid, syscall.SIGKILL))
	interpreter.ExpectApply(id, "its process dies")
	interpreter.SendValue(id, "OK", "r")
	router.ExpectResponse(3, 200, "r")
	server.Eventually(func() bool { return strings.Count(server.LogText(), "event=plugins_ready") == 2 },
		servertest.EventTimeout,
		time.Millisecond)
	id = router.SendLook(4, "leaving")
	server.NoError(server.Process.Process.Signal(syscall.SIGTERM))
	interpreter.ExpectApply(id, "leaving")
	interpreter.SendValue(id, "OK", "r")
	router.ExpectResponse(4, 200, "r")
	code, log := server.WaitForExit()
	server.Zero(code)
	server.Contains(log, "event=plugin_process_exited")
}

// buildExample compiles one of the examples as its page says.
func buildExample(server *servertest.Server, name string) string {
	server.T.Helper()
	file := filepath.Join(server.T.TempDir(), name+".wasm")
	build := exec.Command("go", "build", "-buildmode=c-shared", "-ldflags=-s -w", "-o", file, "../../examples/"+name)
	build.Env = append(os.Environ(), "GOOS=wasip1", "GOARCH=wasm")
	out, err := build.CombinedOutput()
	server.NoError(err, string(out))
	return file
}

// Both examples work, and what one of them keeps passes to its next version.
func TestPluginExamplesWork(t *testing.T) {
	server := servertest.New(t)
	hall := buildExample(server, "hallcheck")
	short := buildExample(server, "shortanswer")
	server.Config = strings.Replace(server.Config, `"memory_mb":192`, `"memory_mb":1024`, 1)
	const room = "memory_kb: 4096, code_kb: 4096, start: 10s, "
	section := func(more string) string {
		return "plugins:\n  memory_mb: 400\n  ready: 60s\n  list:\n" +
			pluginEntry("hall", hall, room+"hooks: [read, tick], may: [decline, tag], categories: [book], "+
				"every: 1s, "+more+generousLimits) +
			pluginEntry("short", short, room+"hooks: [result], may: [rewrite], categories: [look], "+generousLimits)
	}
	server.Service = section("")
	server.WriteFilesAndStart()
	interpreter := server.AcceptInterpreter(0)
	router := server.ConnectRouter()
	id := router.SendLook(1, "l")
	interpreter.ExpectApply(id, "l")
	interpreter.SendValue(id, "OK", "first line\nmore")
	router.ExpectResponse(1, 200, "first line")
	book := func(slot uint16, body string) {
		id := server.NewRequestID()
		with := servertest.RequestParameters("")
		with["HTTP_REQUEST_ID"], with["HTTP_ONCE_KEY"] = id, id
		router.Send(slot, "/rpc/book", body, with)
	}
	book(2, "nothing")
	router.ExpectResponse(2, 422, "")
	book(3, "note=1")
	o := interpreter.NextCommand()
	server.Equal("APPLY", o.Type)
	interpreter.SendValue(o.Job, "OK", "booked")
	router.ExpectResponse(3, 200, "booked")
	server.Service = section("row: 7, ")
	server.Service = strings.Replace(server.Service, "row: 7", "faults_in_a_row: 7", 1)
	server.Reload()
	book(4, "nothing")
	router.ExpectResponse(4, 422, "")
	server.NoError(server.Process.Process.Signal(syscall.SIGTERM))
	code, log := server.WaitForExit()
	server.Zero(code)
	server.Equal(2, strings.Count(log, "event=plugins_ready"))
}

// A plug-in that is not ready within its limit keeps the program from starting; one that logs without end is rate
// limited.
func TestPluginReadinessTimeoutAndLogLimit(t *testing.T) {
	server := servertest.New(t)
	server.Service = "plugins:\n  memory_mb: 90\n  ready: 2s\n  list:\n" +
		pluginEntry("long", server.WriteModule("loops-at-start"), "hooks: [read], start: 20s")
	server.WriteFilesAndStart()
	code, log := server.WaitForExit()
	server.Equal(command.ExitFailed, code)
	server.Contains(log, "were not ready within 2s")
	server = servertest.New(t)
	server.Service = pluginSection(pluginEntry("loud", server.WriteModule("logs-without-end"),
		"hooks: [read], categories: [look], call: 100ms, share: 0.5, core: 1"))
	server.WriteFilesAndStart()
	interpreter := server.AcceptInterpreter(0)
	router := server.ConnectRouter()
	interpreter.ServeOne(router, 1, "heard")
	server.Eventually(func() bool { return strings.Count(server.LogText(), "event=plugin_log") >= 20 },
		servertest.EventTimeout,
		time.Millisecond)
	interpreter.ServeOne(router, 2, "heard again")
	server.LessOrEqual(strings.Count(server.LogText(), "event=plugin_log"), 100)
}
