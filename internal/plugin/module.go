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

// ModuleConfig is one plug-in as the settings have it.
type ModuleConfig struct {
	Name         string            `json:"Name"`
	File         string            `json:"File"`
	SHA256       string            `json:"SHA256"`   // hex; refused if the file differs; any where empty
	MemoryKB     int               `json:"MemoryKB"` // linear memory of one instance, in pages of 64
	MaxCodeKB    int               `json:"CodeKB"`   // the most the file may have
	StartTimeout time.Duration     `json:"Start"`    // for its start and for each sample
	Compile      bool              `json:"Compile"`  // to machine code; else interpreted
	Hooks        [3]bool           `json:"Hooks"`
	Samples      []Sample          `json:"Samples"`
	State        map[string][]byte `json:"Keep"`   // its memory from the process before
	MaxStateKB   int               `json:"KeepKB"` // the most that memory may have, keys and values
	Seed         int64             `json:"Seed"`
}

// Sample is a request that a new version must answer before any work item sees it.
type Sample struct {
	Hook            int    `json:"Hook"`
	Category        string `json:"Category"`
	Tenant          string `json:"Tenant"`
	Body            string `json:"Body"`
	ExpectedActions *int   `json:"Does"` // what it must do, where that is told
	ExpectedStatus  int    `json:"Status"`
}

// Bounds that hold for every plug-in.
const (
	wasmPageSize       = 64 << 10
	maxVerdictSize     = 16 << 10
	maxKeySize         = 128
	maxValueSize       = 4 << 10
	maxKeys            = 1024
	maxLogLineSize     = 256
	logLinesPerSecond  = 20 // log lines at once, and so many a second
	maxCounterNameSize = 32
	maxCounters        = 32 // of counters
)

// ErrMalformedVerdict is a verdict that cannot be read: pointers outside the memory, too long, no message.
var ErrMalformedVerdict = errors.New("what it gave cannot be read")

// module is one plug-in, compiled once.
type module struct {
	ModuleConfig
	runtime         wazero.Runtime
	compiled        wazero.CompiledModule
	idleInstances   chan *instance
	emit            func(kind byte, payload []byte)
	mu              sync.Mutex
	state           map[string][]byte
	stateSize       int
	counters        map[string]int64
	logTokens       float64
	logTokensAt     time.Time
	suppressedLines int
	random          *rand.Rand
}

// instance is one running copy; it is asked by one worker at a time.
type instance struct {
	module         api.Module
	bufferFunction api.Function
	hookFunctions  [3]api.Function
	stack          []uint64
}

var hookExports = [3]string{"tq_read", "tq_result", "tq_tick"}

