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

// playPluginLoad plays load for about a second against a server with these plug-ins, which see acme but not beta.
func playPluginLoad(t *testing.T, service func(server *servertest.Server) string,
	during func(server *servertest.Server)) (server *servertest.Server,
	acme, beta *emulator.TenantStats,
	vm *emulator.Interpreter) {
	t.Helper()
	server = servertest.New(t)
	var err error
	vm, err = emulator.NewInterpreter(2, 3)
	server.NoError(err)
	t.Cleanup(vm.Close)
	servertest.CloseQuietly(server.Interpreter)
	server.Config = strings.Replace(server.Config, server.Interpreter.Address, vm.Address, 1)
	server.Config = strings.Replace(server.Config, `"Tenants":[{"Name":"acme"}]`, servertest.TwoTenants(0.5, 0.5), 1)
	server.Service = service(server)
	server.WriteFilesAndStart()
	server.WaitForLog("interpreter_up")
	length := 0.8
	if os.Getenv("MEASURE") == "full" {
		length = 20
	}
	load := &emulator.LoadRun{Address: server.Listen, Seed: 5, Seconds: length, Cores: 2, Categories: []string{"look"},
		SoftDeadline: 4 * time.Second, Deadline: 7 * time.Second, Streams: []*emulator.Stream{
			{Tenant: "acme", Weight: 0.5, ArrivalsPerSecond: 250, To: length, MeanCoreSeconds: 0.002,
				PriorityWeight: 1},
			{Tenant: "beta", Weight: 0.5, ArrivalsPerSecond: 250, To: length, MeanCoreSeconds: 0.002,
				PriorityWeight: 1}}}
	var all sync.WaitGroup
	if during != nil {
		all.Go(func() { during(server) })
	}
	books, err := load.Run()
	server.NoError(err)
	all.Wait()
	server.Zero(load.BrokenRequests())
	return server, books[0], books[1], vm
}

// pluginMemory is the resident memory of the plug-in processes of a server, in MB, and how many of them there are.
func pluginMemory(server *servertest.Server) (mb float64, n int) {
	out, _ := exec.Command("ps", "--ppid", strconv.Itoa(server.Process.Process.Pid), "-o", "rss=").Output()
	for _, field := range strings.Fields(string(out)) {
		kb, _ := strconv.ParseFloat(field, 64)
		mb += kb / 1024
		n++
	}
	return mb, n
}

// Each hostile plug-in beside a well-behaved one, under load: no request waits for it and none is lost.
func TestMeasuredHostilePlugins(t *testing.T) {
	_, _, calm, _ := playPluginLoad(t, func(*servertest.Server) string { return "" }, nil)
	for _, kind := range []string{"good", "loops", "asks-4gib", "asks-bit-by-bit", "recurses", "recurses compiled",
		"traps", "traps-one-in-ten",
		"points-outside", "answers-1gib", "status-9999", "no-such-category", "logs-without-end", "slow-4ms"} {
		t.Run(kind, func(t *testing.T) {
			name, compiled := strings.CutSuffix(kind, " compiled")
			engine := map[bool]string{false: "interpreter", true: "compiler"}[compiled]
			var most float64
			server, acme, beta, vm := playPluginLoad(t, func(server *servertest.Server) string {
				return pluginSection(pluginEntry("hostile", server.WriteModule(name),
					"hooks: [read, result, tick], every: 20ms, tenants: "+
						"[acme], may: [decline, rewrite], quarantine: 50ms, engine: "+engine),
					pluginEntry("tagger", server.WriteModule("tags"),
						"hooks: [read], tenants: [acme], may: [tag], call: 50ms, core: 0.5"))
			}, func(server *servertest.Server) {
				for range 6 {
					mb, _ := pluginMemory(server)
					most = max(most, mb)
					time.Sleep(100 * time.Millisecond) // a sampling interval, no wait for an event
				}
			})
			late := 0
			lost := 0
			double := 0
			for _, tenant := range []*emulator.TenantStats{acme, beta} {
				late += tenant.PastDeadline
				answered := tenant.OnTime + tenant.Late + tenant.Rejected + tenant.Aborted + tenant.OtherStatuses
				lost += tenant.Requests - answered
			}
			vm.Inspect(func(v *emulator.Interpreter) {
				for _, runs := range v.RunsByRequest {
					double += runs - 1
				}
			})
			alive := map[bool]int{true: 1}[server.Process.ProcessState == nil]
			t.Logf("measured plugins kind=%q late_answers=%d lost=%d double=%d server_alive=%d rss_mb=%.0f "+
				"other_p99_ratio=%.2f seen_p50_ms=%.1f seen_p99_ms=%.1f",
				kind, late, lost, double, alive, most,
				float64(beta.ResponseTimes.ValueAtQuantile(99))/float64(calm.ResponseTimes.ValueAtQuantile(99)),
				float64(acme.ResponseTimes.ValueAtQuantile(50))/1000,
				float64(acme.ResponseTimes.ValueAtQuantile(99))/1000)
			server.Equal([]int{0, 0, 0, 1}, []int{late, lost, double, alive})
			server.Zero(beta.OtherStatuses + beta.Aborted)
		})
	}
}

// Forty plug-in versions in a row under load: each request ends with the version it began with, and none is lost.
func TestFortyPluginReloadsUnderLoadLoseNothing(t *testing.T) {
	server, acme, beta, _ := playPluginLoad(t, func(server *servertest.Server) string {
		return pluginSection(pluginEntry("one", server.WriteModule("good"),
			"hooks: [read, result]"))
	}, func(server *servertest.Server) {
		for i := range 40 {
			server.Service = pluginSection(pluginEntry("one", server.WriteModule([]string{"good", "tags"}[i%2]),
				fmt.Sprintf("hooks: [read, result], may: [tag], row: %d", i)))
			server.Service = strings.Replace(server.Service, "row", "faults_in_a_row", 1)
			server.Service = strings.Replace(server.Service, "faults_in_a_row: 0", "faults_in_a_row: 1", 1)
			server.Reload()
		}
	})
	for _, tenant := range []*emulator.TenantStats{acme, beta} {
		server.Equal(tenant.Requests, tenant.OnTime+tenant.Late+tenant.Rejected, tenant)
		server.Zero(tenant.PastDeadline)
	}
	server.Equal(40, strings.Count(server.LogText(), "event=configuration_read"))
	_, n := pluginMemory(server)
	server.LessOrEqual(n, 6)
}
