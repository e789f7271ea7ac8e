package server_test

import (
	"fmt"
	"strings"
	"testing"

	"thistlequay/internal/emulator"
	"thistlequay/internal/servertest"
)

// halfRequest is the part of a request that a client sends before it stops.
type halfRequest struct {
	name        string
	paramsBytes int // size of the parameters
	bodyBytes   int // size of the part of the body that is sent; 0 if the parameters do not end
}

// records returns the records of a half request in the given slot.
func (h halfRequest) records(slot uint16) []byte {
	const path = "\x0b\x09SCRIPT_NAME/rpc/look"
	records := emulator.FastCGIBegin(slot)
	params := path + strings.Repeat("\x01\x01xy", max(0, h.paramsBytes-len(path))/4) // very many short fields
	records = append(records, emulator.FastCGIRecord(emulator.RecordParams, slot, params)...)
	if h.bodyBytes > 0 {
		records = append(records, emulator.FastCGIRecord(emulator.RecordParams, slot, "")...)
		body := strings.Repeat("b", h.bodyBytes)
		records = append(records, emulator.FastCGIRecord(emulator.RecordStdin, slot, body)...)
	}
	return records
}

// halfRequests are the sizes of half requests that the tests play.
var halfRequests = []halfRequest{
	{"short parameters", 20, 0},
	{"longest parameters", 8000, 0},
	{"part of a body", 400, 1500},
	{"longest of all", 8000, 8000},
}

// openHalfRequests opens a connection and half requests on it, in slots from 1, and waits until the program has read
// them. The connection is no longer new then, as its health check in the slot after them was whole.
func openHalfRequests(server *servertest.Server, half halfRequest, count int) {
	router := server.ConnectRouter()
	var records []byte
	for slot := range uint16(count) {
		records = append(records, half.records(slot+1)...)
	}
	router.WriteBytes(records)
	healthSlot := uint16(count + 1)
	router.Send(healthSlot, "/health", "", nil)
	for {
		slot, status, _, _ := router.NextResponse()
		if slot == healthSlot {
			server.Equal(200, status)
			return
		}
	}
}

// Guards against OVERLOADED, the promise that nothing ran, for a repeat of a keyed request that ran, while half
// requests of other clients take up the memory for requests.
func TestRepeatIsAnsweredWhileHalfRequestsFillMemory(t *testing.T) {
	t.Parallel()
	for _, size := range []struct{ memoryMB, connections int }{{32, 9}, {64, 40}, {192, 200}} {
		for _, half := range halfRequests {
			t.Run(fmt.Sprintf("%d MB %s", size.memoryMB, half.name), func(t *testing.T) {
				t.Parallel()
				limits := fmt.Sprintf(`"memory_mb":%d,"sockets":384`, size.memoryMB)
				server, interpreter := servertest.StartWith(t, `"memory_mb":192,"sockets":64`, limits)
				router := server.ConnectRouter()
				for _, key := range []string{"k1", "k2", "k3"} {
					id := interpreter.StartBook(router, 1, key)
					interpreter.CompleteRun(router, 1, id, "ran "+key)
				}
				for range size.connections {
					openHalfRequests(server, half, 31)
				}
				for _, key := range []string{"k1", "k2", "k3"} {
					repeated := server.ConnectRouter()
					repeated.SendBook(1, key)
					repeated.ExpectResponse(1, 200, "ran "+key)
				}
			})
		}
	}
}

// Guards against a client whose half requests are rejected, or cut off, because another client holds many.
func TestHalfRequestsOfOneClientLeaveThoseOfOthersAlone(t *testing.T) {
	t.Parallel()
	for _, half := range halfRequests {
		t.Run(half.name, func(t *testing.T) {
			t.Parallel()
			const limits = `"memory_mb":32,"sockets":384`
			server, interpreter := servertest.StartWith(t, `"memory_mb":192,"sockets":64`, limits)
			slow := server.ConnectRouter()
			slow.ExpectHealth(1, 200)
			id := server.NewRequestID()
			body := strings.Repeat("b", 2000)
			request := emulator.FastCGIRequest(1, "/rpc/look", body, servertest.RequestParameters(id))
			slow.WriteBytes(request[:len(request)-100])
			for range 9 {
				openHalfRequests(server, half, 31)
			}
			slow.WriteBytes(request[len(request)-100:])
			interpreter.ExpectApply(id, body)
			interpreter.CompleteRun(slow, 1, id, "whole")
		})
	}
}

// Guards against new connections that are closed unanswered because connections with half requests fill the table.
func TestHalfRequestsDoNotKeepNewConnectionsOut(t *testing.T) {
	t.Parallel()
	for _, sockets := range []int{60, 90, 384} {
		t.Run(fmt.Sprint(sockets), func(t *testing.T) {
			t.Parallel()
			server, interpreter := servertest.StartWith(t, `"sockets":64`, fmt.Sprintf(`"sockets":%d`, sockets))
			router := server.ConnectRouter()
			id := interpreter.StartBook(router, 1, "k")
			interpreter.CompleteRun(router, 1, id, "ran")
			busy := interpreter.StartLook(router, 1, "runs all the time")
			var maxConnections int
			_, text, _ := strings.Cut(server.LogText(), "connections=")
			_, err := fmt.Sscan(text, &maxConnections)
			server.NoError(err)
			for range maxConnections - 1 {
				openHalfRequests(server, halfRequests[0], 1)
			}
			for range 5 {
				repeated := server.ConnectRouter()
				repeated.SendBook(1, "k")
				repeated.ExpectResponse(1, 200, "ran")
			}
			interpreter.CompleteRun(router, 1, busy, "of a connection that carries a request")
		})
	}
}
