package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/clustertest"
	"thistlequay/internal/command"
	"thistlequay/internal/emulator"
)

// Tenants' shares over the cluster: acme asks at one server of three (at four of twelve where MEASURE=full), beta at
// all, both for more than there is. Each gets its share of the cluster as far as its servers have that much.
func TestMeasuredTenantsOverTheCluster(t *testing.T) {
	servers := 3
	length := 12 * time.Second
	if os.Getenv("MEASURE") == "full" {
		servers = 12
		length = 30 * time.Second
	}
	days := []struct{ acme, entitled float64 }{{0.25, 0.25}}
	ways := []bool{true}
	if os.Getenv("MEASURE") == "full" {
		days = append(days, struct{ acme, entitled float64 }{0.5, 1.0 / 3})
		ways = []bool{false, true}
	}
	for _, day := range days {
		parts := map[bool]float64{}
		for _, talk := range ways {
			var of map[string]any
			require.NoError(t, json.Unmarshal([]byte(strings.NewReplacer(`"Tenants":[{"Name":"acme"}]`,
				twoTenants(day.acme, 1-day.acme), `"Servers":3`,
				fmt.Sprintf(`"Servers":%d`, servers)).Replace(platformSettings)), &of))
			g := newTestCluster(t, clustertest.Config{ServerCount: servers, Seed: 31, Gossip: talk, Settings: of,
				ServiceYAML: func(*clustertest.Server) string { return "fair_queues:\n" }})
			for _, s := range g.Servers {
				g.NoError(s.Start())
			}
			g.waitUntilServing(g.Servers)
			if talk {
				g.waitForView("all are there", g.Servers, agreedOn(servers))
			}
			const rate = 75.0 // requests per second and server, whose cores can do 50
			at := func(of []*clustertest.Server) func(time.Duration) []*clustertest.Server {
				return func(time.Duration) []*clustertest.Server { return of }
			}
			served := map[string]float64{}
			var both sync.WaitGroup
			var lock sync.Mutex
			for tenant, of := range map[string][]*clustertest.Server{"acme": g.Servers[:servers/3], "beta": g.Servers} {
				both.Add(1)
				go func() {
					defer both.Done()
					o := g.RunTraffic(clustertest.Traffic{Tenant: tenant, RouterCount: 6,
						RequestsPerSecond: rate * float64(len(of)), Duration: length, MeanWorkMs: 40,
						SoftDeadline: 4 * time.Second, Deadline: 7 * time.Second, IdempotentCategory: "look",
						KeyedCategory: "book", MaxAttempts: 1, EndpointsAt: at(of)})
					lock.Lock()
					defer lock.Unlock()
					// Counted when the response came; counted when the request did, queued requests would move the
					// figure for some seconds either way.
					for _, done := range o.OnTimeBySecond[int(length/time.Second)/3 : int(length/time.Second)] {
						served[tenant] += float64(done)
					}
				}()
			}
			both.Wait()
			parts[talk] = served["acme"] / (served["acme"] + served["beta"])
			g.Close()
		}
		t.Logf("measured tenants-fleet servers=%d share=%.2f entitled=%.3f part_alone=%.3f part_together=%.3f",
			servers, day.acme, day.entitled, parts[false], parts[true])
		require.InDelta(t, day.entitled, parts[true], 0.03)
	}
}

// twoTenants is the part of the configuration that gives acme and beta these shares.
func twoTenants(acme, beta float64) string {
	return fmt.Sprintf(`"Tenants":[{"Name":"acme","Share":%v},{"Name":"beta","Share":%v}]`, acme, beta)
}

// startFairServer starts a server with fair queues for acme and beta.
func startFairServer(t *testing.T, acme, beta float64) (*testServer, *interpreterLink) {
	t.Helper()
	r := newTestServer(t)
	r.config = strings.Replace(r.config, `"Tenants":[{"Name":"acme"}]`, twoTenants(acme, beta), 1)
	r.service = "fair_queues:\n  burst: 1ms\n"
	r.writeFilesAndStart()
	return r, r.acceptInterpreter(0)
}

