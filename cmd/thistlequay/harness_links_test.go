package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"time"

	"thistlequay/internal/emulator"
)

// interpreterLink is the interpreter's end of the program's link to it.
type interpreterLink struct {
	server *testServer
	*link
	// lastNotice numbers the notices sent, as the protocol asks.
	lastNotice int
}

// interpreterCommand is a line that the program sends to the interpreter.
type interpreterCommand struct{ Type, Job, Kind, Data, Ref string }

// acceptInterpreter accepts the program's link to the interpreter, checks the number of the last notice that it says,
// and waits until it takes requests.
func (r *testServer) acceptInterpreter(n int) *interpreterLink {
	r.t.Helper()
	v := &interpreterLink{server: r, link: r.nextLink(r.interpreter)}
	r.JSONEq(fmt.Sprintf(`{"type":"CONNECT","n":%d}`, n), r.readLine(v.link))
	r.writeLine(v.link, `{"type":"BANNER","state":"WARM","took":3600000}`)
	c := r.connectRouter()
	defer closeQuietly(c)
	r.Eventually(func() bool { // the hint is sent once the admission module has decided
		c.send(1, "/health", "", nil)
		_, _, headers, _ := c.readResponse()
		return strings.Contains(headers, "Server-Hint: ")
	}, eventTimeout, time.Millisecond)
	return v
}

// nextCommand gives the next command other than a question for the gauges; those are answered.
func (v *interpreterLink) nextCommand() (o interpreterCommand) {
	v.server.t.Helper()
	for {
		o = interpreterCommand{}
		v.server.NoError(json.Unmarshal([]byte(v.server.readLine(v.link)), &o))
		if o.Type != "TOP" {
			return o
		}
		v.server.writeLine(v.link, `{"type":"TOPS","ref":%q,"gauges":[1,2,0.1,3]}`, o.Ref)
	}
}

// sendValue ends a run with a state and a result.
func (v *interpreterLink) sendValue(job, state, result string) {
	v.server.t.Helper()
	v.lastNotice++
	v.server.writeLine(v.link, `{"type":"VALUE","n":%d,"job":%q,"state":%q,"took":12.5,"data":%q}`, v.lastNotice,
		job, state, base64.StdEncoding.EncodeToString([]byte(result)))
}

// sendAwait has a run wait for a downstream call.
func (v *interpreterLink) sendAwait(job, call string) {
	v.server.t.Helper()
	v.lastNotice++
	v.server.writeLine(v.link, `{"type":"AWAIT","n":%d,"job":%q,"data":%q}`, v.lastNotice, job,
		base64.StdEncoding.EncodeToString([]byte(call)))
}

// expectApply checks that the next command starts this request with this body.
func (v *interpreterLink) expectApply(id, body string) {
	v.server.t.Helper()
	o := v.nextCommand()
	data, _ := base64.StdEncoding.DecodeString(o.Data)
	v.server.Equal("APPLY "+id+" "+body, o.Type+" "+o.Job+" "+string(data))
}

// routerLink is a connection as routers open them.
type routerLink struct {
	server *testServer
	*link
}

// connectRouter connects as a router, and waits until the program listens.
func (r *testServer) connectRouter() *routerLink {
	r.t.Helper()
	var c net.Conn
	r.Eventually(func() (up bool) {
		var err error
		c, err = net.Dial("tcp", r.listen)
		return err == nil
	}, eventTimeout, 5*time.Millisecond)
	r.NoError(c.SetDeadline(time.Now().Add(eventTimeout)))
	r.t.Cleanup(func() { closeQuietly(c) })
	return &routerLink{r, emulator.NewLink(c)}
}

// newRequestID gives the identifier of a new attempt.
func (r *testServer) newRequestID() string {
	r.requestCount++
	return fmt.Sprintf("%016x", 0xabc0000+r.requestCount)
}

// requestParameters are the FastCGI parameters of an ordinary request.
func requestParameters(id string) map[string]string {
	return emulator.RequestParameters(id, "acme", 7*time.Second)
}

// fastCGIRecord is one FastCGI record of a kind for a request slot.
func fastCGIRecord(kind byte, slot uint16, content string) []byte {
	return emulator.FastCGIRecord(kind, slot, content)
}

