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

// After a SIGKILL, another process starts on the same address and runs a request whose idempotency key ran before:
// without a store, keys are not remembered across restarts.
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

// Signals that arrive while the configuration is still being read are handled once the server listens: a SIGHUP does
// not end it, and after a SIGTERM it exits with 0 by the shutdown deadline.
func TestSignalsDuringStartupAreHandledLater(t *testing.T) {
	server := servertest.New(t)
	server.Path = filepath.Join(t.TempDir(), "config.json")
	server.NoError(syscall.Mkfifo(server.Path, 0o600))
	server.Args = []string{"--config", server.Path}
	server.StartProcess()
	config, err := os.OpenFile(server.Path, os.O_WRONLY, 0) // blocks until the server opens the file
	server.NoError(err)
	server.Signal(syscall.SIGHUP)
	server.Signal(syscall.SIGTERM)
	signalledAt := time.Now()
	_, err = io.WriteString(config, server.Config)
	server.NoError(err)
	server.NoError(config.Close())
	server.WaitForLog("event=listening")
	go func() { // serves the reload that SIGHUP causes, unless the shutdown comes first
		reloadConfig, err := os.OpenFile(server.Path, os.O_WRONLY, 0)
		if err == nil {
			_, _ = io.WriteString(reloadConfig, server.Config)
			servertest.CloseQuietly(reloadConfig)
		}
	}()
	code, log := server.WaitForExit()
	server.Equal(0, code, log)
	server.Contains(log, "event=shutting_down")
	server.Less(time.Since(signalledAt), servertest.EventTimeout/4) // 1.5 s on an idle machine
	_ = os.Remove(server.Path)
}

// A killed process that had closed a connection itself leaves its port in TIME_WAIT. The next process listens on it at
// once, answers health checks while the interpreter is not up, and serves requests once it is.
func TestRestartOnPortInTimeWaitWithLateInterpreter(t *testing.T) {
	server, interpreter := servertest.Start(t)
	router := server.ConnectRouter()
	router.WriteBytes(servertest.LastRequest(1, "/health", "", nil)) // the server closes the connection
	router.ExpectResponse(1, 200, "")
	server.Empty(server.ReadToEnd(router.Link))
	servertest.CloseQuietly(router)
	server.WaitFor(server.PortInTimeWait)
	server.Kill()
	servertest.CloseQuietly(interpreter)
	server.WaitFor(server.PortInTimeWait)
	server.StartProcess()
	router = server.ConnectRouter()
	router.ExpectHealth(1, 200)
	router.SendLook(2, "too early")
	router.ExpectResponse(2, 503, "")
	interpreter = server.AcceptInterpreter(0)
	interpreter.ServeOne(router, 3, "once it is up")
}
