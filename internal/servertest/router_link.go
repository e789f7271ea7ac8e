package servertest

import (
	"fmt"
	"net"
	"time"

	"thistlequay/internal/emulator"
)

// RouterLink is a connection to the program as routers open them. One goroutine at a time may use it.
type RouterLink struct {
	// Server is the program on the other side; its test is ended by every failure.
	Server *Server
	*emulator.Link
}

// ConnectRouter connects as a router, once the program listens. The test fails where it does not within EventTimeout;
// so does every read and write that takes the connection beyond that time.
func (s *Server) ConnectRouter() *RouterLink {
	s.T.Helper()
	var connection net.Conn
	listens := func() bool {
		var err error
		connection, err = net.Dial("tcp", s.Listen)
		return err == nil
	}
	s.Eventually(listens, EventTimeout, 5*time.Millisecond)
	s.NoError(connection.SetDeadline(time.Now().Add(EventTimeout)))
	s.T.Cleanup(func() { CloseQuietly(connection) })
	return &RouterLink{s, emulator.NewLink(connection)}
}

// NewRequestID returns the identifier of a new attempt.
func (s *Server) NewRequestID() string {
	s.requestCount++
	return fmt.Sprintf("%016x", 0xabc0000+s.requestCount)
}

// RequestParameters returns the FastCGI parameters of a request of the tenant acme with a budget of 7 s.
func RequestParameters(id string) map[string]string {
	return emulator.RequestParameters(id, "acme", 7*time.Second)
}

// WriteBytes writes bytes as they are. The test fails where they cannot be written.
func (r *RouterLink) WriteBytes(data []byte) {
	r.Server.T.Helper()
	_, err := r.Write(data)
	r.Server.NoError(err)
}

// Send writes a complete request.
func (r *RouterLink) Send(slot uint16, path, body string, parameters map[string]string) {
	r.Server.T.Helper()
	r.WriteBytes(emulator.FastCGIRequest(slot, path, body, parameters))
}

// keepConnectionFlag is where the first record of a request has the flag that keeps the connection.
const keepConnectionFlag = 10

// LastRequest is emulator.FastCGIRequest without the flag that keeps the connection: the program closes the connection
// after the response.
func LastRequest(slot uint16, path, body string, parameters map[string]string) []byte {
	request := emulator.FastCGIRequest(slot, path, body, parameters)
	request[keepConnectionFlag] = 0
	return request
}

// SendWith writes a request with a new identifier and one more parameter, and returns the identifier.
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

// SendTimedBook sends a request with an idempotency key, whose body asks an emulated interpreter for 1 ms of work.
func (r *RouterLink) SendTimedBook(slot uint16, key string) {
	r.Server.T.Helper()
	r.SendWith(slot, "/rpc/book", "1 entry "+key, "HTTP_ONCE_KEY", key)
}

// SendAbort aborts the request in this slot, as a client does that no longer waits.
func (r *RouterLink) SendAbort(slot uint16) {
	r.Server.T.Helper()
	r.WriteBytes(emulator.FastCGIRecord(2, slot, ""))
}

// NextResponse returns the next response on the connection: its slot, status, headers and body. The test fails where
// none that is complete arrives.
func (r *RouterLink) NextResponse() (slot uint16, status int, headers, body string) {
	r.Server.T.Helper()
	response, err := r.ReadResponse()
	r.Server.NoError(err)
	return response.Slot, response.Status, response.Headers, response.Body
}

// ExpectResponse fails the test unless the next response has this slot, status and body.
func (r *RouterLink) ExpectResponse(slot uint16, status int, body string) {
	r.Server.T.Helper()
	gotSlot, gotStatus, headers, gotBody := r.NextResponse()
	want := fmt.Sprint(slot, " ", status, " ", body)
	got := fmt.Sprint(gotSlot, " ", gotStatus, " ", gotBody)
	r.Server.Equal(want, got, headers)
}

// ExpectHealth sends a health check and fails the test unless its response, the next on the connection, has this
// status. By then the program has read whatever was written to the connection before.
func (r *RouterLink) ExpectHealth(slot uint16, status int) {
	r.Server.T.Helper()
	r.Send(slot, "/health", "", nil)
	r.ExpectResponse(slot, status, "")
}

// RequireClosed reads until the program has closed the connection; a reset will do.
func (r *RouterLink) RequireClosed() {
	r.Server.T.Helper()
	r.Server.RequireClosed(r.Link)
}