// send writes a complete request.
func (c *routerLink) send(slot uint16, path, body string, with map[string]string) {
	c.server.t.Helper()
	_, err := c.Write(emulator.FastCGIRequest(slot, path, body, with))
	c.server.NoError(err)
}

// sendLook sends an idempotent request (category look) and gives its identifier.
func (c *routerLink) sendLook(slot uint16, body string) string {
	c.server.t.Helper()
	id := c.server.newRequestID()
	c.send(slot, "/rpc/look", body, requestParameters(id))
	return id
}

// sendBrief sends a request with a deadline of 900 ms (category brief) and gives its identifier.
func (c *routerLink) sendBrief(slot uint16) string {
	c.server.t.Helper()
	id := c.server.newRequestID()
	with := requestParameters("")
	with["HTTP_REQUEST_ID"], with["HTTP_BUDGET_MS"] = id, "900"
	c.send(slot, "/rpc/brief", "b", with)
	return id
}

// sendBook sends a request with an idempotency key (category book) and gives its identifier.
func (c *routerLink) sendBook(slot uint16, key string) string {
	c.server.t.Helper()
	id := c.server.newRequestID()
	with := requestParameters(id)
	with["HTTP_ONCE_KEY"] = key
	c.send(slot, "/rpc/book", "entry "+key, with)
	return id
}

// readResponse gives the next response on the connection: its slot, status, headers and body.
func (c *routerLink) readResponse() (slot uint16, status int, headers, body string) {
	c.server.t.Helper()
	a, err := c.ReadResponse()
	c.server.NoError(err)
	return a.Slot, a.Status, a.Headers, a.Body
}

// expectResponse checks slot, status and body of the next response.
func (c *routerLink) expectResponse(slot uint16, status int, body string) {
	c.server.t.Helper()
	s, got, headers, text := c.readResponse()
	c.server.Equal(fmt.Sprint(slot, " ", status, " ", body), fmt.Sprint(s, " ", got, " ", text), headers)
}

// serveOne sends a request, runs it and checks that its result is the response.
func (v *interpreterLink) serveOne(c *routerLink, slot uint16, body string) {
	v.server.t.Helper()
	id := c.sendLook(slot, body)
	v.expectApply(id, body)
	v.sendValue(id, "OK", "result of "+body)
	c.expectResponse(slot, 200, "result of "+body)
}

// requireClosed reads until the other side has closed the connection; a reset will do.
func (c *routerLink) requireClosed() {
	c.server.t.Helper()
	c.server.requireClosed(c.link)
}

// requireClosed reads until the other side has closed the connection; a reset will do.
func (r *testServer) requireClosed(l *link) {
	r.t.Helper()
	_, err := io.Copy(io.Discard, l.Reader)
	if err != nil {
		r.ErrorIs(err, syscall.ECONNRESET)
	}
}

// readToEnd reads what is left up to the other side's close, which must not be a reset: a reset would have discarded
// bytes.
func (r *testServer) readToEnd(l *link) []byte {
	r.t.Helper()
	rest, err := io.ReadAll(l.Reader)
	r.NoError(err)
	return rest
}

// unreadBytes is how many bytes the system holds, on both sides, of what was written to this connection.
func (r *testServer) unreadBytes(l *link) (sum int) {
	r.t.Helper()
	port := func(a net.Addr) string { return fmt.Sprintf(":%04X", a.(*net.TCPAddr).Port) }
	text, err := os.ReadFile("/proc/net/tcp")
	r.NoError(err)
	for _, line := range strings.Split(string(text), "\n") {
		f := strings.Fields(line)
		if len(f) < 5 {
			continue
		}
		var sent, come int
		_, _ = fmt.Sscanf(f[4], "%x:%x", &sent, &come)
		switch {
		case strings.HasSuffix(f[1], port(l.RemoteAddr())) && strings.HasSuffix(f[2], port(l.LocalAddr())):
			sum += sent
		case strings.HasSuffix(f[1], port(l.LocalAddr())) && strings.HasSuffix(f[2], port(l.RemoteAddr())):
			sum += come
		}
	}
	return sum
}
