package servertest

import (
	"fmt"
	"net"
	"time"

	"thistlequay/internal/emulator"
)

// RouterLink is a connection from a router to the program. It is not safe for concurrent use.
type RouterLink struct {
	// Server is the program at the other end. Every failure ends its test.
	Server *Server
	*emulator.Link
}

// ConnectRouter connects to the program as a router, retrying until the program listens. The test fails if it does not
// listen within EventTimeout. Each read and each write on the connection fails after EventTimeout.
func (s *Server) ConnectRouter() *RouterLink {
	s.T.Helper()
	var connection net.Conn
	canConnect := func() bool {
		var err error
		connection, err = net.Dial("tcp", s.Listen)
		return err == nil
	}
	s.Eventually(canConnect, EventTimeout, 5*time.Millisecond)
	s.T.Cleanup(func() { CloseQuietly(connection) })
	return &RouterLink{s, emulator.NewLink(timeLimitedConn{connection})}
}

// NewRequestID returns a new unique request identifier.
func (s *Server) NewRequestID() string {
	s.requestCount++
	return fmt.Sprintf("%016x", 0xabc0000+s.requestCount)
}

// RequestParameters returns the FastCGI parameters of a request from the tenant acme with a budget of 7 s.
func RequestParameters(id string) map[string]string {
	return emulator.RequestParameters(id, "acme", 7*time.Second)
}

// WriteBytes writes raw bytes to the connection. The test fails if the write fails.
func (r *RouterLink) WriteBytes(data []byte) {
	r.Server.T.Helper()
	_, err := r.Write(data)
	r.Server.NoError(err)
}

// Send writes a complete request in the given request slot.
func (r *RouterLink) Send(slot uint16, path, body string, parameters map[string]string) {
	r.Server.T.Helper()
	r.WriteBytes(emulator.FastCGIRequest(slot, path, body, parameters))
}

// keepConnectionOffset is the offset of the byte with the FCGI_KEEP_CONN flag in the first record of a request.
const keepConnectionOffset = 10

// LastRequest returns emulator.FastCGIRequest with the FCGI_KEEP_CONN flag cleared, so that the program closes the
// connection after the response.
func LastRequest(slot uint16, path, body string, parameters map[string]string) []byte {
	request := emulator.FastCGIRequest(slot, path, body, parameters)
	request[keepConnectionOffset] = 0
	return request
}

// SendWith sends a request with one additional FastCGI parameter and returns its new identifier.
func (r *RouterLink) SendWith(slot uint16, path, body, name, value string) string {
	r.Server.T.Helper()
	id := r.Server.NewRequestID()
	parameters := RequestParameters(id)
	parameters[name] = value
	r.Send(slot, path, body, parameters)
	return id
}

// SendLook sends an idempotent request (category look) and returns its identifier.
func (r *RouterLink) SendLook(slot uint16, body string) string {
	r.Server.T.Helper()
	id := r.Server.NewRequestID()
	r.Send(slot, "/rpc/look", body, RequestParameters(id))
	return id
}

// SendBrief sends a request with a budget of 900 ms (category brief) and returns its identifier.
func (r *RouterLink) SendBrief(slot uint16) string {
	r.Server.T.Helper()
	return r.SendWith(slot, "/rpc/brief", "b", "HTTP_BUDGET_MS", "900")
}

// SendBook sends a request with an idempotency key (category book) and returns its identifier.
func (r *RouterLink) SendBook(slot uint16, key string) string {
	r.Server.T.Helper()
	return r.SendWith(slot, "/rpc/book", "entry "+key, "HTTP_ONCE_KEY", key)
}

// SendTimedBook sends a request with an idempotency key (category book) whose body requests 1 ms of work from an
// emulated interpreter.
func (r *RouterLink) SendTimedBook(slot uint16, key string) {
	r.Server.T.Helper()
	r.SendWith(slot, "/rpc/book", "1 entry "+key, "HTTP_ONCE_KEY", key)
}

// SendAbort sends the record that aborts the request in a slot, as for a client that no longer waits.
func (r *RouterLink) SendAbort(slot uint16) {
	r.Server.T.Helper()
	r.WriteBytes(emulator.FastCGIRecord(2, slot, ""))
}

// NextResponse returns the slot, status, headers and body of the next response on the connection. The test fails if no
// complete response arrives.
func (r *RouterLink) NextResponse() (slot uint16, status int, headers, body string) {
	r.Server.T.Helper()
	response, err := r.ReadResponse()
	r.Server.NoError(err)
	return response.Slot, response.Status, response.Headers, response.Body
}

// ExpectResponse fails the test unless the next response has the given slot, status and body.
func (r *RouterLink) ExpectResponse(slot uint16, status int, body string) {
	r.Server.T.Helper()
	gotSlot, gotStatus, headers, gotBody := r.NextResponse()
	want := fmt.Sprint(slot, " ", status, " ", body)
	got := fmt.Sprint(gotSlot, " ", gotStatus, " ", gotBody)
	r.Server.Equal(want, got, headers)
}

// ExpectHealth sends a health check and fails the test unless the next response on the connection is its response and
// has the given status. Afterwards the program has read everything written to the connection before the health check.
func (r *RouterLink) ExpectHealth(slot uint16, status int) {
	r.Server.T.Helper()
	r.Send(slot, "/health", "", nil)
	r.ExpectResponse(slot, status, "")
}

// RequireClosed reads until the program closes or resets the connection.
func (r *RouterLink) RequireClosed() {
	r.Server.T.Helper()
	r.Server.RequireClosed(r.Link)
}
