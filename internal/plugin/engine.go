// Package plugin runs plug-ins: WebAssembly modules, in a process of their own beside the app server, so that whatever
// one does to memory or to a core it does there. engine.go owns a module and its instances, process.go the process and
// its frames, start.go what the app server's side needs to begin one. It must never decide what a verdict is worth.
package plugin

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"math/rand"
	"os"
	"sync"
	"time"

	"github.com/tetratelabs/wazero"
	"github.com/tetratelabs/wazero/api"
	"github.com/tetratelabs/wazero/imports/wasi_snapshot_preview1"
	"github.com/tetratelabs/wazero/sys"

	"thistlequay/internal/plugin/abi"
)

// One is one plug-in as the settings have it.
type One struct {
	Name     string            `json:"Name"`
	File     string            `json:"File"`
	SHA256   string            `json:"SHA256"`   // hex; refused if the file differs; any where empty
	MemoryKB int               `json:"MemoryKB"` // linear memory of one instance, in pages of 64
	CodeKB   int               `json:"CodeKB"`   // the most the file may have
	Start    time.Duration     `json:"Start"`    // for its start and for each sample
	Compile  bool              `json:"Compile"`  // to machine code; else interpreted
	Hooks    [3]bool           `json:"Hooks"`
	Samples  []Sample          `json:"Samples"`
	Keep     map[string][]byte `json:"Keep"`   // its memory from the process before
	KeepKB   int               `json:"KeepKB"` // the most that memory may have, keys and values
	Seed     int64             `json:"Seed"`
}

// Sample is a request that a new version must answer before any work item sees it.
type Sample struct {
	Hook     int    `json:"Hook"`
	Category string `json:"Category"`
	Tenant   string `json:"Tenant"`
	Body     string `json:"Body"`
	Does     *int   `json:"Does"` // what it must do, where that is told
	Status   int    `json:"Status"`
}

// Bounds that hold for every plug-in.
const (
	page        = 64 << 10
	mostVerdict = 16 << 10
	mostKey     = 128
	mostValue   = 4 << 10
	mostKeys    = 1024
	mostLine    = 256
	linesBurst  = 20 // log lines at once, and so many a second
	mostName    = 32
	mostNames   = 32 // of counters
)

// ErrNonsense is a verdict that cannot be read: pointers outside the memory, too long, no message.
var ErrNonsense = errors.New("what it gave cannot be read")

// guest is one plug-in, compiled once.
type guest struct {
	One
	runtime  wazero.Runtime
	code     wazero.CompiledModule
	idle     chan *instance
	tell     func(kind byte, payload []byte)
	lock     sync.Mutex
	keep     map[string][]byte
	kept     int
	counters map[string]int64
	lines    float64
	linesAt  time.Time
	muted    int
	chance   *rand.Rand
}

// instance is one running copy; it is asked by one worker at a time.
type instance struct {
	module api.Module
	buffer api.Function
	hooks  [3]api.Function
	stack  []uint64
}

var exports = [3]string{"tq_read", "tq_result", "tq_tick"}

// load compiles a plug-in, starts one instance and tries it on its samples.
func load(ctx context.Context, one One, instances int, tell func(kind byte, payload []byte)) (*guest, error) {
	info, err := os.Stat(one.File)
	if err != nil {
		return nil, err
	}
	if info.Size() > int64(one.CodeKB)<<10 {
		return nil, fmt.Errorf("%s has %d KB, %d at most", one.File, info.Size()>>10, one.CodeKB)
	}
	text, err := os.ReadFile(one.File)
	if err != nil {
		return nil, err
	}
	bytes := sha256.Sum256(text)
	sum := hex.EncodeToString(bytes[:])
	if one.SHA256 != "" && sum != one.SHA256 {
		return nil, fmt.Errorf("%s has sha256 %s, the settings pin %s", one.File, sum, one.SHA256)
	}
	one.SHA256 = sum
	config := wazero.NewRuntimeConfigInterpreter()
	if one.Compile {
		config = wazero.NewRuntimeConfigCompiler()
	}
	g := &guest{One: one, keep: map[string][]byte{}, counters: map[string]int64{}, lines: linesBurst, linesAt: time.Now(),
		chance: rand.New(rand.NewSource(one.Seed)), tell: tell, idle: make(chan *instance, instances)}
	for k, v := range one.Keep {
		g.keep[k] = v
		g.kept += len(k) + len(v)
	}
	g.runtime = wazero.NewRuntimeWithConfig(ctx, config.WithCloseOnContextDone(true).
		WithMemoryLimitPages(uint32(max(1, one.MemoryKB<<10/page))))
	if _, err := wasi_snapshot_preview1.Instantiate(ctx, g.runtime); err != nil {
		return nil, err
	}
	if err := g.offer(ctx); err != nil {
		return nil, err
	}
	if g.code, err = g.runtime.CompileModule(ctx, text); err != nil {
		return nil, fmt.Errorf("is no module that can be run: %w", err)
	}
	i, err := g.instance(ctx)
	if err != nil {
		return nil, err
	}
	g.idle <- i
	for n, s := range one.Samples {
		q := abi.Request{Hook: s.Hook, Left: 1000, Now: time.Now().UnixMilli(), Category: s.Category, Tenant: s.Tenant, Body: []byte(s.Body)}
		out, _, err := g.ask(ctx, s.Hook, q.Append(nil), one.Start)
		if err != nil {
			return nil, fmt.Errorf("sample %d: %w", n+1, err)
		}
		v, err := abi.ReadVerdict(out)
		if err != nil {
			return nil, fmt.Errorf("sample %d: %w", n+1, err)
		}
		if s.Does != nil && (v.Does != *s.Does || s.Status != 0 && v.Status != s.Status) {
			return nil, fmt.Errorf("sample %d: does %d with status %d, expected %d with %d", n+1, v.Does, v.Status, *s.Does, s.Status)
		}
	}
	return g, nil
}

