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
	server := servertest.New(t)
	server.Config = strings.Replace(server.Config, `"Tenants":[{"Name":"acme"}]`, servertest.TwoTenants(acme, beta), 1)
	server.Service = "fair_queues:\n  burst: 1ms\n"
	server.WriteFilesAndStart()
	return server, server.AcceptInterpreter(0)
}

// sendLookOf sends an idempotent request of a tenant and gives its identifier.
func sendLookOf(router *servertest.RouterLink, slot uint16, tenant, body string) string {
	router.Server.T.Helper()
	id := router.Server.NewRequestID()
	with := servertest.RequestParameters("")
	with["HTTP_REQUEST_ID"], with["HTTP_ACCOUNT"] = id, tenant
	router.Send(slot, "/rpc/look", body, with)
	return id
}

// A tenant that came first with much queued waits behind one that came last with little; then the settings change under
// load.
func TestFairQueueOrderAndReloadUnderLoad(t *testing.T) {
	server, interpreter := startFairServer(t, 0.5, 0.5)
	router := server.ConnectRouter()
	first := sendLookOf(router, 1, "acme", "1")
	second := sendLookOf(router, 2, "acme", "2")
	interpreter.ExpectApply(first, "1")
	interpreter.ExpectApply(second, "2")
	held := []string{sendLookOf(router, 3, "acme", "3"), sendLookOf(router, 4, "acme", "4")}
	late := sendLookOf(router, 5, "beta", "b")
	router.Send(6, "/health", "", nil)
	router.ExpectResponse(6, 200, "") // all have been read
	interpreter.SendValue(first, "OK", "")
	router.ExpectResponse(1, 200, "")
	interpreter.ExpectApply(late, "b")
	// Not a tenant of the settings: nothing changes.
	server.Service = "fair_queues:\n  tenants: [{name: gone, share: 1}]\n"
	server.Reload()
	interpreter.SendValue(second, "OK", "")
	router.ExpectResponse(2, 200, "")
	interpreter.ExpectApply(held[0], "3")
	// The tenant acme is removed while it has requests in flight.
	server.Service = "fair_queues:\n  tenants: [{name: beta, share: 1}]\n"
	server.Reload()
	interpreter.SendValue(late, "OK", "")
	router.ExpectResponse(5, 200, "")
	interpreter.ExpectApply(held[1], "4")
	server.Service = "# off\n"
	server.Reload()
	interpreter.SendValue(held[0], "OK", "")
	router.ExpectResponse(3, 200, "")
	interpreter.SendValue(held[1], "OK", "")
	router.ExpectResponse(4, 200, "")
	interpreter.ServeOne(router, 7, "still")
	server.NoError(server.Process.Process.Signal(syscall.SIGTERM))
	code, log := server.WaitForExit()
	server.Zero(code)
	server.Contains(log, `is none; expected a tenant of the platform's settings`)
	server.Equal(2, strings.Count(log, "event=configuration_read"))
}

// A retry that shares a run is not accounted to its tenant; one that takes the place of a queued attempt is accounted
// for the run alone.
func TestRetriesAreAccountedOnce(t *testing.T) {
	server, interpreter := startFairServer(t, 0.6, 0.4)
	router := server.ConnectRouter()
	run := router.SendBook(1, "k")
	interpreter.ExpectApply(run, "entry k")
	for slot := uint16(2); slot < 8; slot++ {
		router.SendBook(slot, "k")
	}
	other := sendLookOf(router, 9, "beta", "b")
	interpreter.ExpectApply(other, "b")
	waitsA := sendLookOf(router, 10, "acme", "a2")
	waitsB := sendLookOf(router, 11, "beta", "b2")
	interpreter.SendValue(run, "OK", "one")
	for range 7 {
		_, status, _, body := router.NextResponse()
		server.Equal("200 one", fmt.Sprint(status, " ", body))
	}
	interpreter.ExpectApply(waitsA, "a2") // six retries did not put acme behind beta
	interpreter.SendValue(other, "OK", "")
	router.ExpectResponse(9, 200, "")
	interpreter.ExpectApply(waitsB, "b2")
}

