package plugin

// This file owns the process that runs plug-ins: its bounds, its workers, the frames it reads and writes. It must never
// outlive the app server that began it, nor hold more calls than its queue has room for.

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// HostSpec is what a process is to run.
type HostSpec struct {
	Plugins  []ModuleConfig
	Workers  int
	MemoryMB int // all that the process may take; it ends itself beyond
}

// Frames are a length (32, of what follows), a kind, the plug-in's place (16), a call (64) and what is to be said.
const (
	frameSpec     = 'S'
	FrameReady    = 'Y'
	FrameRefused  = 'N'
	FrameCall     = 'A' // hook (8), within in tenths of a millisecond (32), the request
	FrameVerdict  = 'V' // how (8), took in microseconds (32), the verdict
	frameLog      = 'L'
	frameState    = 'K' // length of the key (8), key, value
	frameCounters = 'C' // JSON of counters

	FrameLog      = frameLog
	FrameState    = frameState
	FrameCounters = frameCounters

	frameHeaderSize     = 1 + 2 + 8
	MaxFrameSize        = 64 << 10
	maxSpecSize         = 16 << 20
	maxQueuedCalls      = 256
	niceness            = 10
	goRuntimeReserve    = 128 << 20             // that Go maps for itself, and does not use
	memoryCheckInterval = 50 * time.Millisecond // the memory is looked at so often
)

// How a call ended.
const (
	CallSucceeded = iota
	CallTimedOut
	CallTrapped
	CallMalformed
	CallNotStarted // there was no time left when its turn came
)

// AppendFrame writes one.
func AppendFrame(to []byte, kind byte, place int, call uint64, payload ...[]byte) []byte {
	n := frameHeaderSize
	for _, p := range payload {
		n += len(p)
	}
	to = binary.LittleEndian.AppendUint32(to, uint32(n))
	to = binary.LittleEndian.AppendUint16(append(to, kind), uint16(place))
	to = binary.LittleEndian.AppendUint64(to, call)
	for _, p := range payload {
		to = append(to, p...)
	}
	return to
}

// Frame is one as it was read.
type Frame struct {
	Kind        byte
	PluginIndex int
	CallID      uint64
	Payload     []byte
}

// errMalformedFrame is a frame that is none.
var errMalformedFrame = errors.New("a frame that is none")

// ParseFrame takes the first whole frame off data; ok is false where there is none yet.
func ParseFrame(data []byte) (f Frame, rest []byte, ok bool, err error) {
	if len(data) < 4 {
		return f, data, false, nil
	}
	n := binary.LittleEndian.Uint32(data)
	if n < frameHeaderSize || n > MaxFrameSize {
		return f, data, false, errMalformedFrame
	}
	if uint32(len(data)-4) < n {
		return f, data, false, nil
	}
	body := data[4 : 4+n]
	return Frame{Kind: body[0], PluginIndex: int(binary.LittleEndian.Uint16(body[1:])), CallID: binary.LittleEndian.Uint64(body[3:]),
		Payload: body[frameHeaderSize:]}, data[4+n:], true, nil
}