// instance starts a copy, within the time for that.
func (g *guest) instance(ctx context.Context) (i *instance, err error) {
	within, cancel := context.WithTimeout(ctx, g.Start)
	defer cancel()
	m, err := g.runtime.InstantiateModule(within, g.code, wazero.NewModuleConfig().WithName("").
		WithStartFunctions("_initialize").WithRandSource(rand.New(rand.NewSource(g.Seed))))
	if err != nil {
		return nil, fmt.Errorf("does not start: %w", err)
	}
	i = &instance{module: m, buffer: m.ExportedFunction("tq_buffer"), stack: make([]uint64, 4)}
	if i.module.Memory() == nil || i.buffer == nil || len(i.buffer.Definition().ParamTypes()) != 1 || len(i.buffer.Definition().ResultTypes()) != 1 {
		return nil, errors.New("exports no memory or no tq_buffer(length) pointer")
	}
	version := m.ExportedFunction("tq_abi")
	if version == nil || len(version.Definition().ParamTypes()) != 0 || len(version.Definition().ResultTypes()) != 1 {
		return nil, errors.New("exports no tq_abi(), which tells its version")
	}
	got, err := version.Call(within)
	if err != nil {
		return nil, fmt.Errorf("does not tell its version: %w", err)
	}
	if uint32(got[0]) != abi.Version {
		return nil, fmt.Errorf("is of version %d, this program speaks %d", uint32(got[0]), abi.Version)
	}
	for hook, name := range exports {
		if !g.Hooks[hook] {
			continue
		}
		f := m.ExportedFunction(name)
		if f == nil || len(f.Definition().ParamTypes()) != 2 || len(f.Definition().ResultTypes()) != 1 ||
			f.Definition().ResultTypes()[0] != api.ValueTypeI64 {
			return nil, fmt.Errorf("is granted a hook but exports no %s(pointer, length) i64", name)
		}
		i.hooks[hook] = f
	}
	return i, nil
}

// ask has the plug-in answer a request. The bytes given are its own copy. An instance that broke, or was cut, is thrown
// away and another takes its place when one is needed.
func (g *guest) ask(ctx context.Context, hook int, request []byte, within time.Duration) (out []byte, took time.Duration, err error) {
	var i *instance
	select {
	case i = <-g.idle:
	default:
		if i, err = g.instance(ctx); err != nil {
			return nil, 0, err
		}
	}
	begun := time.Now()
	limited, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	out, err = i.call(limited, hook, request)
	took = time.Since(begun)
	if err != nil {
		i.module.Close(context.Background())
		return nil, took, err
	}
	select {
	case g.idle <- i:
	default:
		i.module.Close(context.Background())
	}
	return out, took, nil
}

func (i *instance) call(ctx context.Context, hook int, request []byte) ([]byte, error) {
	f := i.hooks[hook]
	if f == nil {
		return nil, errors.New("has no such hook")
	}
	i.stack[0] = uint64(len(request))
	if err := i.buffer.CallWithStack(ctx, i.stack); err != nil {
		return nil, err
	}
	at := uint32(i.stack[0])
	if !i.module.Memory().Write(at, request) {
		return nil, ErrNonsense
	}
	i.stack[0], i.stack[1] = uint64(at), uint64(len(request))
	if err := f.CallWithStack(ctx, i.stack); err != nil {
		return nil, err
	}
	at, n := uint32(i.stack[0]>>32), uint32(i.stack[0])
	if n == 0 {
		return nil, nil
	}
	if n > mostVerdict {
		return nil, ErrNonsense
	}
	view, ok := i.module.Memory().Read(at, n)
	if !ok {
		return nil, ErrNonsense
	}
	return append([]byte(nil), view...), nil
}

