package servertest

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

// InterpreterLink is the interpreter's end of the program's link to it.
type InterpreterLink struct {
	Server *Server
	*emulator.Link
	// LastNotice numbers the notices sent, as the protocol asks.
	LastNotice int
}

// Command is a line that the program sends to the interpreter.
type Command struct{ Type, Job, Kind, Data, Ref string }

// NextInterpreterLink accepts the program's next link to the interpreter, without a word said. lastNotice is the number
// of the last notice sent on an earlier link.
func (s *Server) NextInterpreterLink(lastNotice int) *InterpreterLink {
	s.T.Helper()
	return &InterpreterLink{Server: s, Link: s.NextLink(s.Interpreter), LastNotice: lastNotice}
}

// AcceptInterpreter accepts the program's link to the interpreter, checks the number of the last notice that it says,
// and waits until it takes requests.
func (s *Server) AcceptInterpreter(n int) *InterpreterLink {
	s.T.Helper()
	interpreter := s.NextInterpreterLink(0)
	s.JSONEq(fmt.Sprintf(`{"type":"CONNECT","n":%d}`, n), s.ReadLine(interpreter.Link))
	s.WriteLine(interpreter.Link, `{"type":"BANNER","state":"WARM","took":3600000}`)
	router := s.ConnectRouter()
	defer CloseQuietly(router)
	s.Eventually(func() bool { // the hint is sent once the admission module has decided
		router.Send(1, "/health", "", nil)
		_, _, headers, _ := router.NextResponse()
		return strings.Contains(headers, "Server-Hint: ")
	}, EventTimeout, time.Millisecond)
	return interpreter
}

// NextCommand gives the next command other than a question for the gauges; those are answered.
func (v *InterpreterLink) NextCommand() (o Command) {
	v.Server.T.Helper()
	for {
		o = Command{}
		v.Server.NoError(json.Unmarshal([]byte(v.Server.ReadLine(v.Link)), &o))
		if o.Type != "TOP" {
			return o
		}
		v.Server.WriteLine(v.Link, `{"type":"TOPS","ref":%q,"gauges":[1,2,0.1,3]}`, o.Ref)
	}
}

// SendValue ends a run with a state and a result.
func (v *InterpreterLink) SendValue(job, state, result string) {
	v.Server.T.Helper()
	v.LastNotice++
	v.Server.WriteLine(v.Link, `{"type":"VALUE","n":%d,"job":%q,"state":%q,"took":12.5,"data":%q}`, v.LastNotice,
		job, state, base64.StdEncoding.EncodeToString([]byte(result)))
}

// SendAwait has a run wait for a downstream call.
func (v *InterpreterLink) SendAwait(job, call string) {
	v.Server.T.Helper()
	v.LastNotice++
	v.Server.WriteLine(v.Link, `{"type":"AWAIT","n":%d,"job":%q,"data":%q}`, v.LastNotice, job,
		base64.StdEncoding.EncodeToString([]byte(call)))
}

// ExpectApply checks that the next command starts this request with this body.
func (v *InterpreterLink) ExpectApply(id, body string) {
	v.Server.T.Helper()
	o := v.NextCommand()
	data, _ := base64.StdEncoding.DecodeString(o.Data)
	v.Server.Equal("APPLY "+id+" "+body, o.Type+" "+o.Job+" "+string(data))
}

// RouterLink is a connection as routers open them.
type RouterLink struct {
	Server *Server
	*emulator.Link
}

// ConnectRouter connects as a router, and waits until the program listens.
func (s *Server) ConnectRouter() *RouterLink {
	s.T.Helper()
	var c net.Conn
	s.Eventually(func() (up bool) {
		var err error
		c, err = net.Dial("tcp", s.Listen)
		return err == nil
	}, EventTimeout, 5*time.Millisecond)
	s.NoError(c.SetDeadline(time.Now().Add(EventTimeout)))
	s.T.Cleanup(func() { CloseQuietly(c) })
	return &RouterLink{s, emulator.NewLink(c)}
}

// NewRequestID gives the identifier of a new attempt.
func (s *Server) NewRequestID() string {
	s.requestCount++
	return fmt.Sprintf("%016x", 0xabc0000+s.requestCount)
}

// RequestParameters are the FastCGI parameters of an ordinary request.
func RequestParameters(id string) map[string]string {
	return emulator.RequestParameters(id, "acme", 7*time.Second)
}

