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

// startFairServer starts a server with fair queueing for the tenants acme and beta, which have the given shares.
func startFairServer(t *testing.T, acme, beta float64) (*servertest.Server, *servertest.InterpreterLink) {
	t.Helper()
	server := servertest.New(t)
	server.ReplaceConfig(`"Tenants":[{"Name":"acme"}]`, servertest.TwoTenants(acme, beta))
	server.Service = "fair_queues:\n  burst: 1ms\n"
	server.WriteFilesAndStart()
	return server, server.AcceptInterpreter(0)
}

// sendTenantLook sends an idempotent request of a tenant and returns the request's ID.
func sendTenantLook(router *servertest.RouterLink, slot uint16, tenant, body string) string {
	router.Server.T.Helper()
	return router.SendWith(slot, "/rpc/look", body, "HTTP_ACCOUNT", tenant)
}

// The only request of one tenant is run before queued requests of another tenant that arrived earlier. The settings
// then change under load: an invalid change has no effect, a tenant with requests in flight is removed, and finally
// fair queueing is turned off.
func TestFairQueueOrderAndReloadUnderLoad(t *testing.T) {
	server, interpreter := startFairServer(t, 0.5, 0.5)
	router := server.ConnectRouter()
	first := sendTenantLook(router, 1, "acme", "1")
	second := sendTenantLook(router, 2, "acme", "2")
	interpreter.ExpectApply(first, "1")
	interpreter.ExpectApply(second, "2")
	third := sendTenantLook(router, 3, "acme", "3")
	fourth := sendTenantLook(router, 4, "acme", "4")
	beta := sendTenantLook(router, 5, "beta", "b")
	router.ExpectHealth(6, 200) // the program has read all requests
	interpreter.CompleteRun(router, 1, first, "")
	interpreter.ExpectApply(beta, "b")

	// The settings have no tenant "gone", so the change is rejected.
	server.Service = "fair_queues:\n  tenants: [{name: gone, share: 1}]\n"
	server.Reload()
	interpreter.CompleteRun(router, 2, second, "")
	interpreter.ExpectApply(third, "3")

	// The tenant acme is removed while it has requests in flight.
	server.Service = "fair_queues:\n  tenants: [{name: beta, share: 1}]\n"
	server.Reload()
	interpreter.CompleteRun(router, 5, beta, "")
	interpreter.ExpectApply(fourth, "4")

	server.Service = "# off\n"
	server.Reload()
	interpreter.CompleteRun(router, 3, third, "")
	interpreter.CompleteRun(router, 4, fourth, "")
	interpreter.ServeOne(router, 7, "still")
	server.Signal(syscall.SIGTERM)
	code, log := server.WaitForExit()
	server.Zero(code)
	server.Contains(log, `is none; expected a tenant of the platform's settings`)
	server.Equal(2, strings.Count(log, "event=configuration_read"))
}

// Retries that share the result of a run must not be accounted to their tenant: after six of them, the tenant's next
// request is still run before that of the other tenant.
func TestRetriesAreAccountedOnce(t *testing.T) {
	server, interpreter := startFairServer(t, 0.6, 0.4)
	router := server.ConnectRouter()
	run := interpreter.StartBook(router, 1, "k")
	for slot := uint16(2); slot < 8; slot++ {
		router.SendBook(slot, "k")
	}
	other := sendTenantLook(router, 9, "beta", "b")
	interpreter.ExpectApply(other, "b")
	queuedAcme := sendTenantLook(router, 10, "acme", "a2")
	queuedBeta := sendTenantLook(router, 11, "beta", "b2")
	interpreter.SendValue(run, "OK", "one")
	for range 7 {
		_, status, _, body := router.NextResponse()
		server.Equal("200 one", fmt.Sprint(status, " ", body))
	}
	interpreter.ExpectApply(queuedAcme, "a2") // the six retries have not put acme behind beta
	interpreter.CompleteRun(router, 9, other, "")
	interpreter.ExpectApply(queuedBeta, "b2")
}