// The tenant comes from the client's network where a trusted front says it; from others the peer's address counts.
func TestTenantComesFromClientNetworkBehindTrustedProxy(t *testing.T) {
	server := servertest.New(t)
	server.Service = `fair_queues:
  burst: 1ms
  by: network
  tenants: [{name: hall-nord, share: 1}, {name: hall-sor, share: 1}]
  networks: [{prefix: 10.1.0.0/16, tenant: hall-nord}, {prefix: 10.0.0.0/8, tenant: hall-sor}]
  trusted_fronts: [127.0.0.0/8]
`
	server.WriteFilesAndStart()
	interpreter := server.AcceptInterpreter(0)
	router := server.ConnectRouter()
	from := func(slot uint16, address string) string {
		id := router.Server.NewRequestID()
		with := servertest.RequestParameters("")
		with["HTTP_REQUEST_ID"], with["REMOTE_ADDR"] = id, address
		router.Send(slot, "/rpc/look", address, with)
		return id
	}
	a := from(1, "10.1.0.1")
	b := from(2, "10.1.0.2")
	interpreter.ExpectApply(a, "10.1.0.1")
	interpreter.ExpectApply(b, "10.1.0.2")
	from(3, "::ffff:10.1.0.3")
	sor := from(4, "10.2.0.1")
	router.Send(6, "/health", "", nil)
	router.ExpectResponse(6, 200, "")
	interpreter.SendValue(a, "OK", "")
	router.ExpectResponse(1, 200, "")
	interpreter.ExpectApply(sor, "10.2.0.1")
}

// A greedy tenant over sockets, with an interpreter whose notices are corrupted and an index that does not always
// answer: every request is answered, none runs twice, and the polite tenant gets more of its share than the greedy
// one. Two seconds in CI, 30 s where MEASURE=full.
func TestMeasuredFairQueuesOverSockets(t *testing.T) {
	server := servertest.New(t)
	vm, err := emulator.NewInterpreter(2, 3)
	server.NoError(err)
	defer vm.Close()
	vm.CallProbability = 0.2
	vm.NoticeScript = func(n int) emulator.Corruption {
		return map[int]emulator.Corruption{40: emulator.Duplicated, 60: emulator.PrecededByTrace,
			80: emulator.SplitInTwo, 120: emulator.LinkCutMidway,
			160: emulator.Withheld}[n]
	}
	index, err := emulator.NewIndex()
	server.NoError(err)
	defer servertest.CloseQuietly(index)
	index.ReplyScript = func(n int) emulator.IndexReply {
		return map[int]emulator.IndexReply{5: emulator.ReplyShed, 9: emulator.ReplyMalformed,
			15: emulator.ReplyReset}[n%20] // the zero value is ReplyHit
	}
	defer servertest.CloseQuietly(server.Interpreter)
	config := strings.Replace(strings.Replace(server.Config, server.Interpreter.Address, vm.Address, 1),
		server.Index.Address,
		index.Address, 1)
	server.Config = strings.Replace(config, `"Tenants":[{"Name":"acme"}]`, servertest.TwoTenants(0.5, 0.5), 1)
	server.Service = "fair_queues:\n"
	server.WriteFilesAndStart()
	server.WaitForLog("interpreter_up")
	length := 2.0
	if os.Getenv("MEASURE") == "full" {
		length = 30
	}
	load := &emulator.LoadRun{Address: server.Listen, Seed: 5, Seconds: length, Cores: 2, Categories: []string{"look"},
		SoftDeadline: 4 * time.Second, Deadline: 7 * time.Second, Streams: []*emulator.Stream{
			{Tenant: "acme", Weight: 0.5, ArrivalsPerSecond: 20, To: length, MeanCoreSeconds: 0.03, PriorityWeight: 1},
			{Tenant: "beta", Weight: 0.5, ArrivalsPerSecond: 300, To: length, MeanCoreSeconds: 0.03,
				PriorityWeight: 1}}}
	books, err := load.Run()
	server.NoError(err)
	for _, tenant := range books {
		t.Logf("measured fair-queues-sockets %s", tenant)
		server.Equal(tenant.Requests, tenant.OnTime+tenant.Late+tenant.Rejected+tenant.Aborted,
			"work items without an answer")
	}
	server.Zero(load.BrokenRequests())
	server.GreaterOrEqual(books[0].DeliveredShare(), 0.9)
	server.Greater(books[1].Rejected, books[1].Requests/4)
	vm.Inspect(func(v *emulator.Interpreter) {
		for id, runs := range v.RunsByRequest {
			server.Equal(1, runs, id)
		}
	})
}