// sendLookOf sends an idempotent request of a tenant and gives its identifier.
func (c *routerLink) sendLookOf(slot uint16, tenant, body string) string {
	c.server.t.Helper()
	id := c.server.newRequestID()
	with := requestParameters("")
	with["HTTP_REQUEST_ID"], with["HTTP_ACCOUNT"] = id, tenant
	c.send(slot, "/rpc/look", body, with)
	return id
}

// A tenant that came first with much queued waits behind one that came last with little; then the settings change under
// load.
func TestFairQueueOrderAndReloadUnderLoad(t *testing.T) {
	r, v := startFairServer(t, 0.5, 0.5)
	c := r.connectRouter()
	first := c.sendLookOf(1, "acme", "1")
	second := c.sendLookOf(2, "acme", "2")
	v.expectApply(first, "1")
	v.expectApply(second, "2")
	held := []string{c.sendLookOf(3, "acme", "3"), c.sendLookOf(4, "acme", "4")}
	late := c.sendLookOf(5, "beta", "b")
	c.send(6, "/health", "", nil)
	c.expectResponse(6, 200, "") // all have been read
	v.sendValue(first, "OK", "")
	c.expectResponse(1, 200, "")
	v.expectApply(late, "b")
	r.service = "fair_queues:\n  tenants: [{name: gone, share: 1}]\n" // not a tenant of the settings: nothing changes
	r.reload()
	v.sendValue(second, "OK", "")
	c.expectResponse(2, 200, "")
	v.expectApply(held[0], "3")
	r.service = "fair_queues:\n  tenants: [{name: beta, share: 1}]\n" // acme is removed while it has requests in flight
	r.reload()
	v.sendValue(late, "OK", "")
	c.expectResponse(5, 200, "")
	v.expectApply(held[1], "4")
	r.service = "# off\n"
	r.reload()
	v.sendValue(held[0], "OK", "")
	c.expectResponse(3, 200, "")
	v.sendValue(held[1], "OK", "")
	c.expectResponse(4, 200, "")
	v.serveOne(c, 7, "still")
	r.NoError(r.process.Process.Signal(syscall.SIGTERM))
	code, log := r.waitForExit()
	r.Zero(code)
	r.Contains(log, `is none; expected a tenant of the platform's settings`)
	r.Equal(2, strings.Count(log, "event=configuration_read"))
}

// A retry that shares a run is not accounted to its tenant; one that takes the place of a queued attempt is accounted
// for the run alone.
func TestRetriesAreAccountedOnce(t *testing.T) {
	r, v := startFairServer(t, 0.6, 0.4)
	c := r.connectRouter()
	run := c.sendBook(1, "k")
	v.expectApply(run, "entry k")
	for slot := uint16(2); slot < 8; slot++ {
		c.sendBook(slot, "k")
	}
	other := c.sendLookOf(9, "beta", "b")
	v.expectApply(other, "b")
	waitsA := c.sendLookOf(10, "acme", "a2")
	waitsB := c.sendLookOf(11, "beta", "b2")
	v.sendValue(run, "OK", "one")
	for range 7 {
		_, status, _, body := c.readResponse()
		r.Equal("200 one", fmt.Sprint(status, " ", body))
	}
	v.expectApply(waitsA, "a2") // six retries did not put acme behind beta
	v.sendValue(other, "OK", "")
	c.expectResponse(9, 200, "")
	v.expectApply(waitsB, "b2")
}

// The tenant comes from the client's network where a trusted front says it; from others the peer's address counts.
func TestTenantComesFromClientNetworkBehindTrustedProxy(t *testing.T) {
	r := newTestServer(t)
	r.service = `fair_queues:
  burst: 1ms
  by: network
  tenants: [{name: hall-nord, share: 1}, {name: hall-sor, share: 1}]
  networks: [{prefix: 10.1.0.0/16, tenant: hall-nord}, {prefix: 10.0.0.0/8, tenant: hall-sor}]
  trusted_fronts: [127.0.0.0/8]
`
	r.writeFilesAndStart()
	v := r.acceptInterpreter(0)
	c := r.connectRouter()
	from := func(slot uint16, address string) string {
		id := c.server.newRequestID()
		with := requestParameters("")
		with["HTTP_REQUEST_ID"], with["REMOTE_ADDR"] = id, address
		c.send(slot, "/rpc/look", address, with)
		return id
	}
	a := from(1, "10.1.0.1")
	b := from(2, "10.1.0.2")
	v.expectApply(a, "10.1.0.1")
	v.expectApply(b, "10.1.0.2")
	from(3, "::ffff:10.1.0.3")
	sor := from(4, "10.2.0.1")
	c.send(6, "/health", "", nil)
	c.expectResponse(6, 200, "")
	v.sendValue(a, "OK", "")
	c.expectResponse(1, 200, "")
	v.expectApply(sor, "10.2.0.1")
}