// Behind a trusted proxy, the network of the client's address determines the tenant, even if the address is an
// IPv4-mapped IPv6 address.
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
	sendFrom := func(slot uint16, address string) string {
		return router.SendWith(slot, "/rpc/look", address, "REMOTE_ADDR", address)
	}
	first := sendFrom(1, "10.1.0.1")
	second := sendFrom(2, "10.1.0.2")
	interpreter.ExpectApply(first, "10.1.0.1")
	interpreter.ExpectApply(second, "10.1.0.2")
	sendFrom(3, "::ffff:10.1.0.3")
	otherTenant := sendFrom(4, "10.2.0.1")
	router.ExpectHealth(6, 200)
	interpreter.CompleteRun(router, 1, first, "")
	interpreter.ExpectApply(otherTenant, "10.2.0.1")
}

// corruptNotices is a NoticeScript that corrupts a few notices, selected by their number.
func corruptNotices(notice int) emulator.Corruption {
	switch notice {
	case 40:
		return emulator.Duplicated
	case 60:
		return emulator.PrecededByTrace
	case 80:
		return emulator.SplitInTwo
	case 120:
		return emulator.LinkCutMidway
	case 160:
		return emulator.Withheld
	default:
		return emulator.Intact
	}
}

// failSomeCalls is a ReplyScript that fails three of every twenty calls.
func failSomeCalls(call int) emulator.IndexReply {
	switch call % 20 {
	case 5:
		return emulator.ReplyShed
	case 9:
		return emulator.ReplyMalformed
	case 15:
		return emulator.ReplyReset
	default:
		return emulator.ReplyHit
	}
}

// Two tenants have equal shares, and one sends much more than its share while the interpreter corrupts some notices and
// the index fails some calls. Every request must be answered, none may be run twice, and the tenant within its share
// must get at least 90 % of that share. The load takes 2 s, or 30 s with MEASURE=full.
func TestMeasuredFairQueuesOverSockets(t *testing.T) {
	server := servertest.New(t)
	interpreter, err := emulator.NewInterpreter(2, 3)
	server.NoError(err)
	defer interpreter.Close()
	interpreter.CallProbability = 0.2
	interpreter.NoticeScript = corruptNotices
	index, err := emulator.NewIndex()
	server.NoError(err)
	defer servertest.CloseQuietly(index)
	index.ReplyScript = failSomeCalls
	defer servertest.CloseQuietly(server.Interpreter)
	server.ReplaceConfig(server.Interpreter.Address, interpreter.Address)
	server.ReplaceConfig(server.Index.Address, index.Address)
	server.ReplaceConfig(`"Tenants":[{"Name":"acme"}]`, servertest.TwoTenants(0.5, 0.5))
	server.Service = "fair_queues:\n"
	server.WriteFilesAndStart()
	server.WaitForLog("interpreter_up")
	seconds := 2.0
	if os.Getenv("MEASURE") == "full" {
		seconds = 30
	}
	load := twoTenantLoad(server, seconds, 0.03, 20, 300)
	tenants, err := load.Run()
	server.NoError(err)
	for _, tenant := range tenants {
		t.Logf("measured fair-queues-sockets %s", tenant)
		server.Equal(tenant.Requests, tenant.OnTime+tenant.Late+tenant.Rejected+tenant.Aborted,
			"requests without a response")
	}
	server.Zero(load.BrokenAttempts())
	acme := tenants[0]
	beta := tenants[1]
	server.GreaterOrEqual(acme.DeliveredShare(), 0.9)
	server.Greater(beta.Rejected, beta.Requests/4)
	interpreter.Inspect(func(inspected *emulator.Interpreter) {
		for id, runs := range inspected.RunsByRequest {
			server.Equal(1, runs, id)
		}
	})
}

// twoTenantLoad returns a load on one server that lasts the given number of seconds. Each request takes coreSeconds of
// one core on average; acme and beta are the arrivals per second of the two tenants.
func twoTenantLoad(server *servertest.Server, seconds, coreSeconds, acme, beta float64) *emulator.LoadRun {
	stream := func(tenant string, arrivals float64) *emulator.Stream {
		return &emulator.Stream{
			Tenant:            tenant,
			Weight:            0.5,
			ArrivalsPerSecond: arrivals,
			To:                seconds,
			MeanCoreSeconds:   coreSeconds,
			PriorityWeight:    1,
		}
	}
	return &emulator.LoadRun{
		Address:      server.Listen,
		Seed:         5,
		Seconds:      seconds,
		Cores:        2,
		Categories:   []string{"look"},
		SoftDeadline: 4 * time.Second,
		Deadline:     7 * time.Second,
		Streams:      []*emulator.Stream{stream("acme", acme), stream("beta", beta)},
	}
}
