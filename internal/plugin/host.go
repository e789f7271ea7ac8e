package plugin

import (
	"bufio"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"runtime/debug"
	"sync"
	"time"
)

// HostVerb is the command line verb with which the program runs as a plug-in process.
const HostVerb = "plugin-host"

// hostDescriptor is the descriptor of the first file that a process inherits after its standard input, output and
// error.
const hostDescriptor = 3

// HostDescriptor returns the file descriptor of the plug-in process's connection to the app server.
func HostDescriptor() uintptr { return hostDescriptor }

// HostSpec configures a plug-in process. The app server sends it to the process as JSON.
type HostSpec struct {
	Plugins  []ModuleConfig `json:"Plugins"`
	Workers  int            `json:"Workers"`  // number of calls that run concurrently
	MemoryMB int            `json:"MemoryMB"` // resident memory of the whole process, which exits if it exceeds this
}

const (
	maxQueuedCalls     = 256                    // calls that wait for a worker; further calls end with CallNotStarted
	hostReadBufferSize = 64 << 10               // bytes
	counterInterval    = time.Second            // time between two reports of a plug-in's counters
	callTimeoutUnit    = 100 * time.Microsecond // unit of the timeout in a FrameCall payload
	maxHook            = 2                      // highest hook number of the ABI
)

// host is the state of the plug-in process. Its goroutines are never stopped, because the caller of RunHost exits the
// process when RunHost returns.
type host struct {
	modules []*module
	calls   chan queuedCall
	out     *frameWriter
}

// queuedCall is a call of a plug-in's hook that waits for a worker.
type queuedCall struct {
	pluginIndex int
	hook        int
	id          uint64
	deadline    time.Time
	request     []byte
}

// RunHost runs the plug-in process: it serves the connection to the app server at the given file descriptor. It returns
// an error when the connection ends, which it does at the latest when the app server exits. The caller must then exit
// the process.
func RunHost(descriptor uintptr) error {
	conn, err := inheritedConn(descriptor)
	if err != nil {
		return err
	}
	in := bufio.NewReaderSize(conn, hostReadBufferSize)
	spec, err := readSpec(in)
	if err != nil {
		return err
	}
	spec.applyLimits()
	ctx := context.Background()
	h := &host{calls: make(chan queuedCall, maxQueuedCalls), out: &frameWriter{out: conn}}
	if err := h.loadModules(ctx, &spec); err != nil {
		return err
	}
	h.out.writeFrame(FrameReady, 0, 0, nil)
	for range spec.Workers {
		go func() {
			for call := range h.calls {
				h.serveCall(ctx, call)
			}
		}()
	}
	go h.reportCounters()
	return h.readCalls(in)
}

// inheritedConn returns the connection at an inherited file descriptor.
func inheritedConn(descriptor uintptr) (net.Conn, error) {
	file := os.NewFile(descriptor, "app server")
	conn, err := net.FileConn(file)
	_ = file.Close() // the connection uses a duplicate of the descriptor
	return conn, err
}

// readSpec reads the configuration of the process from the first frame.
func readSpec(in io.Reader) (spec HostSpec, err error) {
	f, err := readFrame(in, maxSpecSize)
	if err != nil || f.Kind != frameSpec {
		return spec, errMalformedFrame
	}
	err = json.Unmarshal(f.Payload, &spec)
	return spec, err
}

// loadModules loads all plug-ins. If one cannot be loaded, it reports the reason to the app server and stops.
func (h *host) loadModules(ctx context.Context, spec *HostSpec) error {
	for i, config := range spec.Plugins {
		emit := func(kind byte, payload []byte) { h.out.writeFrame(kind, i, 0, payload) }
		m, err := loadModule(ctx, config, spec.Workers, emit)
		if err != nil {
			h.out.writeFrame(FrameLoadFailed, i, 0, []byte(err.Error()))
			return fmt.Errorf("load plug-in %s: %w", config.Name, err)
		}
		h.modules = append(h.modules, m)
		debug.FreeOSMemory() // returns the memory that compilation used
	}
	return nil
}

// readCalls reads calls from the connection and queues them. It returns when the connection ends or when a frame is not
// a valid call.
func (h *host) readCalls(in io.Reader) error {
	for {
		f, err := readFrame(in, MaxFrameSize)
		if err != nil {
			return err
		}
		isCall := f.Kind == FrameCall && f.PluginIndex < len(h.modules) &&
			len(f.Payload) >= callHeaderSize && f.Payload[0] <= maxHook
		if !isCall {
			return errMalformedFrame
		}
		timeout := time.Duration(binary.LittleEndian.Uint32(f.Payload[1:])) * callTimeoutUnit
		call := queuedCall{
			pluginIndex: f.PluginIndex,
			hook:        int(f.Payload[0]),
			id:          f.CallID,
			deadline:    time.Now().Add(timeout),
			request:     f.Payload[callHeaderSize:],
		}
		select {
		case h.calls <- call:
		default:
			h.out.writeVerdict(call, CallNotStarted, 0, nil)
		}
	}
}

// serveCall calls the plug-in and sends the outcome to the app server.
func (h *host) serveCall(ctx context.Context, call queuedCall) {
	timeout := time.Until(call.deadline)
	if timeout <= 0 {
		h.out.writeVerdict(call, CallNotStarted, 0, nil)
		return
	}
	verdict, elapsed, err := h.modules[call.pluginIndex].call(ctx, call.hook, call.request, timeout)
	h.out.writeVerdict(call, outcomeOf(err), elapsed, verdict)
}

// outcomeOf returns the outcome for the error that a module's call returned. A nil error means that the call succeeded;
// only then is there a verdict.
func outcomeOf(err error) CallOutcome {
	switch {
	case err == nil:
		return CallSucceeded
	case isTimeout(err):
		return CallTimedOut
	case errors.Is(err, ErrMalformedVerdict):
		return CallMalformed
	default:
		return CallTrapped
	}
}

// reportCounters sends the counters that have changed to the app server, every counterInterval. It never returns.
func (h *host) reportCounters() {
	for range time.Tick(counterInterval) {
		for i, m := range h.modules {
			if increments := m.takeCounters(); increments != nil {
				encoded, _ := json.Marshal(increments) // encoding a map of integers cannot fail
				h.out.writeFrame(FrameCounters, i, 0, encoded)
			}
		}
	}
}

// frameWriter writes frames. It is safe for concurrent use and never interleaves two frames.
type frameWriter struct {
	mu     sync.Mutex
	out    io.Writer
	buffer []byte
}

// writeFrame writes a frame. If writing fails, the app server has exited, and so the process exits too.
func (w *frameWriter) writeFrame(kind byte, pluginIndex int, callID uint64, payload ...[]byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.buffer = AppendFrame(w.buffer[:0], kind, pluginIndex, callID, payload...)
	if _, err := w.out.Write(w.buffer); err != nil {
		os.Exit(0)
	}
}

// writeVerdict sends the outcome of a call.
func (w *frameWriter) writeVerdict(call queuedCall, outcome CallOutcome, elapsed time.Duration, verdict []byte) {
	header := binary.LittleEndian.AppendUint32([]byte{byte(outcome)}, uint32(min(elapsed.Microseconds(), 1<<31)))
	w.writeFrame(FrameVerdict, call.pluginIndex, call.id, header, verdict)
}
