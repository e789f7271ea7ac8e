package main

import (
	"net"
	"strings"
	"syscall"
	"testing"
	"thistlequay/internal/daemon"

	"github.com/stretchr/testify/require"
)

// A new configuration moves the program to other addresses: no request in flight is lost, and a downstream call that
// is out ends where it is. An invalid file changes nothing.
func TestReloadMovesAddressesWithoutLoss(t *testing.T) {
	r, v := startServer(t)
	c := r.connectRouter()
	id := c.sendLook(1, "a")
	v.expectApply(id, "a")
	v.sendAwait(id, "q")
	old := r.indexCall(id)
	r.nextLink(r.directory)
	config := r.config
	for _, s := range []**emulatedListener{&r.interpreter, &r.index, &r.directory} {
		to := r.newEmulator()
		r.config = strings.Replace(r.config, (*s).Address, to.Address, 1)
		r.NoError((*s).Listener.Close())
		*s = to
	}
	r.writeFiles()
	r.NoError(r.process.Process.Signal(syscall.SIGHUP))
	moved := r.acceptInterpreter(v.lastNotice)
	moved.lastNotice = v.lastNotice
	_, err := v.Reader.ReadString(0)
	r.Error(err) // the old link is closed
	r.Equal("PUT /dir/nodes/n3 HTTP/1.1", r.readLine(r.nextLink(r.directory)))
	r.writeLine(old, "%s HIT 2\r\nok\r", id)
	o := moved.nextCommand()
	r.Equal("RESOLVE "+id, o.Type+" "+o.Job)
	moved.sendAwait(id, "q2")
	x := r.nextLink(r.index)
	r.Contains(r.readLine(x), "GET "+id)
	moved.sendValue(id, "OK", "a")
	c.expectResponse(1, 200, "a")
	r.config = "{"
	r.writeFiles()
	r.NoError(r.process.Process.Signal(syscall.SIGHUP))
	r.config = strings.Replace(config, `"sockets":64`, `"sockets":65`, 1)
	moved.serveOne(c, 2, "goes on")
	r.NoError(r.process.Process.Signal(syscall.SIGTERM))
	_, log := r.waitForExit()
	r.Contains(log, "event=configuration_rejected reason=")
}

// A program with an invalid configuration or a taken address logs one line and exits with 1.
func TestInvalidConfigurationsPreventStart(t *testing.T) {
	r := newTestServer(t)
	good := r.config
	for from, to := range map[string]string{
		`"name":"n3"`: `"name":""`, `"stop_ms":1500`: `"stop_ms":-1`, `"cores":1.0`: `"cores":0`,
		`"memory_mb":192`: `"memory_mb":1`, `"sockets":64`: `"sockets":3`, `"Cores":2`: `"Cores":0`,
		`"MemoryKb":80000.0`: `"MemoryKb":-1`, `"settings":`: `"others":`, r.interpreter.Address: "nowhere",
		`{"name"`:         `"name"`,
		`"OnTime":4000.0`: `"OnTime":1e300`,
	} {
		r.config = strings.Replace(good, from, to, 1)
		r.NotEqual(good, r.config, from)
		r.writeFilesAndStart()
		code, log := r.waitForExit()
		r.Equal(1, code, from)
		r.Equal(1, strings.Count(log, "\n"), log)
		r.Contains(log, "event=cannot_start reason=")
	}
	taken, err := net.Listen("tcp", r.listen)
	r.NoError(err)
	defer closeQuietly(taken)
	r.config = good
	r.writeFilesAndStart()
	code, log := r.waitForExit()
	r.Equal(1, code)
	r.Contains(log, "address already in use")
}

func TestMissingConfigurationIsAnError(t *testing.T) {
	_, err := daemon.ReadPlatformConfig("")
	require.Error(t, err)
	_, err = daemon.ReadPlatformConfig("/nonexistent/config.json")
	require.Error(t, err)
}
