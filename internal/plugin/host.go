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

// HostVerb is the command line verb that makes the program a plug-in process.
const HostVerb = "plugin-host"

// hostDescriptor is the first of the files that a process inherits behind its standard ones.
const hostDescriptor = 3

// HostDescriptor is the descriptor at which the plug-in process finds its connection to the app server.
func HostDescriptor() uintptr { return hostDescriptor }

// HostSpec tells a plug-in process what to run. It passes as JSON.
type HostSpec struct {
	Plugins  []ModuleConfig `json:"Plugins"`
	Workers  int            `json:"Workers"`  // calls at once
	MemoryMB int            `json:"MemoryMB"` // resident memory of the whole process; it ends itself beyond
}

const (
	maxQueuedCalls  = 256 // that wait for a worker; a call beyond them is answered with CallNotStarted
	hostReadBuffer  = 64 << 10
	counterInterval = time.Second // between two frames with a plug-in's counters
	callTimeoutUnit = 100 * time.Microsecond
	highestHook     = 2 // of the ABI
)

// host is the plug-in process. Its goroutines live as long as the process: whoever called RunHost exits when it
// returns.
type host struct {
	modules []*module
	calls   chan callRequest
	out     *frameWriter
}

// callRequest is a call that waits for a worker.
type callRequest struct {
	pluginIndex int
	hook        int
	id          uint64
	deadline    time.Time
	request     []byte
}

// RunHost is the plug-in process: it serves the connection at a descriptor and returns an error when that ends, which
// it does with the app server. The caller exits then.
func RunHost(descriptor uintptr) error {
	conn, err := inheritedConn(descriptor)
	if err != nil {
		return err
	}
	in := bufio.NewReaderSize(conn, hostReadBuffer)
	spec, err := readSpec(in)
	if err != nil {
		return err
	}
	spec.applyLimits()
	ctx := context.Background()
	h := &host{calls: make(chan callRequest, maxQueuedCalls), out: &frameWriter{out: conn}}
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

// inheritedConn makes a connection of an inherited descriptor.
func inheritedConn(descriptor uintptr) (net.Conn, error) {
	file := os.NewFile(descriptor, "app server")
	conn, err := net.FileConn(file)
	_ = file.Close() // the connection has a duplicate
	return conn, err
}

// readSpec reads the first frame.
func readSpec(in io.Reader) (spec HostSpec, err error) {
	f, err := readFrame(in, maxSpecSize)
	if err != nil || f.Kind != frameSpec {
		return spec, errMalformedFrame
	}
	err = json.Unmarshal(f.Payload, &spec)
	return spec, err
}

// loadModules loads all plug-ins, and tells the app server about the first that can't be loaded.
func (h *host) loadModules(ctx context.Context, spec *HostSpec) error {
	for i, config := range spec.Plugins {
		emit := func(kind byte, payload []byte) { h.out.writeFrame(kind, i, 0, payload) }
		m, err := loadModule(ctx, config, spec.Workers, emit)
		if err != nil {
			h.out.writeFrame(FrameRefused, i, 0, []byte(err.Error()))
			return fmt.Errorf("load plug-in %s: %w", config.Name, err)
		}
		h.modules = append(h.modules, m)
		debug.FreeOSMemory() // what compiling took
	}
	return nil
}

// readCalls queues the calls that come, and returns when the connection ends or sends something else.
func (h *host) readCalls(in io.Reader) error {
	for {
		f, err := readFrame(in, MaxFrameSize)
		if err != nil {
			return err
		}
		isCall := f.Kind == FrameCall && f.PluginIndex < len(h.modules) &&
			len(f.Payload) >= callHeaderSize && f.Payload[0] <= highestHook
		if !isCall {
			return errMalformedFrame
		}
		timeout := time.Duration(binary.LittleEndian.Uint32(f.Payload[1:])) * callTimeoutUnit
		call := callRequest{
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

// serveCall calls the plug-in and sends the outcome.
func (h *host) serveCall(ctx context.Context, call callRequest) {
	timeout := time.Until(call.deadline)
	if timeout <= 0 {
		h.out.writeVerdict(call, CallNotStarted, 0, nil)
		return
	}
	verdict, took, err := h.modules[call.pluginIndex].call(ctx, call.hook, call.request, timeout)
	h.out.writeVerdict(call, outcomeOf(err), took, verdict)
}

// outcomeOf returns the outcome of a module's call that returned an error, or nil. There is a verdict with nil only.
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

// reportCounters sends the counters that have moved, at intervals and for ever.
func (h *host) reportCounters() {
	for range time.Tick(counterInterval) {
		for i, m := range h.modules {
			if moved := m.takeCounters(); moved != nil {
				text, _ := json.Marshal(moved) // a map of numbers always has a JSON text
				h.out.writeFrame(FrameCounters, i, 0, text)
			}
		}
	}
}

// frameWriter writes complete frames, from any goroutine.
type frameWriter struct {
	mu     sync.Mutex
	out    io.Writer
	buffer []byte
}

// writeFrame writes a frame. The process exits if the app server is gone.
func (w *frameWriter) writeFrame(kind byte, pluginIndex int, callID uint64, payload ...[]byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.buffer = AppendFrame(w.buffer[:0], kind, pluginIndex, callID, payload...)
	if _, err := w.out.Write(w.buffer); err != nil {
		os.Exit(0)
	}
}

// writeVerdict answers a call.
func (w *frameWriter) writeVerdict(call callRequest, outcome CallOutcome, took time.Duration, verdict []byte) {
	header := binary.LittleEndian.AppendUint32([]byte{byte(outcome)}, uint32(min(took.Microseconds(), 1<<31)))
	w.writeFrame(FrameVerdict, call.pluginIndex, call.id, header, verdict)
}
