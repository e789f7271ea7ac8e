package servertest

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"thistlequay/internal/emulator"
)

// BannerWarm is the BANNER line of an interpreter that accepts requests and has been warm for an hour (3600000 ms).
const BannerWarm = `{"type":"BANNER","state":"WARM","took":3600000}`

// InterpreterLink is the interpreter's end of a connection from the program. It is not safe for concurrent use.
type InterpreterLink struct {
	// Server is the program at the other end. Every failure ends its test.
	Server *Server
	*emulator.Link
	// LastNotice is the sequence number of the last notice sent. The protocol numbers notices from 1.
	LastNotice int
}

// Command is a line that the program sends to the interpreter. Its fields are named as in the protocol.
type Command struct{ Type, Job, Kind, Data, Ref string }

// NextInterpreterLink accepts the program's next connection to the interpreter without reading or writing on it. The
// test fails if the program opens none within EventTimeout. lastNotice is the sequence number of the last notice sent
// on an earlier connection.
func (s *Server) NextInterpreterLink(lastNotice int) *InterpreterLink {
	s.T.Helper()
	return &InterpreterLink{Server: s, Link: s.NextLink(s.Interpreter), LastNotice: lastNotice}
}

// AcceptInterpreter accepts the program's next connection to the interpreter and waits until the program admits
// requests. The test fails if the last notice in the program's CONNECT line is not lastNotice.
func (s *Server) AcceptInterpreter(lastNotice int) *InterpreterLink {
	s.T.Helper()
	interpreter := s.NextInterpreterLink(lastNotice)
	s.JSONEq(fmt.Sprintf(`{"type":"CONNECT","n":%d}`, lastNotice), s.ReadLine(interpreter.Link))
	s.WriteLine(interpreter.Link, BannerWarm)
	router := s.ConnectRouter()
	defer CloseQuietly(router)
	hasHint := func() bool { // responses carry the hint once the admission module has decided
		router.Send(1, "/health", "", nil)
		_, _, headers, _ := router.NextResponse()
		return strings.Contains(headers, "Server-Hint: ")
	}
	s.Eventually(hasHint, EventTimeout, time.Millisecond)
	return interpreter
}

// NextCommand returns the program's next command other than TOP. It replies to TOP, which requests the gauges, itself.
func (l *InterpreterLink) NextCommand() Command {
	l.Server.T.Helper()
	for {
		var command Command
		l.Server.NoError(json.Unmarshal([]byte(l.Server.ReadLine(l.Link)), &command))
		if command.Type != "TOP" {
			return command
		}
		l.Server.WriteLine(l.Link, `{"type":"TOPS","ref":%q,"gauges":[1,2,0.1,3]}`, command.Ref)
	}
}

// ExpectCommand fails the test unless the next command has the given type and request identifier.
func (l *InterpreterLink) ExpectCommand(commandType, id string) {
	l.Server.T.Helper()
	command := l.NextCommand()
	l.Server.Equal(commandType+" "+id, command.Type+" "+command.Job)
}

// ExpectApply fails the test unless the next command starts the given request with the given body.
func (l *InterpreterLink) ExpectApply(id, body string) {
	l.Server.T.Helper()
	command := l.NextCommand()
	data, _ := base64.StdEncoding.DecodeString(command.Data) // malformed data fails the comparison below
	l.Server.Equal("APPLY "+id+" "+body, command.Type+" "+command.Job+" "+string(data))
}

// SendValue sends a VALUE notice, which ends a run with a state and a result.
func (l *InterpreterLink) SendValue(id, state, result string) {
	l.Server.T.Helper()
	l.LastNotice++
	data := base64.StdEncoding.EncodeToString([]byte(result))
	l.Server.WriteLine(l.Link, `{"type":"VALUE","n":%d,"job":%q,"state":%q,"took":12.5,"data":%q}`,
		l.LastNotice, id, state, data)
}

// SendAwait sends an AWAIT notice: the run waits for a downstream call.
func (l *InterpreterLink) SendAwait(id, call string) {
	l.Server.T.Helper()
	l.LastNotice++
	data := base64.StdEncoding.EncodeToString([]byte(call))
	l.Server.WriteLine(l.Link, `{"type":"AWAIT","n":%d,"job":%q,"data":%q}`, l.LastNotice, id, data)
}

// SendUnknownRequest replies to an APPLY that the interpreter does not know the request, so the request cannot have
// run.
func (l *InterpreterLink) SendUnknownRequest(id string) {
	l.Server.T.Helper()
	l.Server.WriteLine(l.Link, `{"type":"ERROR","state":"APPLY","job":%q}`, id)
}

// StartLook sends an idempotent request (category look) and returns its identifier. The test fails unless the next
// command starts the request.
func (l *InterpreterLink) StartLook(router *RouterLink, slot uint16, body string) string {
	l.Server.T.Helper()
	id := router.SendLook(slot, body)
	l.ExpectApply(id, body)
	return id
}

// StartBrief is like StartLook, for a request with a budget of 900 ms (category brief).
func (l *InterpreterLink) StartBrief(router *RouterLink, slot uint16) string {
	l.Server.T.Helper()
	id := router.SendBrief(slot)
	l.ExpectApply(id, "b")
	return id
}

// StartBook is like StartLook, for a request with an idempotency key (category book).
func (l *InterpreterLink) StartBook(router *RouterLink, slot uint16, key string) string {
	l.Server.T.Helper()
	id := router.SendBook(slot, key)
	l.ExpectApply(id, "entry "+key)
	return id
}

// CompleteRun ends a run successfully. The test fails unless the next response carries its result.
func (l *InterpreterLink) CompleteRun(router *RouterLink, slot uint16, id, result string) {
	l.Server.T.Helper()
	l.SendValue(id, "OK", result)
	router.ExpectResponse(slot, 200, result)
}

// ServeOne sends an idempotent request and completes its run. The test fails unless the response carries the result.
func (l *InterpreterLink) ServeOne(router *RouterLink, slot uint16, body string) {
	l.Server.T.Helper()
	id := l.StartLook(router, slot, body)
	l.CompleteRun(router, slot, id, "result of "+body)
}
