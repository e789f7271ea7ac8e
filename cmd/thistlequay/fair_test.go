package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/emulator"
)

func twoTenants(acme, beta float64) string {
	return fmt.Sprintf(`"Tenants":[{"Name":"acme","Share":%v},{"Name":"beta","Share":%v}]`, acme, beta)
}

// fair runs a program with fair queues for acme and beta.
func fair(t *testing.T, acme, beta float64) (*rig, *vm) {
	r := prepare(t)
	r.config = strings.Replace(r.config, `"Tenants":[{"Name":"acme"}]`, twoTenants(acme, beta), 1)
	r.service = "fair_queues:\n  burst: 1ms\n"
	r.run()
	return r, r.up(0)
}

// as asks for a harmless work item of a tenant.
func (c *router) as(slot uint16, tenant, body string) string {
	id, with := c.r.id(), fields("")
	with["HTTP_REQUEST_ID"], with["HTTP_ACCOUNT"] = id, tenant
	c.ask(slot, "/rpc/look", body, with)
	return id
}

// One that came first with much waits its turn behind one that came last with little; then terms change under load.
func TestTurnsOverSockets(t *testing.T) {
	r, v := fair(t, 0.5, 0.5)
	c := r.router()
	first, second := c.as(1, "acme", "1"), c.as(2, "acme", "2")
	v.applied(first, "1")
	v.applied(second, "2")
	held := []string{c.as(3, "acme", "3"), c.as(4, "acme", "4")}
	late := c.as(5, "beta", "b")
	c.ask(6, "/health", "", nil)
	c.answered(6, 200, "") // all have been read
	v.value(first, "OK", "")
	c.answered(1, 200, "")
	v.applied(late, "b")
	r.service = "fair_queues:\n  tenants: [{name: gone, share: 1}]\n" // no tenant of the settings: nothing changes
	r.again()
	v.value(second, "OK", "")
	c.answered(2, 200, "")
	v.applied(held[0], "3")
	r.service = "fair_queues:\n  tenants: [{name: beta, share: 1}]\n" // acme is taken out with work in hand
	r.again()
	v.value(late, "OK", "")
	c.answered(5, 200, "")
	v.applied(held[1], "4")
	r.service = "# off\n"
	r.again()
	v.value(held[0], "OK", "")
	c.answered(3, 200, "")
	v.value(held[1], "OK", "")
	c.answered(4, 200, "")
	v.serves(c, 7, "still")
	r.NoError(r.process.Process.Signal(syscall.SIGTERM))
	code, log := r.exit()
	r.Zero(code)
	r.Contains(log, `is none; expected a tenant of the platform's settings`)
	r.Equal(2, strings.Count(log, "event=configuration_read"))
}

// A repeat that shares a run is not charged, one that takes the place of the held one is charged for the run alone.
func TestRepeatsAreChargedOnce(t *testing.T) {
	r, v := fair(t, 0.6, 0.4)
	c := r.router()
	run := c.book(1, "k")
	v.applied(run, "entry k")
	for slot := uint16(2); slot < 8; slot++ {
		c.book(slot, "k")
	}
	other := c.as(9, "beta", "b")
	v.applied(other, "b")
	waitsA, waitsB := c.as(10, "acme", "a2"), c.as(11, "beta", "b2")
	v.value(run, "OK", "one")
	for range 7 {
		_, status, _, body := c.answer()
		r.Equal("200 one", fmt.Sprint(status, " ", body))
	}
	v.applied(waitsA, "a2") // six repeats did not put acme behind beta
	v.value(other, "OK", "")
	c.answered(9, 200, "")
	v.applied(waitsB, "b2")
}

