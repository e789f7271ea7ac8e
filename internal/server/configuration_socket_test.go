package server_test

import (
	"net"
	"strings"
	"syscall"
	"testing"

	"thistlequay/internal/emulator"
	"thistlequay/internal/servertest"
)

// moveEmulator starts an emulator on a new address, replaces the old address in the configuration with the new one, and
// closes the old listener.
func moveEmulator(server *servertest.Server, old *emulator.Listener) *emulator.Listener {
	server.T.Helper()
	moved := server.NewEmulator()
	server.Config = strings.Replace(server.Config, old.Address, moved.Address, 1)
	server.NoError(old.Listener.Close())
	return moved
}

// A reload with new addresses must not lose a request in flight, and a downstream call in flight must end on the
// connection on which it was sent. An invalid configuration must change nothing.
func TestReloadMovesAddressesWithoutLoss(t *testing.T) {
	server, interpreter := servertest.Start(t)
	router := server.ConnectRouter()
	id := interpreter.StartLook(router, 1, "a")
	interpreter.SendAwait(id, "q")
	oldIndex := server.IndexCall(id)
	server.NextLink(server.Directory)
	server.Interpreter = moveEmulator(server, server.Interpreter)
	server.Index = moveEmulator(server, server.Index)
	server.Directory = moveEmulator(server, server.Directory)
	server.WriteFilesAndSignal()
	moved := server.AcceptInterpreter(interpreter.LastNotice)
	_, err := interpreter.Reader.ReadString(0)
	server.Error(err) // the old link is closed
	server.Equal("PUT /dir/nodes/n3 HTTP/1.1", server.ReadLine(server.NextLink(server.Directory)))

	server.WriteLine(oldIndex, "%s HIT 2\r\nok\r", id)
	moved.ExpectCommand("RESOLVE", id)
	moved.SendAwait(id, "q2")
	index := server.NextLink(server.Index)
	server.Contains(server.ReadLine(index), "GET "+id)
	moved.CompleteRun(router, 1, id, "a")

	config := server.Config
	server.Config = "{"
	server.Reload()
	moved.ServeOne(router, 2, "after an invalid configuration")
	server.Config = config
	server.ReplaceConfig(`"sockets":64`, `"sockets":65`)
	server.Reload()
	moved.ServeOne(router, 3, "after a change that requires a restart")
	server.Signal(syscall.SIGTERM)
	_, log := server.WaitForExit()
	server.Contains(log, "event=configuration_rejected reason=")
	server.Contains(log, "requires_restart=sockets\n")
}

// startRejected starts the program with a configuration that must prevent the start, and returns the program's log. The
// test fails unless the exit code is 1.
func startRejected(server *servertest.Server) string {
	server.T.Helper()
	server.WriteFilesAndStart()
	code, log := server.WaitForExit()
	server.Equal(1, code)
	return log
}

// With an invalid configuration the program logs a single line with the reason and exits with code 1. If its address is
// in use, it logs that and exits with code 1.
func TestInvalidConfigurationsPreventStart(t *testing.T) {
	invalid := func(from, to string) func(t *testing.T) {
		return func(t *testing.T) {
			server := servertest.New(t)
			server.ReplaceConfig(strings.ReplaceAll(from, "INTERPRETER", server.Interpreter.Address), to)
			log := startRejected(server)
			server.Equal(1, strings.Count(log, "\n"), log)
			server.Contains(log, "event=cannot_start reason=")
		}
	}
	t.Run("empty name", invalid(`"name":"n3"`, `"name":""`))
	t.Run("negative shutdown deadline", invalid(`"stop_ms":1500`, `"stop_ms":-1`))
	t.Run("no cores", invalid(`"cores":1.0`, `"cores":0`))
	t.Run("too little memory", invalid(`"memory_mb":192`, `"memory_mb":1`))
	t.Run("too few sockets", invalid(`"sockets":64`, `"sockets":3`))
	t.Run("no cores in the settings", invalid(`"Cores":2`, `"Cores":0`))
	t.Run("negative memory in the settings", invalid(`"MemoryKb":80000.0`, `"MemoryKb":-1`))
	t.Run("unknown key", invalid(`"settings":`, `"others":`))
	t.Run("interpreter without a port", invalid("INTERPRETER", "nowhere"))
	t.Run("not JSON", invalid(`{"name"`, `"name"`))
	t.Run("objective out of range", invalid(`"OnTime":4000.0`, `"OnTime":1e300`))
	t.Run("address in use", func(t *testing.T) {
		server := servertest.New(t)
		other, err := net.Listen("tcp", server.Listen)
		server.NoError(err)
		defer servertest.CloseQuietly(other)
		server.Contains(startRejected(server), "address already in use")
	})
}
