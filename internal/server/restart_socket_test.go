package server_test

import (
	"io"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"thistlequay/internal/servertest"
)

// After a SIGKILL another process starts on the same address and runs a request whose key ran before: without a store
// the key is not remembered.
func TestRestartAfterKillOnSameAddress(t *testing.T) {
	server, interpreter := servertest.Start(t)
	router := server.ConnectRouter()
	interpreter.StartBook(router, 1, "k")
	server.Kill()
	router.RequireClosed()
	server.WriteFilesAndStart()
	interpreter = server.AcceptInterpreter(0)
	router = server.ConnectRouter()
	id := interpreter.StartBook(router, 1, "k")
	interpreter.CompleteRun(router, 1, id, "new life")
}

// Signals that come while the configuration is still being read are handled once the program listens: a SIGHUP does
// not end it, and after a SIGTERM it exits with 0 by the shutdown deadline.
func TestSignalsDuringStartupAreHandledLater(t *testing.T) {
	server := servertest.New(t)
	server.Path = filepath.Join(t.TempDir(), "config.json")
	server.NoError(syscall.Mkfifo(server.Path, 0o600))
	server.Args = []string{"--config", server.Path}
	server.StartProcess()
	config, err := os.OpenFile(server.Path, os.O_WRONLY, 0) // blocks until the program reads
	server.NoError(err)
	server.Signal(syscall.SIGHUP)
	server.Signal(syscall.SIGTERM)
	signalled := time.Now()
	_, err = io.WriteString(config, server.Config)
	server.NoError(err)
	server.NoError(config.Close())
	server.WaitForLog("event=listening")
	go func() { // for the reload that SIGHUP causes, where the shutdown does not come first
		again, err := os.OpenFile(server.Path, os.O_WRONLY, 0)
		if err == nil {
			_, _ = io.WriteString(again, server.Config)
			servertest.CloseQuietly(again)
		}
	}()
	code, log := server.WaitForExit()
	server.Equal(0, code, log)
	server.Contains(log, "event=shutting_down")
	server.Less(time.Since(signalled), servertest.EventTimeout/4) // 1.5 s on an idle machine
	_ = os.Remove(server.Path)
}

// A process that closed a connection itself and is killed leaves its port in TIME_WAIT. Its next incarnation listens
// at once, answers health checks while the interpreter is not up, and serves once it is.
func TestRestartOnPortInTimeWaitWithLateInterpreter(t *testing.T) {
	server, interpreter := servertest.Start(t)
	router := server.ConnectRouter()
	router.WriteBytes(servertest.LastRequest(1, "/health", "", nil)) // the program closes the connection
	router.ExpectResponse(1, 200, "")
	server.Empty(server.ReadToEnd(router.Link))
	servertest.CloseQuietly(router)
	server.WaitFor(server.PortInTimeWait)
	server.Kill()
	servertest.CloseQuietly(interpreter)
	server.True(server.PortInTimeWait(), "the port is in TIME_WAIT")
	server.StartProcess()
	router = server.ConnectRouter()
	router.ExpectHealth(1, 200)
	router.SendLook(2, "too early")
	router.ExpectResponse(2, 503, "")
	interpreter = server.AcceptInterpreter(0)
	interpreter.ServeOne(router, 3, "once it is up")
}
