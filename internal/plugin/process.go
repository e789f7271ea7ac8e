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

// Process is the app server's handle to a plug-in process that is ready: every plug-in has been compiled, started and
// checked with its samples.
type Process struct {
	Spec        HostSpec
	Conn        net.Conn // carries frames in both directions
	Command     *exec.Cmd
	StartupTime time.Duration
}

// Start starts a plug-in process and waits until it is ready, at most for timeout. If a plug-in cannot be loaded, the
// error contains its name and the reason. The standard error of the process goes to errorOutput.
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
	p.Command.ExtraFiles = []*os.File{inherited} // the first extra file has the descriptor hostDescriptor
	p.Command.Stderr = errorOutput
	start := time.Now()
	err = p.Command.Start()
	// While this program also has the other end open, it would not notice that the process closes it.
	_ = inherited.Close() // the process has its own duplicate, so an error does not matter
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

// connPair returns the two ends of a new connection: one for this program and one for the plug-in process to inherit.
func connPair() (conn net.Conn, inherited *os.File, err error) {
	descriptors, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, nil, err
	}
	localFile := os.NewFile(uintptr(descriptors[0]), "plug-ins")
	inherited = os.NewFile(uintptr(descriptors[1]), "app server")
	conn, err = net.FileConn(localFile)
	_ = localFile.Close() // the connection uses a duplicate of the descriptor
	if err != nil {
		return nil, nil, errors.Join(err, inherited.Close())
	}
	return conn, inherited, nil
}

// handshake sends the configuration to the process and waits until the process is ready.
func (p *Process) handshake(timeout time.Duration) error {
	encodedSpec, err := json.Marshal(p.Spec)
	if err != nil {
		return err
	}
	if err := p.Conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	if _, err := p.Conn.Write(AppendFrame(nil, frameSpec, 0, 0, encodedSpec)); err != nil {
		return err
	}
	for {
		f, err := readFrame(p.Conn, MaxFrameSize)
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			return fmt.Errorf("the plug-ins were not ready within %v", timeout)
		case err != nil:
			return fmt.Errorf("the plug-in process ended while loading the plug-ins: %w", err)
		case f.Kind == FrameLoadFailed && f.PluginIndex < len(p.Spec.Plugins):
			return fmt.Errorf("plug-in %s %s", p.Spec.Plugins[f.PluginIndex].Name, f.Payload)
		case f.Kind == FrameReady:
			return p.Conn.SetDeadline(time.Time{})
		}
	}
}

// Stop closes the connection, kills the process and waits until it has ended.
func (p *Process) Stop() {
	_ = p.Conn.Close() // the process is killed next, so an error does not matter
	if p.Command.Process != nil {
		_ = p.Command.Process.Kill() // fails only if the process has already ended
		_ = p.Command.Wait()         // a killed process always ends with an error
	}
}
