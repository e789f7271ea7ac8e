package server_test

import (
	"net"
	"strings"
	"syscall"
	"testing"
	"thistlequay/internal/emulator"
	"thistlequay/internal/servertest"
)

// A new configuration moves the program to other addresses: no request in flight is lost, and a downstream call that
// is out ends where it is. An invalid file changes nothing.
func TestReloadMovesAddressesWithoutLoss(t *testing.T) {
	server, interpreter := servertest.Start(t)
	router := server.ConnectRouter()
	id := router.SendLook(1, "a")
	interpreter.ExpectApply(id, "a")
	interpreter.SendAwait(id, "q")
	old := server.IndexCall(id)
	server.NextLink(server.Directory)
	config := server.Config
	for _, s := range []**emulator.Listener{&server.Interpreter, &server.Index, &server.Directory} {
		to := server.NewEmulator()
		server.Config = strings.Replace(server.Config, (*s).Address, to.Address, 1)
		server.NoError((*s).Listener.Close())
		*s = to
	}
	server.WriteFiles()
	server.NoError(server.Process.Process.Signal(syscall.SIGHUP))
	moved := server.AcceptInterpreter(interpreter.LastNotice)
	moved.LastNotice = interpreter.LastNotice
	_, err := interpreter.Reader.ReadString(0)
	server.Error(err) // the old link is closed
	server.Equal("PUT /dir/nodes/n3 HTTP/1.1", server.ReadLine(server.NextLink(server.Directory)))
	server.WriteLine(old, "%s HIT 2\r\nok\r", id)
	o := moved.NextCommand()
	server.Equal("RESOLVE "+id, o.Type+" "+o.Job)
	moved.SendAwait(id, "q2")
	index := server.NextLink(server.Index)
	server.Contains(server.ReadLine(index), "GET "+id)
	moved.SendValue(id, "OK", "a")
	router.ExpectResponse(1, 200, "a")
	server.Config = "{"
	server.WriteFiles()
	server.NoError(server.Process.Process.Signal(syscall.SIGHUP))
	server.Config = strings.Replace(config, `"sockets":64`, `"sockets":65`, 1)
	moved.ServeOne(router, 2, "goes on")
	server.NoError(server.Process.Process.Signal(syscall.SIGTERM))
	_, log := server.WaitForExit()
	server.Contains(log, "event=configuration_rejected reason=")
}

// A program with an invalid configuration or a taken address logs one line and exits with 1.
func TestInvalidConfigurationsPreventStart(t *testing.T) {
	server := servertest.New(t)
	good := server.Config
	for from, to := range map[string]string{
		`"name":"n3"`: `"name":""`, `"stop_ms":1500`: `"stop_ms":-1`, `"cores":1.0`: `"cores":0`,
		`"memory_mb":192`: `"memory_mb":1`, `"sockets":64`: `"sockets":3`, `"Cores":2`: `"Cores":0`,
		`"MemoryKb":80000.0`: `"MemoryKb":-1`, `"settings":`: `"others":`, server.Interpreter.Address: "nowhere",
		`{"name"`:         `"name"`,
		`"OnTime":4000.0`: `"OnTime":1e300`,
	} {
		server.Config = strings.Replace(good, from, to, 1)
		server.NotEqual(good, server.Config, from)
		server.WriteFilesAndStart()
		code, log := server.WaitForExit()
		server.Equal(1, code, from)
		server.Equal(1, strings.Count(log, "\n"), log)
		server.Contains(log, "event=cannot_start reason=")
	}
	taken, err := net.Listen("tcp", server.Listen)
	server.NoError(err)
	defer servertest.CloseQuietly(taken)
	server.Config = good
	server.WriteFilesAndStart()
	code, log := server.WaitForExit()
	server.Equal(1, code)
	server.Contains(log, "address already in use")
}
