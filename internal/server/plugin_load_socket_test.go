package server_test

import (
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"thistlequay/internal/emulator"
	"thistlequay/internal/servertest"
)

// pluginLoad is a load on a server whose plug-ins see the requests of the tenant acme but not those of beta.
type pluginLoad struct {
	server      *servertest.Server
	interpreter *emulator.Interpreter
	acme        *emulator.TenantStats
	beta        *emulator.TenantStats
}

// newPluginLoad creates the server and its interpreter without starting the program.
func newPluginLoad(t *testing.T) *pluginLoad {
	t.Helper()
	server := servertest.New(t)
	interpreter, err := emulator.NewInterpreter(2, 3)
	server.NoError(err)
	t.Cleanup(interpreter.Close)
	servertest.CloseQuietly(server.Interpreter)
	server.ReplaceConfig(server.Interpreter.Address, interpreter.Address)
	server.ReplaceConfig(`"Tenants":[{"Name":"acme"}]`, servertest.TwoTenants(0.5, 0.5))
	return &pluginLoad{server: server, interpreter: interpreter}
}

// run starts the program with the given settings and sends the load. If during is not nil, run calls it concurrently.
// The load takes 0.8 s, or 20 s with MEASURE=full. The test fails if a connection ends before a response.
func (l *pluginLoad) run(service string, during func()) {
	l.server.T.Helper()
	l.server.Service = service
	l.server.WriteFilesAndStart()
	l.server.WaitForLog("interpreter_up")
	seconds := 0.8
	if os.Getenv("MEASURE") == "full" {
		seconds = 20
	}
	load := twoTenantLoad(l.server, seconds, 0.002, 250, 250)
	var meanwhile sync.WaitGroup
	if during != nil {
		meanwhile.Go(during)
	}
	tenants, err := load.Run()
	l.server.NoError(err)
	meanwhile.Wait()
	l.server.Zero(load.BrokenAttempts())
	l.acme = tenants[0]
	l.beta = tenants[1]
}

// lateAndLost returns the number of attempts that were answered after their deadline and the number of requests that
// were not answered.
func (l *pluginLoad) lateAndLost() (late, lost int) {
	for _, tenant := range []*emulator.TenantStats{l.acme, l.beta} {
		late += tenant.PastDeadline
		answered := tenant.OnTime + tenant.Late + tenant.Rejected + tenant.Aborted + tenant.OtherStatuses
		lost += tenant.Requests - answered
	}
	return late, lost
}

// doubleRuns returns the number of runs beyond the first one of each request.
func (l *pluginLoad) doubleRuns() int {
	duplicates := 0
	l.interpreter.Inspect(func(inspected *emulator.Interpreter) {
		for _, runs := range inspected.RunsByRequest {
			duplicates += runs - 1
		}
	})
	return duplicates
}

// pluginMemory returns the total resident memory of a server's plug-in processes, in MB, and the number of processes.
func pluginMemory(server *servertest.Server) (memoryMB float64, processes int) {
	// The error is ignored: ps exits with code 1 and prints nothing if there is no such process.
	out, _ := exec.Command("ps", "--ppid", strconv.Itoa(server.Process.Process.Pid), "-o", "rss=").Output()
	for _, field := range strings.Fields(string(out)) {
		kb, _ := strconv.ParseFloat(field, 64) // ps prints only numbers
		memoryMB += kb / 1024
		processes++
	}
	return memoryMB, processes
}

// peakPluginMemory samples pluginMemory for 0.6 s and returns the largest sample, in MB.
func peakPluginMemory(server *servertest.Server) float64 {
	peakMB := 0.0
	for range 6 {
		memoryMB, _ := pluginMemory(server)
		peakMB = max(peakMB, memoryMB)
		time.Sleep(100 * time.Millisecond) // sampling interval; it does not wait for an event
	}
	return peakMB
}

// Under load, a hostile plug-in of each kind runs beside a well-behaved one. No response may be late, no request may be
// lost or run twice, and all requests that no plug-in sees must succeed or be rejected.
func TestMeasuredHostilePlugins(t *testing.T) {
	baseline := newPluginLoad(t)
	baseline.run("", nil)
	for _, kind := range []string{
		"good", "loops", "asks-4gib", "asks-bit-by-bit", "recurses", "recurses compiled", "traps", "traps-one-in-ten",
		"points-outside", "answers-1gib", "status-9999", "no-such-category", "logs-without-end", "slow-4ms",
	} {
		t.Run(kind, func(t *testing.T) { measureHostilePlugin(t, kind, baseline) })
	}
}

// measureHostilePlugin runs one case of TestMeasuredHostilePlugins. baseline is the same load without plug-ins.
func measureHostilePlugin(t *testing.T, kind string, baseline *pluginLoad) {
	t.Helper()
	module, compiled := strings.CutSuffix(kind, " compiled")
	engine := "interpreter"
	if compiled {
		engine = "compiler"
	}
	load := newPluginLoad(t)
	server := load.server
	hostile := pluginEntry("hostile", server.WriteModule(module), "hooks: [read, result, tick], every: 20ms, "+
		"tenants: [acme], may: [decline, rewrite], quarantine: 50ms, engine: "+engine)
	tagger := pluginEntry("tagger", server.WriteModule("tags"),
		"hooks: [read], tenants: [acme], may: [tag], call: 50ms, core: 0.5")
	peakMB := 0.0
	load.run(pluginSection(hostile, tagger), func() { peakMB = peakPluginMemory(server) })

	late, lost := load.lateAndLost()
	double := load.doubleRuns()
	alive := 0
	if server.Process.ProcessState == nil {
		alive = 1
	}
	baselineP99 := float64(baseline.beta.ResponseTimes.ValueAtQuantile(99))
	t.Logf("measured plugins kind=%q late_responses=%d lost=%d double=%d server_alive=%d rss_mb=%.0f "+
		"other_p99_ratio=%.2f seen_p50_ms=%.1f seen_p99_ms=%.1f",
		kind, late, lost, double, alive, peakMB,
		float64(load.beta.ResponseTimes.ValueAtQuantile(99))/baselineP99,
		float64(load.acme.ResponseTimes.ValueAtQuantile(50))/1000,
		float64(load.acme.ResponseTimes.ValueAtQuantile(99))/1000)
	server.Equal([]int{0, 0, 0, 1}, []int{late, lost, double, alive})
	server.Zero(load.beta.OtherStatuses + load.beta.Aborted)
}

// Forty plug-in versions are loaded one after the other under load. Every request must be answered in time, and few
// processes of old versions may remain.
func TestFortyPluginReloadsUnderLoadLoseNothing(t *testing.T) {
	load := newPluginLoad(t)
	server := load.server
	first := pluginSection(pluginEntry("one", server.WriteModule("good"), "hooks: [read, result]"))
	load.run(first, func() {
		for i := range 40 {
			module := server.WriteModule([]string{"good", "tags"}[i%2])
			settings := fmt.Sprintf("hooks: [read, result], may: [tag], faults_in_a_row: %d", max(i, 1))
			server.Service = pluginSection(pluginEntry("one", module, settings))
			server.Reload()
		}
	})
	for _, tenant := range []*emulator.TenantStats{load.acme, load.beta} {
		server.Equal(tenant.Requests, tenant.OnTime+tenant.Late+tenant.Rejected, tenant)
		server.Zero(tenant.PastDeadline)
	}
	server.Equal(40, server.EventCount("configuration_read"))
	_, processes := pluginMemory(server)
	server.LessOrEqual(processes, 6)
}