// `try`, the one command for a fresh machine, runs over sockets: whoever asks for less than its share gets it with fair
// queues.
func TestTryCommandShowsFairSharesOverSockets(t *testing.T) {
	t.Setenv(runAsProgramEnv, "1")
	var out, errs bytes.Buffer
	keep := filepath.Join(t.TempDir(), "kept")
	require.Zero(t, command.Run([]string{"try", "--seconds", "2", "--config", keep}, &out, &errs), errs.String())
	for _, tenant := range []string{"kirkens", "bymisjon", "fjordhjelpa", "ungdomslaget", "FAIR QUEUES ON"} {
		require.Contains(t, out.String(), tenant)
	}
	out.Reset()
	require.Zero(t, command.Run([]string{"check", keep + ".fair.json", keep + ".fair.yaml"}, &out, &errs),
		out.String())
	require.Equal(t, "2 files, no fault\n", out.String())
}

// A greedy tenant over sockets, with an interpreter whose notices are corrupted and an index that does not always
// answer: every request is answered, none runs twice, and the polite tenant gets more of its share than the greedy
// one. Two seconds in CI, 30 s where MEASURE=full.
func TestMeasuredFairQueuesOverSockets(t *testing.T) {
	r := newTestServer(t)
	vm, err := emulator.NewInterpreter(2, 3)
	r.NoError(err)
	defer vm.Close()
	vm.CallProbability = 0.2
	vm.NoticeScript = func(n int) emulator.Corruption {
		return map[int]emulator.Corruption{40: emulator.Duplicated, 60: emulator.PrecededByTrace,
			80: emulator.SplitInTwo, 120: emulator.LinkCutMidway,
			160: emulator.Withheld}[n]
	}
	index, err := emulator.NewIndex()
	r.NoError(err)
	defer closeQuietly(index)
	index.ReplyScript = func(n int) emulator.IndexReply {
		return map[int]emulator.IndexReply{5: emulator.ReplyShed, 9: emulator.ReplyMalformed,
			15: emulator.ReplyReset}[n%20] // the zero value is ReplyHit
	}
	defer closeQuietly(r.interpreter)
	config := strings.Replace(strings.Replace(r.config, r.interpreter.Address, vm.Address, 1), r.index.Address,
		index.Address, 1)
	r.config = strings.Replace(config, `"Tenants":[{"Name":"acme"}]`, twoTenants(0.5, 0.5), 1)
	r.service = "fair_queues:\n"
	r.writeFilesAndStart()
	r.waitForLog("interpreter_up")
	length := 2.0
	if os.Getenv("MEASURE") == "full" {
		length = 30
	}
	load := &emulator.LoadRun{Address: r.listen, Seed: 5, Seconds: length, Cores: 2, Categories: []string{"look"},
		SoftDeadline: 4 * time.Second, Deadline: 7 * time.Second, Streams: []*emulator.Stream{
			{Tenant: "acme", Weight: 0.5, ArrivalsPerSecond: 20, To: length, MeanCoreSeconds: 0.03, PriorityWeight: 1},
			{Tenant: "beta", Weight: 0.5, ArrivalsPerSecond: 300, To: length, MeanCoreSeconds: 0.03,
				PriorityWeight: 1}}}
	books, err := load.Run()
	r.NoError(err)
	for _, a := range books {
		t.Logf("measured fair-queues-sockets %s", a)
		r.Equal(a.Requests, a.OnTime+a.Late+a.Rejected+a.Aborted, "work items without an answer")
	}
	r.Zero(load.BrokenRequests())
	r.GreaterOrEqual(books[0].DeliveredShare(), 0.9)
	r.Greater(books[1].Rejected, books[1].Requests/4)
	vm.Inspect(func(v *emulator.Interpreter) {
		for id, runs := range v.RunsByRequest {
			r.Equal(1, runs, id)
		}
	})
}
