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

// Spec is what a process is to run.
type Spec struct {
	Plugins  []One
	Workers  int
	MemoryMB int // all that the process may take; it ends itself beyond
}

// Frames are a length (32, of what follows), a kind, the plug-in's place (16), a call (64) and what is to be said.
const (
	frameSpec    = 'S'
	FrameReady   = 'Y'
	FrameRefused = 'N'
	FrameAsk     = 'A' // hook (8), within in tenths of a millisecond (32), the request
	FrameVerdict = 'V' // how (8), took in microseconds (32), the verdict
	frameLog     = 'L'
	frameKeep    = 'K' // length of the key (8), key, value
	frameCount   = 'C' // JSON of counters

	FrameLog   = frameLog
	FrameKeep  = frameKeep
	FrameCount = frameCount

	header      = 1 + 2 + 8
	MostFrame   = 64 << 10
	mostSpec    = 16 << 20
	queue       = 256
	niceness    = 10
	runtimeRoom = 128 << 20             // that Go maps for itself, and does not use
	guard       = 50 * time.Millisecond // the memory is looked at so often
)

// How a call ended.
const (
	Fine = iota
	WasCut
	Broke
	Unreadable
	NotAsked // there was no time left when its turn came
)

// AppendFrame writes one.
func AppendFrame(to []byte, kind byte, place int, call uint64, payload ...[]byte) []byte {
	n := header
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
	Kind    byte
	Place   int
	Call    uint64
	Payload []byte
}

// errFrame is a frame that is none.
var errFrame = errors.New("a frame that is none")

// Cut takes the first whole frame off data; ok is false where there is none yet.
func Cut(data []byte) (f Frame, rest []byte, ok bool, err error) {
	if len(data) < 4 {
		return f, data, false, nil
	}
	n := binary.LittleEndian.Uint32(data)
	if n < header || n > MostFrame {
		return f, data, false, errFrame
	}
	if uint32(len(data)-4) < n {
		return f, data, false, nil
	}
	body := data[4 : 4+n]
	return Frame{Kind: body[0], Place: int(binary.LittleEndian.Uint16(body[1:])), Call: binary.LittleEndian.Uint64(body[3:]),
		Payload: body[header:]}, data[4+n:], true, nil
}

func readFrame(in io.Reader, most uint32) (f Frame, err error) {
	var head [4]byte
	if _, err := io.ReadFull(in, head[:]); err != nil {
		return f, err
	}
	n := binary.LittleEndian.Uint32(head[:])
	if n < header || n > most {
		return f, errFrame
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(in, body); err != nil {
		return f, err
	}
	return Frame{Kind: body[0], Place: int(binary.LittleEndian.Uint16(body[1:])), Call: binary.LittleEndian.Uint64(body[3:]),
		Payload: body[header:]}, nil
}

// call is one that waits for a worker.
type call struct {
	place, hook int
	id          uint64
	due         time.Time
	request     []byte
}

// Main is the process: it speaks on the descriptor that it was given and ends with it. It never returns well.
func Main(descriptor uintptr) error {
	file := os.NewFile(descriptor, "app server")
	conn, err := net.FileConn(file)
	if err != nil {
		return err
	}
	file.Close()
	in := bufio.NewReaderSize(conn, 64<<10)
	f, err := readFrame(in, mostSpec)
	if err != nil || f.Kind != frameSpec {
		return errFrame
	}
	var spec Spec
	if err := json.Unmarshal(f.Payload, &spec); err != nil {
		return err
	}
	spec.bound()
	out := &writer{to: conn}
	ctx := context.Background()
	guests := make([]*guest, len(spec.Plugins))
	for i, one := range spec.Plugins {
		tell := func(kind byte, payload []byte) { out.frame(kind, i, 0, payload) }
		if guests[i], err = load(ctx, one, spec.Workers, tell); err != nil {
			out.frame(FrameRefused, i, 0, []byte(err.Error()))
			return err
		}
		debug.FreeOSMemory() // what compiling took
	}
	out.frame(FrameReady, 0, 0, nil)
	calls := make(chan call, queue)
	for range spec.Workers {
		go func() {
			for c := range calls {
				answer(ctx, guests[c.place], c, out)
			}
		}()
	}
	go counting(guests, out)
	for {
		f, err := readFrame(in, MostFrame)
		if err != nil {
			return err
		}
		if f.Kind != FrameAsk || f.Place >= len(guests) || len(f.Payload) < 5 || f.Payload[0] > 2 {
			return errFrame
		}
		within := time.Duration(binary.LittleEndian.Uint32(f.Payload[1:])) * 100 * time.Microsecond
		c := call{place: f.Place, hook: int(f.Payload[0]), id: f.Call, due: time.Now().Add(within), request: f.Payload[5:]}
		select {
		case calls <- c:
		default:
			out.verdict(c, NotAsked, 0, nil)
		}
	}
}

// bound keeps the process to its memory and behind the app server on the cores. Beyond its memory it ends itself: the
// kernel ends it where one step takes too much, the look at what it holds where it creeps there.
func (s *Spec) bound() {
	runtime.GOMAXPROCS(s.Workers + 1)
	_ = unix.Setpriority(unix.PRIO_PROCESS, 0, niceness)
	most := uint64(s.MemoryMB) << 20
	debug.SetMemoryLimit(int64(most * 3 / 4))
	debug.SetGCPercent(50)
	data := mapped() + 2*most + runtimeRoom
	_ = unix.Setrlimit(unix.RLIMIT_DATA, &unix.Rlimit{Cur: data, Max: data})
	go func() {
		for range time.Tick(guard) {
			if resident() > most {
				fmt.Fprintln(os.Stderr, "the process of the plug-ins is beyond its memory")
				os.Exit(3)
			}
		}
	}()
}

// resident and mapped are what the process holds in memory and what it could write to.
func resident() uint64 { return ofStatm(1) }
func mapped() uint64   { return ofStatm(5) }

func ofStatm(column int) uint64 {
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

func answer(ctx context.Context, g *guest, c call, out *writer) {
	within := time.Until(c.due)
	if within <= 0 {
		out.verdict(c, NotAsked, 0, nil)
		return
	}
	verdict, took, err := g.ask(ctx, c.hook, c.request, within)
	switch {
	case err == nil:
		out.verdict(c, Fine, took, verdict)
	case cut(err):
		out.verdict(c, WasCut, took, nil)
	case errors.Is(err, ErrNonsense):
		out.verdict(c, Unreadable, took, nil)
	default:
		out.verdict(c, Broke, took, nil)
	}
}

// counting tells counters that have moved, each second.
func counting(guests []*guest, out *writer) {
	for range time.Tick(time.Second) {
		for place, g := range guests {
			g.lock.Lock()
			text, _ := json.Marshal(g.counters)
			moved := len(g.counters) > 0
			clear(g.counters)
			g.lock.Unlock()
			if moved {
				out.frame(frameCount, place, 0, text)
			}
		}
	}
}

// writer has whole frames written, whoever writes.
type writer struct {
	lock sync.Mutex
	to   io.Writer
	room []byte
}

func (w *writer) frame(kind byte, place int, call uint64, payload ...[]byte) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.room = AppendFrame(w.room[:0], kind, place, call, payload...)
	if _, err := w.to.Write(w.room); err != nil {
		os.Exit(0) // the app server is gone
	}
}

func (w *writer) verdict(c call, how byte, took time.Duration, verdict []byte) {
	head := binary.LittleEndian.AppendUint32([]byte{how}, uint32(min(took.Microseconds(), 1<<31)))
	w.frame(FrameVerdict, c.place, c.id, head, verdict)
}