// Send writes a complete request.
func (c *RouterLink) Send(slot uint16, path, body string, with map[string]string) {
	c.Server.T.Helper()
	_, err := c.Write(emulator.FastCGIRequest(slot, path, body, with))
	c.Server.NoError(err)
}

// SendLook sends an idempotent request (category look) and gives its identifier.
func (c *RouterLink) SendLook(slot uint16, body string) string {
	c.Server.T.Helper()
	id := c.Server.NewRequestID()
	c.Send(slot, "/rpc/look", body, RequestParameters(id))
	return id
}

// SendBrief sends a request with a deadline of 900 ms (category brief) and gives its identifier.
func (c *RouterLink) SendBrief(slot uint16) string {
	c.Server.T.Helper()
	id := c.Server.NewRequestID()
	with := RequestParameters("")
	with["HTTP_REQUEST_ID"], with["HTTP_BUDGET_MS"] = id, "900"
	c.Send(slot, "/rpc/brief", "b", with)
	return id
}

// SendBook sends a request with an idempotency key (category book) and gives its identifier.
func (c *RouterLink) SendBook(slot uint16, key string) string {
	c.Server.T.Helper()
	id := c.Server.NewRequestID()
	with := RequestParameters(id)
	with["HTTP_ONCE_KEY"] = key
	c.Send(slot, "/rpc/book", "entry "+key, with)
	return id
}

// NextResponse gives the next response on the connection: its slot, status, headers and body.
func (c *RouterLink) NextResponse() (slot uint16, status int, headers, body string) {
	c.Server.T.Helper()
	a, err := c.ReadResponse()
	c.Server.NoError(err)
	return a.Slot, a.Status, a.Headers, a.Body
}

// ExpectResponse checks slot, status and body of the next response.
func (c *RouterLink) ExpectResponse(slot uint16, status int, body string) {
	c.Server.T.Helper()
	s, got, headers, text := c.NextResponse()
	c.Server.Equal(fmt.Sprint(slot, " ", status, " ", body), fmt.Sprint(s, " ", got, " ", text), headers)
}

// ServeOne sends a request, runs it and checks that its result is the response.
func (v *InterpreterLink) ServeOne(router *RouterLink, slot uint16, body string) {
	v.Server.T.Helper()
	id := router.SendLook(slot, body)
	v.ExpectApply(id, body)
	v.SendValue(id, "OK", "result of "+body)
	router.ExpectResponse(slot, 200, "result of "+body)
}

// RequireClosed reads until the other side has closed the connection; a reset will do.
func (c *RouterLink) RequireClosed() {
	c.Server.T.Helper()
	c.Server.RequireClosed(c.Link)
}

// RequireClosed reads until the other side has closed the connection; a reset will do.
func (s *Server) RequireClosed(link *emulator.Link) {
	s.T.Helper()
	_, err := io.Copy(io.Discard, link.Reader)
	if err != nil {
		s.ErrorIs(err, syscall.ECONNRESET)
	}
}

// ReadToEnd reads what is left up to the other side's close, which must not be a reset: a reset would have discarded
// bytes.
func (s *Server) ReadToEnd(link *emulator.Link) []byte {
	s.T.Helper()
	rest, err := io.ReadAll(link.Reader)
	s.NoError(err)
	return rest
}

// UnreadBytes is how many bytes the system holds, on both sides, of what was written to this connection.
func (s *Server) UnreadBytes(link *emulator.Link) (sum int) {
	s.T.Helper()
	port := func(a net.Addr) string { return fmt.Sprintf(":%04X", a.(*net.TCPAddr).Port) }
	text, err := os.ReadFile("/proc/net/tcp")
	s.NoError(err)
	for _, line := range strings.Split(string(text), "\n") {
		f := strings.Fields(line)
		if len(f) < 5 {
			continue
		}
		var sent, come int
		_, _ = fmt.Sscanf(f[4], "%x:%x", &sent, &come)
		switch {
		case strings.HasSuffix(f[1], port(link.RemoteAddr())) && strings.HasSuffix(f[2], port(link.LocalAddr())):
			sum += sent
		case strings.HasSuffix(f[1], port(link.LocalAddr())) && strings.HasSuffix(f[2], port(link.RemoteAddr())):
			sum += come
		}
	}
	return sum
}