func readFrame(in io.Reader, most uint32) (f Frame, err error) {
	var head [4]byte
	if _, err := io.ReadFull(in, head[:]); err != nil {
		return f, err
	}
	n := binary.LittleEndian.Uint32(head[:])
	if n < frameHeaderSize || n > most {
		return f, errMalformedFrame
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(in, body); err != nil {
		return f, err
	}
	return Frame{Kind: body[0], PluginIndex: int(binary.LittleEndian.Uint16(body[1:])), CallID: binary.LittleEndian.Uint64(body[3:]),
		Payload: body[frameHeaderSize:]}, nil
}

// callRequest is one that waits for a worker.
type callRequest struct {
	pluginIndex, hook int
	id                uint64
	deadline          time.Time
	request           []byte
}

// RunHost is the process: it speaks on the descriptor that it was given and ends with it. It never returns well.
func RunHost(descriptor uintptr) error {
	file := os.NewFile(descriptor, "app server")
	conn, err := net.FileConn(file)
	if err != nil {
		return err
	}
	file.Close()
	in := bufio.NewReaderSize(conn, 64<<10)
	f, err := readFrame(in, maxSpecSize)
	if err != nil || f.Kind != frameSpec {
		return errMalformedFrame
	}
	var spec HostSpec
	if err := json.Unmarshal(f.Payload, &spec); err != nil {
		return err
	}
	spec.applyLimits()
	out := &frameWriter{out: conn}
	ctx := context.Background()
	guests := make([]*module, len(spec.Plugins))
	for i, one := range spec.Plugins {
		tell := func(kind byte, payload []byte) { out.writeFrame(kind, i, 0, payload) }
		if guests[i], err = loadModule(ctx, one, spec.Workers, tell); err != nil {
			out.writeFrame(FrameRefused, i, 0, []byte(err.Error()))
			return err
		}
		debug.FreeOSMemory() // what compiling took
	}
	out.writeFrame(FrameReady, 0, 0, nil)
	calls := make(chan callRequest, maxQueuedCalls)
	for range spec.Workers {
		go func() {
			for c := range calls {
				serveCall(ctx, guests[c.pluginIndex], c, out)
			}
		}()
	}
	go reportCounters(guests, out)
	for {
		f, err := readFrame(in, MaxFrameSize)
		if err != nil {
			return err
		}
		if f.Kind != FrameCall || f.PluginIndex >= len(guests) || len(f.Payload) < 5 || f.Payload[0] > 2 {
			return errMalformedFrame
		}
		within := time.Duration(binary.LittleEndian.Uint32(f.Payload[1:])) * 100 * time.Microsecond
		c := callRequest{pluginIndex: f.PluginIndex, hook: int(f.Payload[0]), id: f.CallID, deadline: time.Now().Add(within), request: f.Payload[5:]}
		select {
		case calls <- c:
		default:
			out.writeVerdict(c, CallNotStarted, 0, nil)
		}
	}
}

// applyLimits keeps the process to its memory and behind the app server on the cores. Beyond its memory it ends itself: the
// kernel ends it where one step takes too much, the look at what it holds where it creeps there.
func (s *HostSpec) applyLimits() {
	runtime.GOMAXPROCS(s.Workers + 1)
	_ = unix.Setpriority(unix.PRIO_PROCESS, 0, niceness)
	most := uint64(s.MemoryMB) << 20
	debug.SetMemoryLimit(int64(most * 3 / 4))
	debug.SetGCPercent(50)
	data := writableBytes() + 2*most + goRuntimeReserve
	_ = unix.Setrlimit(unix.RLIMIT_DATA, &unix.Rlimit{Cur: data, Max: data})
	go func() {
		for range time.Tick(memoryCheckInterval) {
			if residentBytes() > most {
				fmt.Fprintln(os.Stderr, "the process of the plug-ins is beyond its memory")
				os.Exit(3)
			}
		}
	}()
}

// residentBytes and mapped are what the process holds in memory and what it could write to.
func residentBytes() uint64 { return statmBytes(1) }
func writableBytes() uint64 { return statmBytes(5) }

func statmBytes(column int) uint64 {
	text, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	fields := bytes.Fields(text)
	if column >= len(fields) {
		return 0
	}
	pages, _ := strconv.ParseUint(string(fields[column]), 10, 64)
	return pages * uint64(os.Getpagesize())
}

func serveCall(ctx context.Context, g *module, c callRequest, out *frameWriter) {
	within := time.Until(c.deadline)
	if within <= 0 {
		out.writeVerdict(c, CallNotStarted, 0, nil)
		return
	}
	verdict, took, err := g.call(ctx, c.hook, c.request, within)
	switch {
	case err == nil:
		out.writeVerdict(c, CallSucceeded, took, verdict)
	case isTimeout(err):
		out.writeVerdict(c, CallTimedOut, took, nil)
	case errors.Is(err, ErrMalformedVerdict):
		out.writeVerdict(c, CallMalformed, took, nil)
	default:
		out.writeVerdict(c, CallTrapped, took, nil)
	}
}

// reportCounters tells counters that have moved, each second.
func reportCounters(guests []*module, out *frameWriter) {
	for range time.Tick(time.Second) {
		for place, g := range guests {
			g.mu.Lock()
			text, _ := json.Marshal(g.counters)
			moved := len(g.counters) > 0
			clear(g.counters)
			g.mu.Unlock()
			if moved {
				out.writeFrame(frameCounters, place, 0, text)
			}
		}
	}
}

// frameWriter has whole frames written, whoever writes.
type frameWriter struct {
	mu     sync.Mutex
	out    io.Writer
	buffer []byte
}

func (w *frameWriter) writeFrame(kind byte, place int, call uint64, payload ...[]byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.buffer = AppendFrame(w.buffer[:0], kind, place, call, payload...)
	if _, err := w.out.Write(w.buffer); err != nil {
		os.Exit(0) // the app server is gone
	}
}

func (w *frameWriter) writeVerdict(c callRequest, how byte, took time.Duration, verdict []byte) {
	head := binary.LittleEndian.AppendUint32([]byte{how}, uint32(min(took.Microseconds(), 1<<31)))
	w.writeFrame(FrameVerdict, c.pluginIndex, c.id, head, verdict)
}
