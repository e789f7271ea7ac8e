package server_test

import (
	"fmt"
	"testing"

	"thistlequay/internal/emulator"
	"thistlequay/internal/servertest"
)

// Guards against a request identifier that runs twice because it came again after its client had left, or after its
// response.
func TestRequestIDRunsOnce(t *testing.T) {
	t.Parallel()
	for _, effect := range []string{"repeatable", "once"} {
		for _, leaves := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, leaves %v", effect, leaves), func(t *testing.T) {
				t.Parallel()
				server, interpreter := servertest.StartWith(t, `"Effect":"repeatable","HardLimit":8000.0`,
					fmt.Sprintf(`"HardLimit":8000.0,"Effect":%q`, effect))
				router := server.ConnectRouter()
				id := server.NewRequestID()
				request := emulator.FastCGIRequest(1, "/rpc/look", "body", servertest.RequestParameters(id))
				router.WriteBytes(request)
				interpreter.ExpectApply(id, "body")
				if leaves {
					server.NoError(router.Close())
					if effect == "repeatable" {
						interpreter.ExpectCommand("BREAK", id)
					}
					interpreter.SendValue(id, "STOPPED", "")
				} else {
					interpreter.CompleteRun(router, 1, id, "result")
				}
				again := server.ConnectRouter()
				again.WriteBytes(request)
				again.ExpectResponse(1, 400, "")
				next := again.SendLook(2, "the next to run")
				command := interpreter.NextCommand()
				server.Equal("APPLY "+next, command.Type+" "+command.Job)
			})
		}
	}
}

// A request that was rejected, or whose run never started, may come again under its identifier.
func TestRequestIDOfUnstartedRunMayComeAgain(t *testing.T) {
	t.Parallel()
	server, interpreter := servertest.Start(t)
	router := server.ConnectRouter()
	id := interpreter.StartLook(router, 1, "body")
	interpreter.SendValue(id, "MOOT", "")
	_, status, _, _ := router.NextResponse()
	server.NotEqual(200, status)
	again := emulator.FastCGIRequest(1, "/rpc/look", "body", servertest.RequestParameters(id))
	router.WriteBytes(again)
	interpreter.ExpectApply(id, "body")
	interpreter.CompleteRun(router, 1, id, "result")
}