// By the client's network, on the word of a trusted front; from others the peer's address counts.
func TestTenantsByNetwork(t *testing.T) {
	r := prepare(t)
	r.service = `fair_queues:
  burst: 1ms
  by: network
  tenants: [{name: hall-nord, share: 1}, {name: hall-sor, share: 1}]
  networks: [{prefix: 10.1.0.0/16, tenant: hall-nord}, {prefix: 10.0.0.0/8, tenant: hall-sor}]
  trusted_fronts: [127.0.0.0/8]
`
	r.run()
	v := r.up(0)
	c := r.router()
	from := func(slot uint16, address string) string {
		id, with := c.r.id(), fields("")
		with["HTTP_REQUEST_ID"], with["REMOTE_ADDR"] = id, address
		c.ask(slot, "/rpc/look", address, with)
		return id
	}
	a, b := from(1, "10.1.0.1"), from(2, "10.1.0.2")
	v.applied(a, "10.1.0.1")
	v.applied(b, "10.1.0.2")
	from(3, "::ffff:10.1.0.3")
	sor := from(4, "10.2.0.1")
	c.ask(6, "/health", "", nil)
	c.answered(6, 200, "")
	v.value(a, "OK", "")
	c.answered(1, 200, "")
	v.applied(sor, "10.2.0.1")
}

// The one command of a fresh machine, over sockets: whoever asked for less than its part has it with fair queues.
func TestTry(t *testing.T) {
	t.Setenv(asProgram, "1")
	var out, errs bytes.Buffer
	keep := filepath.Join(t.TempDir(), "kept")
	require.Zero(t, runCommandLine([]string{"try", "--seconds", "2", "--config", keep}, &out, &errs), errs.String())
	for _, tenant := range []string{"kirkens", "bymisjon", "fjordhjelpa", "ungdomslaget", "FAIR QUEUES ON"} {
		require.Contains(t, out.String(), tenant)
	}
	out.Reset()
	require.Zero(t, runCommandLine([]string{"check", keep + ".fair.json", keep + ".fair.yaml"}, &out, &errs),
		out.String())
	require.Equal(t, "2 files, no fault\n", out.String())
}

// Short in CI, 30 s where MEASURE=full. A greedy tenant over sockets, with an interpreter whose notices are spoilt
// and an index that does not always answer:
// nobody goes without an answer, no request runs twice, and the polite tenant has more of its part than the greedy one.
func TestMeasuredFairQueuesOverSockets(t *testing.T) {
	r := prepare(t)
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
	index.Script = func(n int) string { return map[int]string{5: "SHED", 9: "noise", 15: "reset"}[n%20] }
	defer closeQuietly(r.vm)
	config := strings.Replace(strings.Replace(r.config, r.vm.Address, vm.Address, 1), r.index.Address, index.Address, 1)
	r.config = strings.Replace(config, `"Tenants":[{"Name":"acme"}]`, twoTenants(0.5, 0.5), 1)
	r.service = "fair_queues:\n"
	r.run()
	r.Eventually(func() bool { return strings.Contains(logOf(r), "interpreter_up") }, patience, time.Millisecond)
	length := 2.0
	if os.Getenv("MEASURE") == "full" {
		length = 30
	}
	index.Script = hits(index.Script)
	load := &emulator.LoadRun{Address: r.listen, Seed: 5, Seconds: length, Cores: 2, Categories: []string{"look"},
		SoftDeadline: 4 * time.Second, Deadline: 7 * time.Second, Streams: []*emulator.Stream{
			{Tenant: "acme", Weight: 0.5, ArrivalsPerSecond: 20, To: length, MeanCoreSeconds: 0.03, PriorityWeight: 1},
			{Tenant: "beta", Weight: 0.5, ArrivalsPerSecond: 300, To: length, MeanCoreSeconds: 0.03,
				PriorityWeight: 1}}}
	books, err := load.Run()
	r.NoError(err)
	for _, a := range books {
		t.Logf("measured fair-queues-sockets %s", a)
		r.Equal(a.Requested, a.OnTime+a.Late+a.Rejected+a.Aborted, "work items without an answer")
	}
	r.Zero(load.BrokenRequests())
	r.GreaterOrEqual(books[0].DeliveredShare(), 0.9)
	r.Greater(books[1].Rejected, books[1].Requested/4)
	vm.Inspect(func(v *emulator.Interpreter) {
		for id, runs := range v.RunsByRequest {
			r.Equal(1, runs, id)
		}
	})
}

// hits has an index answer well where its script says nothing.
func hits(script func(int) string) func(int) string {
	return func(n int) string {
		if reply := script(n); reply != "" {
			return reply
		}
		return "HIT"
	}
}