// loadModule compiles a plug-in, starts one instance and tries it on its samples.
func loadModule(ctx context.Context, one ModuleConfig, instances int, tell func(kind byte, payload []byte)) (*module, error) {
	info, err := os.Stat(one.File)
	if err != nil {
		return nil, err
	}
	if info.Size() > int64(one.MaxCodeKB)<<10 {
		return nil, fmt.Errorf("%s has %d KB, %d at most", one.File, info.Size()>>10, one.MaxCodeKB)
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
	g := &module{ModuleConfig: one, state: map[string][]byte{}, counters: map[string]int64{}, logTokens: logLinesPerSecond, logTokensAt: time.Now(),
		random: rand.New(rand.NewSource(one.Seed)), emit: tell, idleInstances: make(chan *instance, instances)}
	for k, v := range one.State {
		g.state[k] = v
		g.stateSize += len(k) + len(v)
	}
	g.runtime = wazero.NewRuntimeWithConfig(ctx, config.WithCloseOnContextDone(true).
		WithMemoryLimitPages(uint32(max(1, one.MemoryKB<<10/wasmPageSize))))
	if _, err := wasi_snapshot_preview1.Instantiate(ctx, g.runtime); err != nil {
		return nil, err
	}
	if err := g.exportHostFunctions(ctx); err != nil {
		return nil, err
	}
	if g.compiled, err = g.runtime.CompileModule(ctx, text); err != nil {
		return nil, fmt.Errorf("is no module that can be run: %w", err)
	}
	i, err := g.newInstance(ctx)
	if err != nil {
		return nil, err
	}
	g.idleInstances <- i
	for n, s := range one.Samples {
		q := abi.Request{Hook: s.Hook, TimeLeftMS: 1000, UnixMS: time.Now().UnixMilli(), Category: s.Category, Tenant: s.Tenant, Body: []byte(s.Body)}
		out, _, err := g.call(ctx, s.Hook, q.Append(nil), one.StartTimeout)
		if err != nil {
			return nil, fmt.Errorf("sample %d: %w", n+1, err)
		}
		v, err := abi.ParseVerdict(out)
		if err != nil {
			return nil, fmt.Errorf("sample %d: %w", n+1, err)
		}
		if s.ExpectedActions != nil && (v.Actions != *s.ExpectedActions || s.ExpectedStatus != 0 && v.Status != s.ExpectedStatus) {
			return nil, fmt.Errorf("sample %d: does %d with status %d, expected %d with %d", n+1, v.Actions, v.Status, *s.ExpectedActions, s.ExpectedStatus)
		}
	}
	return g, nil
}

// newInstance starts a copy, within the time for that.
func (g *module) newInstance(ctx context.Context) (i *instance, err error) {
	within, cancel := context.WithTimeout(ctx, g.StartTimeout)
	defer cancel()
	m, err := g.runtime.InstantiateModule(within, g.compiled, wazero.NewModuleConfig().WithName("").
		WithStartFunctions("_initialize").WithRandSource(rand.New(rand.NewSource(g.Seed))))
	if err != nil {
		return nil, fmt.Errorf("does not start: %w", err)
	}
	i = &instance{module: m, bufferFunction: m.ExportedFunction("tq_buffer"), stack: make([]uint64, 4)}
	if i.module.Memory() == nil || i.bufferFunction == nil || len(i.bufferFunction.Definition().ParamTypes()) != 1 || len(i.bufferFunction.Definition().ResultTypes()) != 1 {
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
	for hook, name := range hookExports {
		if !g.Hooks[hook] {
			continue
		}
		f := m.ExportedFunction(name)
		if f == nil || len(f.Definition().ParamTypes()) != 2 || len(f.Definition().ResultTypes()) != 1 ||
			f.Definition().ResultTypes()[0] != api.ValueTypeI64 {
			return nil, fmt.Errorf("is granted a hook but exports no %s(pointer, length) i64", name)
		}
		i.hookFunctions[hook] = f
	}
	return i, nil
}

// call has the plug-in answer a request. The bytes given are its own copy. An instance that broke, or was cut, is thrown
// away and another takes its place when one is needed.
func (g *module) call(ctx context.Context, hook int, request []byte, within time.Duration) (out []byte, took time.Duration, err error) {
	var i *instance
	select {
	case i = <-g.idleInstances:
	default:
		if i, err = g.newInstance(ctx); err != nil {
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
	case g.idleInstances <- i:
	default:
		i.module.Close(context.Background())
	}
	return out, took, nil
}

func (i *instance) call(ctx context.Context, hook int, request []byte) ([]byte, error) {
	f := i.hookFunctions[hook]
	if f == nil {
		return nil, errors.New("has no such hook")
	}
	i.stack[0] = uint64(len(request))
	if err := i.bufferFunction.CallWithStack(ctx, i.stack); err != nil {
		return nil, err
	}
	at := uint32(i.stack[0])
	if !i.module.Memory().Write(at, request) {
		return nil, ErrMalformedVerdict
	}
	i.stack[0], i.stack[1] = uint64(at), uint64(len(request))
	if err := f.CallWithStack(ctx, i.stack); err != nil {
		return nil, err
	}
	at, n := uint32(i.stack[0]>>32), uint32(i.stack[0])
	if n == 0 {
		return nil, nil
	}
	if n > maxVerdictSize {
		return nil, ErrMalformedVerdict
	}
	view, ok := i.module.Memory().Read(at, n)
	if !ok {
		return nil, ErrMalformedVerdict
	}
	return append([]byte(nil), view...), nil
}

// isTimeout says whether an error is that the time was over.
func isTimeout(err error) bool {
	var exit *sys.ExitError
	return errors.Is(err, context.DeadlineExceeded) ||
		errors.As(err, &exit) && (exit.ExitCode() == sys.ExitCodeDeadlineExceeded || exit.ExitCode() == sys.ExitCodeContextCanceled)
}

// exportHostFunctions gives plug-ins what they may call. Whatever they pass is checked; what does not fit does nothing.
func (g *module) exportHostFunctions(ctx context.Context) error {
	text := func(m api.Module, at, n uint32, most int) (string, bool) {
		if n > uint32(most) {
			return "", false
		}
		view, ok := m.Memory().Read(at, n)
		return string(view), ok
	}
	b := g.runtime.NewHostModuleBuilder("thistlequay")
	b.NewFunctionBuilder().WithFunc(func(_ context.Context, m api.Module, at, n uint32) {
		if line, ok := text(m, at, min(n, maxLogLineSize), maxLogLineSize); ok {
			g.log(line)
		}
	}).Export("log")
	b.NewFunctionBuilder().WithFunc(func(_ context.Context, m api.Module, at, n uint32, by int64) {
		if name, ok := text(m, at, n, maxCounterNameSize); ok {
			g.addToCounter(name, by)
		}
	}).Export("count")
	b.NewFunctionBuilder().WithFunc(func(_ context.Context, m api.Module, key, keyN, to, room uint32) int32 {
		name, ok := text(m, key, keyN, maxKeySize)
		if !ok {
			return -1
		}
		g.mu.Lock()
		value, found := g.state[name]
		g.mu.Unlock()
		if !found {
			return -1
		}
		if uint32(len(value)) <= room && !m.Memory().Write(to, value) {
			return -1
		}
		return int32(len(value))
	}).Export("get")
	b.NewFunctionBuilder().WithFunc(func(_ context.Context, m api.Module, key, keyN, at, n uint32) int32 {
		name, ok := text(m, key, keyN, maxKeySize)
		value, ok2 := text(m, at, n, maxValueSize)
		if !ok || !ok2 || !g.putState(name, value) {
			return -1
		}
		return 0
	}).Export("put")
	b.NewFunctionBuilder().WithFunc(func(context.Context) int64 { return time.Now().UnixMilli() }).Export("now")
	b.NewFunctionBuilder().WithFunc(func(context.Context) int64 {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.random.Int63()
	}).Export("chance")
	_, err := b.Instantiate(ctx)
	return err
}

// log passes a line on, so many a second and no more.
func (g *module) log(line string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.logTokens = min(logLinesPerSecond, g.logTokens+now.Sub(g.logTokensAt).Seconds()*logLinesPerSecond)
	if g.logTokensAt = now; g.logTokens < 1 {
		g.suppressedLines++
		return
	}
	g.logTokens--
	if g.suppressedLines > 0 {
		line = fmt.Sprintf("%s (%d lines before it were not passed on)", line, g.suppressedLines)
		g.suppressedLines = 0
	}
	g.emit(frameLog, []byte(line))
}

func (g *module) addToCounter(name string, by int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, known := g.counters[name]; known || len(g.counters) < maxCounters {
		g.counters[name] += by
	}
}

// putState keeps a value, an empty one for nothing, within the bound on all.
func (g *module) putState(key, value string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	before, had := g.state[key]
	more := len(key) + len(value)
	if had {
		more -= len(key) + len(before)
	}
	if value == "" {
		if had {
			g.stateSize -= len(key) + len(before)
			delete(g.state, key)
		}
	} else if g.stateSize+more > g.MaxStateKB<<10 || !had && len(g.state) >= maxKeys {
		return false
	} else {
		g.stateSize += more
		g.state[key] = []byte(value)
	}
	g.emit(frameState, append(append([]byte{byte(len(key))}, key...), value...))
	return true
}

func (g *module) close() {
	if g.runtime != nil {
		g.runtime.Close(context.Background())
	}
}
