package server_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"thistlequay/internal/command"
	"thistlequay/internal/servertest"
)

// pluginSection returns the section of Server.Service that lists the given plug-ins.
func pluginSection(entries ...string) string {
	return "plugins:\n  memory_mb: 90\n  list:\n" + strings.Join(entries, "") // enough with the race detector, too
}

// pluginEntry returns the list entry of one plug-in. settings holds its other settings in YAML flow style.
func pluginEntry(name, file, settings string) string {
	return fmt.Sprintf("    - {name: %s, file: %s, %s}\n", name, file, settings)
}

// reloadPlugin reloads the program's settings with a single plug-in that runs the given module.
func reloadPlugin(server *servertest.Server, name, module, settings string) {
	server.T.Helper()
	server.Service = pluginSection(pluginEntry(name, server.WriteModule(module), settings))
	server.Reload()
}

// generousLimits are limits that every verdict meets even on a slow machine.
const generousLimits = "call: 200ms, share: 0.5, core: 1"

// Plug-ins with the required permissions reject requests, rewrite results and change categories, which the responses
// show. They cannot affect health checks or retries of a request that ran, and cannot replace a result by a longer one.
func TestPluginVerdictsTakeEffect(t *testing.T) {
	server := servertest.New(t)
	server.Service = pluginSection(
		pluginEntry("no", server.WriteModule("declines"),
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
	id := interpreter.StartLook(router, 2, "body")
	interpreter.SendValue(id, "OK", "a long result")
	router.ExpectResponse(2, 200, "short")
	router.ExpectHealth(3, 200)

	// The hook rejects the first attempt. The attempt never ran, so its idempotency key can be used again.
	router.SendBook(4, "k")
	router.ExpectResponse(4, 403, "")
	reloadPlugin(server, "short", "shortens",
		"hooks: [result], may: [rewrite], categories: [look, book], "+generousLimits)
	id = interpreter.StartBook(router, 5, "k")
	interpreter.SendValue(id, "OK", "a long result")
	router.ExpectResponse(5, 200, "short")

	// A retry of a request that ran is not rejected and gets the same response as the first attempt.
	reloadPlugin(server, "no", "declines", "hooks: [read], may: [decline], "+generousLimits)
	router.SendBook(6, "k")
	router.ExpectResponse(6, 200, "short")
	router.SendLook(7, "declined now")
	router.ExpectResponse(7, 403, "")

	// A result is not replaced by a longer one.
	reloadPlugin(server, "short", "shortens", "hooks: [result], may: [rewrite], "+generousLimits)
	id = interpreter.StartLook(router, 8, "")
	interpreter.CompleteRun(router, 8, id, "r")
	server.Service = ""
	server.Reload()
	interpreter.ServeOne(router, 9, "no plug-ins")
	server.Signal(syscall.SIGTERM)
	code, _ := server.WaitForExit()
	server.Zero(code)
}

// Verdicts that are not permitted or not valid have no effect. Requests are served, and the plug-in is quarantined
// after two faults.
func TestPluginVerdictsWithoutPermissionAreIgnored(t *testing.T) {
	for kind, permission := range map[string]string{
		"declines":         "",
		"recategorise":     "",
		"tags":             "",
		"status-9999":      "may: [decline], ",
		"no-such-category": "",
		"noise":            "",
		"points-outside":   "",
		"answers-1gib":     "",
		"traps":            "",
	} {
		t.Run(kind, func(t *testing.T) {
			server := servertest.New(t)
			server.Service = pluginSection(pluginEntry("bad", server.WriteModule(kind), "hooks: [read], "+permission+
				"quarantine: 1h, longest_quarantine: 1h, faults_in_a_row: 2, "+generousLimits))
			server.WriteFilesAndStart()
			interpreter := server.AcceptInterpreter(0)
			router := server.ConnectRouter()
			for slot := uint16(1); slot < 5; slot++ {
				interpreter.ServeOne(router, slot, kind)
			}
			// The program writes its log beside the responses.
			server.WaitForLog("event=plugin_quarantined name=bad")
			server.Equal(1, server.EventCount("plugin_quarantined name=bad"), kind)
		})
	}
}

// If a new version of a plug-in cannot be loaded, the old version stays in use and the log gives the reason. If there
// is no old version, the program does not start.
func TestBadPluginVersionKeepsTheOldOne(t *testing.T) {
	server := servertest.New(t)
	server.Service = pluginSection(pluginEntry("one", server.WriteModule("declines"),
		"hooks: [read], may: [decline], categories: [brief], "+generousLimits))
	server.WriteFilesAndStart()
	interpreter := server.AcceptInterpreter(0)
	router := server.ConnectRouter()
	slot := uint16(0)
	expectOldVersion := func() {
		t.Helper()
		slot++
		router.SendBrief(slot)
		router.ExpectResponse(slot, 403, "")
	}
	expectOldVersion()
	for kind, reason := range map[string]string{
		"truncated":      "is no module",
		"other-version":  "is of version 7",
		"foreign":        "open_socket",
		"loops-at-start": "does not start",
	} {
		reloadPlugin(server, "one", kind, "hooks: [read], start: 100ms, "+generousLimits)
		server.Contains(server.LogText(), reason)
		expectOldVersion()
	}
	reloadPlugin(server, "one", "good", `hooks: [read], sha256: "00", `+generousLimits)
	server.Contains(server.LogText(), "the file has ")
	expectOldVersion()
	reloadPlugin(server, "one", "good",
		`hooks: [read], samples: [{hook: read, category: look, does: [decline]}], `+generousLimits)
	server.Contains(server.LogText(), "sample 1: does 0")
	expectOldVersion()

	// The plug-in is removed while it evaluates a request. The request is completed on the old chain.
	reloadPlugin(server, "one", "slow-4ms", "hooks: [read, result], "+generousLimits)
	id := router.SendLook(100, "under way")
	server.Service = "# none\n"
	server.Reload()
	interpreter.ExpectApply(id, "under way")
	interpreter.CompleteRun(router, 100, id, "r")

	other := servertest.New(t)
	other.Service = pluginSection(pluginEntry("one", server.WriteModule("truncated"), "hooks: [read]"))
	other.WriteFilesAndStart()
	code, log := other.WaitForExit()
	server.Equal(command.ExitFailed, code)
	server.Contains(log, "plug-in one is no module that can be run")
}

// While a hook runs, the client aborts the request, the hook times out, the plug-in process is killed, or the drain
// begins. Every request except the aborted one must be answered with its result.
func TestPluginHookSurvivesAbortDrainAndProcessDeath(t *testing.T) {
	server := servertest.New(t)
	server.Service = pluginSection(pluginEntry("loops", server.WriteModule("loops"),
		"hooks: [read, result], categories: [look], call: 150ms, share: 0.5, core: 1, faults_in_a_row: 1000"))
	server.WriteFilesAndStart()
	interpreter := server.AcceptInterpreter(0)
	router := server.ConnectRouter()
	router.SendLook(1, "leaves")
	router.SendAbort(1)
	router.ExpectResponse(1, 0, "")

	id := interpreter.StartLook(router, 2, "cut") // the aborted request never reached the interpreter
	interpreter.CompleteRun(router, 2, id, "the unchanged result")

	id = router.SendLook(3, "its process dies")
	_, text, _ := strings.Cut(server.LogText(), " process=")
	var processID int
	_, err := fmt.Sscan(text, &processID)
	server.NoError(err)
	server.NoError(syscall.Kill(processID, syscall.SIGKILL))
	interpreter.ExpectApply(id, "its process dies")
	interpreter.CompleteRun(router, 3, id, "r")
	server.WaitFor(func() bool { return server.EventCount("plugins_ready") == 2 })

	id = router.SendLook(4, "leaving")
	server.Signal(syscall.SIGTERM)
	interpreter.ExpectApply(id, "leaving")
	interpreter.CompleteRun(router, 4, id, "r")
	code, log := server.WaitForExit()
	server.Zero(code)
	server.Contains(log, "event=plugin_process_exited")
}

// buildExample compiles one of the examples with the documented command and returns the path of the module.
func buildExample(server *servertest.Server, name string) string {
	server.T.Helper()
	file := filepath.Join(server.T.TempDir(), name+".wasm")
	build := exec.Command("go", "build", "-buildmode=c-shared", "-ldflags=-s -w", "-o", file, "../../examples/"+name)
	build.Env = append(os.Environ(), "GOOS=wasip1", "GOARCH=wasm")
	out, err := build.CombinedOutput()
	server.NoError(err, string(out))
	return file
}

// Both example plug-ins work: hallcheck rejects requests without a note, and shortanswer shortens results to their
// first line. hallcheck still works after a reload that changes its settings.
func TestPluginExamplesWork(t *testing.T) {
	server := servertest.New(t)
	hall := buildExample(server, "hallcheck")
	short := buildExample(server, "shortanswer")
	server.ReplaceConfig(`"memory_mb":192`, `"memory_mb":1024`)
	const memoryLimits = "memory_kb: 4096, code_kb: 4096, start: 10s, "
	section := func(hallSettings string) string {
		return "plugins:\n  memory_mb: 400\n  ready: 60s\n  list:\n" +
			pluginEntry("hall", hall, memoryLimits+"hooks: [read, tick], may: [decline, tag], categories: [book], "+
				"every: 1s, "+hallSettings+generousLimits) +
			pluginEntry("short", short, memoryLimits+"hooks: [result], may: [rewrite], categories: [look], "+
				generousLimits)
	}
	server.Service = section("")
	server.WriteFilesAndStart()
	interpreter := server.AcceptInterpreter(0)
	router := server.ConnectRouter()
	id := interpreter.StartLook(router, 1, "l")
	interpreter.SendValue(id, "OK", "first line\nmore")
	router.ExpectResponse(1, 200, "first line")
	book := func(slot uint16, body string) {
		id := server.NewRequestID()
		parameters := servertest.RequestParameters(id)
		parameters["HTTP_ONCE_KEY"] = id
		router.Send(slot, "/rpc/book", body, parameters)
	}
	book(2, "nothing")
	router.ExpectResponse(2, 422, "")
	book(3, "note=1")
	command := interpreter.NextCommand()
	server.Equal("APPLY", command.Type)
	interpreter.SendValue(command.Job, "OK", "booked")
	router.ExpectResponse(3, 200, "booked")
	server.Service = section("faults_in_a_row: 7, ")
	server.Reload()
	book(4, "nothing")
	router.ExpectResponse(4, 422, "")
	server.Signal(syscall.SIGTERM)
	code, log := server.WaitForExit()
	server.Zero(code)
	server.Equal(2, strings.Count(log, "event=plugins_ready"))
}

// The program does not start if a plug-in is not ready in time. If a plug-in logs without end, its log lines are rate
// limited and requests are still served.
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
	server.WaitFor(func() bool { return server.EventCount("plugin_log") >= 20 })
	interpreter.ServeOne(router, 2, "heard again")
	server.LessOrEqual(server.EventCount("plugin_log"), 100)
}
