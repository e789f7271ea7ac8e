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
	r, v := servertest.Start(t)
	c := r.ConnectRouter()
	id := c.SendLook(1, "a")
	v.ExpectApply(id, "a")
	v.SendAwait(id, "q")
	old := r.IndexCall(id)
	r.NextLink(r.Directory)
	config := r.Config
	for _, s := range []**emulator.Listener{&r.Interpreter, &r.Index, &r.Directory} {
		to := r.NewEmulator()
		r.Config = strings.Replace(r.Config, (*s).Address, to.Address, 1)
		r.NoError((*s).Listener.Close())
		*s = to
	}
	r.WriteFiles()
	r.NoError(r.Process.Process.Signal(syscall.SIGHUP))
	moved := r.AcceptInterpreter(v.LastNotice)
	moved.LastNotice = v.LastNotice
	_, err := v.Reader.ReadString(0)
	r.Error(err) // the old link is closed
	r.Equal("PUT /dir/nodes/n3 HTTP/1.1", r.ReadLine(r.NextLink(r.Directory)))
	r.WriteLine(old, "%s HIT 2\r\nok\r", id)
	o := moved.NextCommand()
	r.Equal("RESOLVE "+id, o.Type+" "+o.Job)
	moved.SendAwait(id, "q2")
	x := r.NextLink(r.Index)
	r.Contains(r.ReadLine(x), "GET "+id)
	moved.SendValue(id, "OK", "a")
	c.ExpectResponse(1, 200, "a")
	r.Config = "{"
	r.WriteFiles()
	r.NoError(r.Process.Process.Signal(syscall.SIGHUP))
	r.Config = strings.Replace(config, `"sockets":64`, `"sockets":65`, 1)
	moved.ServeOne(c, 2, "goes on")
	r.NoError(r.Process.Process.Signal(syscall.SIGTERM))
	_, log := r.WaitForExit()
	r.Contains(log, "event=configuration_rejected reason=")
}

// A program with an invalid configuration or a taken address logs one line and exits with 1.
func TestInvalidConfigurationsPreventStart(t *testing.T) {
	r := servertest.New(t)
	good := r.Config
	for from, to := range map[string]string{
		`"name":"n3"`: `"name":""`, `"stop_ms":1500`: `"stop_ms":-1`, `"cores":1.0`: `"cores":0`,
		`"memory_mb":192`: `"memory_mb":1`, `"sockets":64`: `"sockets":3`, `"Cores":2`: `"Cores":0`,
		`"MemoryKb":80000.0`: `"MemoryKb":-1`, `"settings":`: `"others":`, r.Interpreter.Address: "nowhere",
		`{"name"`:         `"name"`,
		`"OnTime":4000.0`: `"OnTime":1e300`,
	} {
		r.Config = strings.Replace(good, from, to, 1)
		r.NotEqual(good, r.Config, from)
		r.WriteFilesAndStart()
		code, log := r.WaitForExit()
		r.Equal(1, code, from)
		r.Equal(1, strings.Count(log, "\n"), log)
		r.Contains(log, "event=cannot_start reason=")
	}
	taken, err := net.Listen("tcp", r.Listen)
	r.NoError(err)
	defer servertest.CloseQuietly(taken)
	r.Config = good
	r.WriteFilesAndStart()
	code, log := r.WaitForExit()
	r.Equal(1, code)
	r.Contains(log, "address already in use")
}
