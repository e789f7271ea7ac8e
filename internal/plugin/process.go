package plugin

// This file owns the beginning of a process of plug-ins, from the app server's side: it must never run on the loop.

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"time"

	"golang.org/x/sys/unix"
)

// Process is one that is ready: every plug-in has been compiled, started and tried.
type Process struct {
	Spec        HostSpec
	Conn        net.Conn // to the app server's loop, frames both ways
	Command     *exec.Cmd
	StartupTime time.Duration
}

// HostVerb is the word on the command line that has the program be such a process.
const HostVerb = "plugin-host"

const hostDescriptor = 3

// HostDescriptor is where the process finds its connection.
func HostDescriptor() uintptr { return hostDescriptor }

// Start begins a process and waits until it is ready, for so long at most. The error tells which plug-in was refused
// and why. What the process has to say besides frames goes to errs.
func Start(spec HostSpec, within time.Duration, errs io.Writer) (*Process, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	ours, theirs := os.NewFile(uintptr(pair[0]), "plug-ins"), os.NewFile(uintptr(pair[1]), "app server")
	conn, err := net.FileConn(ours)
	ours.Close()
	if err != nil {
		theirs.Close()
		return nil, err
	}
	p := &Process{Spec: spec, Conn: conn, Command: exec.Command(program, HostVerb)}
	p.Command.ExtraFiles = []*os.File{theirs} // the first is descriptor 3
	p.Command.Stderr = errs
	begun := time.Now()
	err = p.Command.Start()
	theirs.Close() // else its end would not be seen here
	if err != nil {
		conn.Close()
		return nil, err
	}
	if err := p.handshake(within); err != nil {
		p.Stop()
		return nil, err
	}
	p.StartupTime = time.Since(begun)
	return p, nil
}

func (p *Process) handshake(within time.Duration) error {
	text, err := json.Marshal(p.Spec)
	if err != nil {
		return err
	}
	if err := p.Conn.SetDeadline(time.Now().Add(within)); err != nil {
		return err
	}
	if _, err := p.Conn.Write(AppendFrame(nil, frameSpec, 0, 0, text)); err != nil {
		return err
	}
	for {
		f, err := readFrame(p.Conn, MaxFrameSize)
		switch {
		case os.IsTimeout(err):
			return fmt.Errorf("the plug-ins were not ready within %v", within)
		case err != nil:
			return fmt.Errorf("the process of the plug-ins ended while it loaded them: %w", err)
		case f.Kind == FrameRefused && f.PluginIndex < len(p.Spec.Plugins):
			return fmt.Errorf("plug-in %s %s", p.Spec.Plugins[f.PluginIndex].Name, f.Payload)
		case f.Kind == FrameReady:
			return p.Conn.SetDeadline(time.Time{})
		}
	}
}

// Stop ends the process and waits for that.
func (p *Process) Stop() {
	p.Conn.Close()
	if p.Command.Process != nil {
		_ = p.Command.Process.Kill()
		_ = p.Command.Wait()
	}
}

// AppendCall writes a question.
func AppendCall(to []byte, place, hook int, call uint64, within int64, request []byte) []byte {
	head := binary.LittleEndian.AppendUint32([]byte{byte(hook)}, uint32(within))
	return AppendFrame(to, FrameCall, place, call, head, request)
}

// Verdict reads what a verdict's frame holds.
func (f *Frame) Verdict() (how byte, took time.Duration, verdict []byte, ok bool) {
	if len(f.Payload) < 5 {
		return 0, 0, nil, false
	}
	return f.Payload[0], time.Duration(binary.LittleEndian.Uint32(f.Payload[1:])) * time.Microsecond, f.Payload[5:], true
}

// StateEntry reads what a frame on its memory holds.
func (f *Frame) StateEntry() (key string, value []byte, ok bool) {
	if len(f.Payload) < 1 || len(f.Payload) < 1+int(f.Payload[0]) {
		return "", nil, false
	}
	n := 1 + int(f.Payload[0])
	return string(f.Payload[1:n]), f.Payload[n:], true
}