// cut says whether an error is that the time was over.
func cut(err error) bool {
	var exit *sys.ExitError
	return errors.Is(err, context.DeadlineExceeded) ||
		errors.As(err, &exit) && (exit.ExitCode() == sys.ExitCodeDeadlineExceeded || exit.ExitCode() == sys.ExitCodeContextCanceled)
}

// offer gives plug-ins what they may call. Whatever they pass is checked; what does not fit does nothing.
func (g *guest) offer(ctx context.Context) error {
	text := func(m api.Module, at, n uint32, most int) (string, bool) {
		if n > uint32(most) {
			return "", false
		}
		view, ok := m.Memory().Read(at, n)
		return string(view), ok
	}
	b := g.runtime.NewHostModuleBuilder("thistlequay")
	b.NewFunctionBuilder().WithFunc(func(_ context.Context, m api.Module, at, n uint32) {
		if line, ok := text(m, at, min(n, mostLine), mostLine); ok {
			g.say(line)
		}
	}).Export("log")
	b.NewFunctionBuilder().WithFunc(func(_ context.Context, m api.Module, at, n uint32, by int64) {
		if name, ok := text(m, at, n, mostName); ok {
			g.count(name, by)
		}
	}).Export("count")
	b.NewFunctionBuilder().WithFunc(func(_ context.Context, m api.Module, key, keyN, to, room uint32) int32 {
		name, ok := text(m, key, keyN, mostKey)
		if !ok {
			return -1
		}
		g.lock.Lock()
		value, found := g.keep[name]
		g.lock.Unlock()
		if !found {
			return -1
		}
		if uint32(len(value)) <= room && !m.Memory().Write(to, value) {
			return -1
		}
		return int32(len(value))
	}).Export("get")
	b.NewFunctionBuilder().WithFunc(func(_ context.Context, m api.Module, key, keyN, at, n uint32) int32 {
		name, ok := text(m, key, keyN, mostKey)
		value, ok2 := text(m, at, n, mostValue)
		if !ok || !ok2 || !g.put(name, value) {
			return -1
		}
		return 0
	}).Export("put")
	b.NewFunctionBuilder().WithFunc(func(context.Context) int64 { return time.Now().UnixMilli() }).Export("now")
	b.NewFunctionBuilder().WithFunc(func(context.Context) int64 {
		g.lock.Lock()
		defer g.lock.Unlock()
		return g.chance.Int63()
	}).Export("chance")
	_, err := b.Instantiate(ctx)
	return err
}

// say passes a line on, so many a second and no more.
func (g *guest) say(line string) {
	g.lock.Lock()
	defer g.lock.Unlock()
	now := time.Now()
	g.lines = min(linesBurst, g.lines+now.Sub(g.linesAt).Seconds()*linesBurst)
	if g.linesAt = now; g.lines < 1 {
		g.muted++
		return
	}
	g.lines--
	if g.muted > 0 {
		line = fmt.Sprintf("%s (%d lines before it were not passed on)", line, g.muted)
		g.muted = 0
	}
	g.tell(frameLog, []byte(line))
}

func (g *guest) count(name string, by int64) {
	g.lock.Lock()
	defer g.lock.Unlock()
	if _, known := g.counters[name]; known || len(g.counters) < mostNames {
		g.counters[name] += by
	}
}

// put keeps a value, an empty one for nothing, within the bound on all.
func (g *guest) put(key, value string) bool {
	g.lock.Lock()
	defer g.lock.Unlock()
	before, had := g.keep[key]
	more := len(key) + len(value)
	if had {
		more -= len(key) + len(before)
	}
	if value == "" {
		if had {
			g.kept -= len(key) + len(before)
			delete(g.keep, key)
		}
	} else if g.kept+more > g.KeepKB<<10 || !had && len(g.keep) >= mostKeys {
		return false
	} else {
		g.kept += more
		g.keep[key] = []byte(value)
	}
	g.tell(frameKeep, append(append([]byte{byte(len(key))}, key...), value...))
	return true
}

func (g *guest) close() {
	if g.runtime != nil {
		g.runtime.Close(context.Background())
	}
}
