package server_test

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"thistlequay/internal/emulator"
	"thistlequay/internal/servertest"
)

// startFairServer starts a server with fair queues for acme and beta.
func startFairServer(t *testing.T, acme, beta float64) (*servertest.Server, *servertest.InterpreterLink) {
	t.Helper()
	r := servertest.New(t)
	r.Config = strings.Replace(r.Config, `"Tenants":[{"Name":"acme"}]`, servertest.TwoTenants(acme, beta), 1)
	r.Service = "fair_queues:\n  burst: 1ms\n"
	r.WriteFilesAndStart()
	return r, r.AcceptInterpreter(0)
}

// sendLookOf sends an idempotent request of a tenant and gives its identifier.
func sendLookOf(c *servertest.RouterLink, slot uint16, tenant, body string) string {
	c.Server.T.Helper()
	id := c.Server.NewRequestID()
	with := servertest.RequestParameters("")
	with["HTTP_REQUEST_ID"], with["HTTP_ACCOUNT"] = id, tenant
	c.Send(slot, "/rpc/look", body, with)
	return id
}

// A tenant that came first with much queued waits behind one that came last with little; then the settings change under
// load.
func TestFairQueueOrderAndReloadUnderLoad(t *testing.T) {
	r, v := startFairServer(t, 0.5, 0.5)
	c := r.ConnectRouter()
	first := sendLookOf(c, 1, "acme", "1")
	second := sendLookOf(c, 2, "acme", "2")
	v.ExpectApply(first, "1")
	v.ExpectApply(second, "2")
	held := []string{sendLookOf(c, 3, "acme", "3"), sendLookOf(c, 4, "acme", "4")}
	late := sendLookOf(c, 5, "beta", "b")
	c.Send(6, "/health", "", nil)
	c.ExpectResponse(6, 200, "") // all have been read
	v.SendValue(first, "OK", "")
	c.ExpectResponse(1, 200, "")
	v.ExpectApply(late, "b")
	r.Service = "fair_queues:\n  tenants: [{name: gone, share: 1}]\n" // not a tenant of the settings: nothing changes
	r.Reload()
	v.SendValue(second, "OK", "")
	c.ExpectResponse(2, 200, "")
	v.ExpectApply(held[0], "3")
	r.Service = "fair_queues:\n  tenants: [{name: beta, share: 1}]\n" // acme is removed while it has requests in flight
	r.Reload()
	v.SendValue(late, "OK", "")
	c.ExpectResponse(5, 200, "")
	v.ExpectApply(held[1], "4")
	r.Service = "# off\n"
	r.Reload()
	v.SendValue(held[0], "OK", "")
	c.ExpectResponse(3, 200, "")
	v.SendValue(held[1], "OK", "")
	c.ExpectResponse(4, 200, "")
	v.ServeOne(c, 7, "still")
	r.NoError(r.Process.Process.Signal(syscall.SIGTERM))
	code, log := r.WaitForExit()
	r.Zero(code)
	r.Contains(log, `is none; expected a tenant of the platform's settings`)
	r.Equal(2, strings.Count(log, "event=configuration_read"))
}

// A retry that shares a run is not accounted to its tenant; one that takes the place of a queued attempt is accounted
// for the run alone.
func TestRetriesAreAccountedOnce(t *testing.T) {
	r, v := startFairServer(t, 0.6, 0.4)
	c := r.ConnectRouter()
	run := c.SendBook(1, "k")
	v.ExpectApply(run, "entry k")
	for slot := uint16(2); slot < 8; slot++ {
		c.SendBook(slot, "k")
	}
	other := sendLookOf(c, 9, "beta", "b")
	v.ExpectApply(other, "b")
	waitsA := sendLookOf(c, 10, "acme", "a2")
	waitsB := sendLookOf(c, 11, "beta", "b2")
	v.SendValue(run, "OK", "one")
	for range 7 {
		_, status, _, body := c.NextResponse()
		r.Equal("200 one", fmt.Sprint(status, " ", body))
	}
	v.ExpectApply(waitsA, "a2") // six retries did not put acme behind beta
	v.SendValue(other, "OK", "")
	c.ExpectResponse(9, 200, "")
	v.ExpectApply(waitsB, "b2")
}

// The tenant comes from the client's network where a trusted front says it; from others the peer's address counts.
func TestTenantComesFromClientNetworkBehindTrustedProxy(t *testing.T) {
	r := servertest.New(t)
	r.Service = `fair_queues:
  burst: 1ms
  by: network
  tenants: [{name: hall-nord, share: 1}, {name: hall-sor, share: 1}]
  networks: [{prefix: 10.1.0.0/16, tenant: hall-nord}, {prefix: 10.0.0.0/8, tenant: hall-sor}]
  trusted_fronts: [127.0.0.0/8]
`
	r.WriteFilesAndStart()
	v := r.AcceptInterpreter(0)
	c := r.ConnectRouter()
	from := func(slot uint16, address string) string {
		id := c.Server.NewRequestID()
		with := servertest.RequestParameters("")
		with["HTTP_REQUEST_ID"], with["REMOTE_ADDR"] = id, address
		c.Send(slot, "/rpc/look", address, with)
		return id
	}
	a := from(1, "10.1.0.1")
	b := from(2, "10.1.0.2")
	v.ExpectApply(a, "10.1.0.1")
	v.ExpectApply(b, "10.1.0.2")
	from(3, "::ffff:10.1.0.3")
	sor := from(4, "10.2.0.1")
	c.Send(6, "/health", "", nil)
	c.ExpectResponse(6, 200, "")
	v.SendValue(a, "OK", "")
	c.ExpectResponse(1, 200, "")
	v.ExpectApply(sor, "10.2.0.1")
}

// A greedy tenant over sockets, with an interpreter whose notices are corrupted and an index that does not always
// answer: every request is answered, none runs twice, and the polite tenant gets more of its share than the greedy
// one. Two seconds in CI, 30 s where MEASURE=full.
func TestMeasuredFairQueuesOverSockets(t *testing.T) {
	r := servertest.New(t)
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
	defer servertest.CloseQuietly(index)
	index.ReplyScript = func(n int) emulator.IndexReply {
		return map[int]emulator.IndexReply{5: emulator.ReplyShed, 9: emulator.ReplyMalformed,
			15: emulator.ReplyReset}[n%20] // the zero value is ReplyHit
	}
	defer servertest.CloseQuietly(r.Interpreter)
	config := strings.Replace(strings.Replace(r.Config, r.Interpreter.Address, vm.Address, 1), r.Index.Address,
		index.Address, 1)
	r.Config = strings.Replace(config, `"Tenants":[{"Name":"acme"}]`, servertest.TwoTenants(0.5, 0.5), 1)
	r.Service = "fair_queues:\n"
	r.WriteFilesAndStart()
	r.WaitForLog("interpreter_up")
	length := 2.0
	if os.Getenv("MEASURE") == "full" {
		length = 30
	}
	load := &emulator.LoadRun{Address: r.Listen, Seed: 5, Seconds: length, Cores: 2, Categories: []string{"look"},
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
