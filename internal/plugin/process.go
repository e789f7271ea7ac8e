package plugin

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"time"

	"golang.org/x/sys/unix"
)

// Process is a plug-in process as the app server sees it. It is ready: every plug-in has been compiled, started and
// tried.
type Process struct {
	Spec        HostSpec
	Conn        net.Conn // carries frames both ways
	Command     *exec.Cmd
	StartupTime time.Duration
}

// Start starts a plug-in process and waits until it is ready, for timeout at most. The error names the plug-in that
// could not be loaded and the reason. What the process writes to its standard error goes to errorOutput.
//
// Start blocks and must not be called on the event loop. The caller stops the process with Stop.
func Start(spec HostSpec, timeout time.Duration, errorOutput io.Writer) (*Process, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	conn, inherited, err := connPair()
	if err != nil {
		return nil, err
	}
	p := &Process{Spec: spec, Conn: conn, Command: exec.Command(program, HostVerb)}
	p.Command.ExtraFiles = []*os.File{inherited} // the first of them is hostDescriptor
	p.Command.Stderr = errorOutput
	start := time.Now()
	err = p.Command.Start()
	// While this program has the other end too, it would not see the process close it.
	_ = inherited.Close() // it was only read from here, by the process that has its own duplicate
	if err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	if err := p.handshake(timeout); err != nil {
		p.Stop()
		return nil, err
	}
	p.StartupTime = time.Since(start)
	return p, nil
}

// connPair returns the two ends of a connection: one for this program, one for a process to inherit.
func connPair() (conn net.Conn, inherited *os.File, err error) {
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, nil, err
	}
	own := os.NewFile(uintptr(pair[0]), "plug-ins")
	inherited = os.NewFile(uintptr(pair[1]), "app server")
	conn, err = net.FileConn(own)
	_ = own.Close() // the connection has a duplicate
	if err != nil {
		return nil, nil, errors.Join(err, inherited.Close())
	}
	return conn, inherited, nil
}

// handshake tells the process what to run and waits until it is ready.
func (p *Process) handshake(timeout time.Duration) error {
	text, err := json.Marshal(p.Spec)
	if err != nil {
		return err
	}
	if err := p.Conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	if _, err := p.Conn.Write(AppendFrame(nil, frameSpec, 0, 0, text)); err != nil {
		return err
	}
	for {
		f, err := readFrame(p.Conn, MaxFrameSize)
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			return fmt.Errorf("the plug-ins were not ready within %v", timeout)
		case err != nil:
			return fmt.Errorf("the process of the plug-ins ended while it loaded them: %w", err)
		case f.Kind == FrameRefused && f.PluginIndex < len(p.Spec.Plugins):
			return fmt.Errorf("plug-in %s %s", p.Spec.Plugins[f.PluginIndex].Name, f.Payload)
		case f.Kind == FrameReady:
			return p.Conn.SetDeadline(time.Time{})
		}
	}
}

// Stop closes the connection, kills the process and waits for its end.
func (p *Process) Stop() {
	_ = p.Conn.Close() // the process is killed anyway
	if p.Command.Process != nil {
		_ = p.Command.Process.Kill() // fails only if the process has ended
		_ = p.Command.Wait()         // a killed process always ends with an error
	}
}
