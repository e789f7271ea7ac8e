// Package plugin runs plug-ins: WebAssembly modules in a process of their own beside the app server, so that whatever
// one does to memory or to a core happens there.
//
// The app server starts the process (StartProcess) and exchanges frames with it; the process (RunHost) loads the
// modules and calls them. What a verdict may do is not decided here but in internal/plugin/chain.
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
	"github.com/tetratelabs/wazero/imports/wasi_snapshot_preview1"
	"github.com/tetratelabs/wazero/sys"

	"thistlequay/internal/plugin/abi"
)

// ModuleConfig is one plug-in as the service file has it. It passes to the plug-in process as JSON, under the key names
// in the tags.
type ModuleConfig struct {
	Name string `json:"Name"`
	File string `json:"File"`

	// SHA256 is the hash in hex that the file must have; empty for any. A loaded module has the hash of its file.
	SHA256 string `json:"SHA256"`

	MemoryKB  int `json:"MemoryKB"` // linear memory of one instance, in whole pages of 64 KB
	MaxCodeKB int `json:"CodeKB"`   // largest size of the file

	// StartTimeout bounds the start of an instance, and the call for each sample.
	StartTimeout time.Duration `json:"Start"`

	// Compile compiles the module to machine code; otherwise it is interpreted.
	Compile bool `json:"Compile"`

	Hooks   [3]bool  `json:"Hooks"` // at which it is called, by hook number of the ABI
	Samples []Sample `json:"Samples"`

	State      map[string][]byte `json:"Keep"`   // what it stored in the process before this one
	MaxStateKB int               `json:"KeepKB"` // largest size of its state, keys and values together

	Seed int64 `json:"Seed"` // of its random numbers
}

// Sample is a request that a new version of a plug-in must answer before it sees any request of the service.
type Sample struct {
	Hook     int    `json:"Hook"`
	Category string `json:"Category"`
	Tenant   string `json:"Tenant"`
	Body     string `json:"Body"`

	// ExpectedActions are the actions that the verdict must have, as bits of the ABI; nil for any.
	ExpectedActions *int `json:"Does"`

	// ExpectedStatus is the status that the verdict must have; 0 for any. It only counts with ExpectedActions.
	ExpectedStatus int `json:"Status"`
}

// ErrMalformedVerdict means that a plug-in's answer is no message: it lies outside its memory, or is too long.
var ErrMalformedVerdict = errors.New("what it gave cannot be read")

// wasmPageSize is the unit of linear memory (WebAssembly core specification).
const wasmPageSize = 64 << 10

// module is one plug-in, compiled once. Its calls may run at the same time, each on an instance of its own.
type module struct {
	ModuleConfig

	runtime       wazero.Runtime
	compiled      wazero.CompiledModule
	idleInstances chan *instance
	emit          func(kind byte, payload []byte) // sends a frame about the plug-in

	mu              sync.Mutex // guards all below
	state           map[string][]byte
	stateSize       int // of keys and values in bytes
	counters        map[string]int64
	logTokens       float64 // token bucket of the log lines
	logTokensAt     time.Time
	suppressedLines int
	random          *rand.Rand
}

// loadModule compiles a plug-in, starts one instance and tries it on its samples. Up to maxIdle instances are kept for
// further calls. The errors read as a predicate to "plug-in NAME".
func loadModule(
	ctx context.Context, config ModuleConfig, maxIdle int, emit func(kind byte, payload []byte),
) (*module, error) {
	code, err := readCode(&config)
	if err != nil {
		return nil, err
	}
	m := &module{
		ModuleConfig:  config,
		state:         map[string][]byte{},
		counters:      map[string]int64{},
		logTokens:     logLinesPerSecond,
		logTokensAt:   time.Now(),
		random:        rand.New(rand.NewSource(config.Seed)),
		emit:          emit,
		idleInstances: make(chan *instance, maxIdle),
	}
	for key, value := range config.State {
		m.state[key] = value
		m.stateSize += len(key) + len(value)
	}
	if err := m.compile(ctx, code); err != nil {
		return nil, err
	}
	first, err := m.newInstance(ctx)
	if err != nil {
		return nil, err
	}
	m.idleInstances <- first
	for i, sample := range config.Samples {
		if err := m.checkSample(ctx, &sample); err != nil {
			return nil, fmt.Errorf("sample %d: %w", i+1, err)
		}
	}
	return m, nil
}

// readCode reads the module's file, checks its size and hash, and sets the hash in the configuration.
func readCode(config *ModuleConfig) ([]byte, error) {
	info, err := os.Stat(config.File)
	if err != nil {
		return nil, err
	}
	if info.Size() > int64(config.MaxCodeKB)<<10 {
		return nil, fmt.Errorf("%s has %d KB, %d at most", config.File, info.Size()>>10, config.MaxCodeKB)
	}
	code, err := os.ReadFile(config.File)
	if err != nil {
		return nil, err
	}
	digest := sha256.Sum256(code)
	sum := hex.EncodeToString(digest[:])
	if config.SHA256 != "" && sum != config.SHA256 {
		return nil, fmt.Errorf("%s has sha256 %s, the settings pin %s", config.File, sum, config.SHA256)
	}
	config.SHA256 = sum
	return code, nil
}

// compile makes the runtime with WASI and the host functions, and compiles the code for it.
func (m *module) compile(ctx context.Context, code []byte) error {
	config := wazero.NewRuntimeConfigInterpreter()
	if m.Compile {
		config = wazero.NewRuntimeConfigCompiler()
	}
	config = config.WithCloseOnContextDone(true).WithMemoryLimitPages(uint32(max(1, m.MemoryKB<<10/wasmPageSize)))
	m.runtime = wazero.NewRuntimeWithConfig(ctx, config)
	if _, err := wasi_snapshot_preview1.Instantiate(ctx, m.runtime); err != nil {
		return err
	}
	if err := m.exportHostFunctions(ctx); err != nil {
		return err
	}
	compiled, err := m.runtime.CompileModule(ctx, code)
	if err != nil {
		return fmt.Errorf("is no module that can be run: %w", err)
	}
	m.compiled = compiled
	return nil
}

// checkSample calls the plug-in about a sample and compares the verdict with the expected one.
func (m *module) checkSample(ctx context.Context, sample *Sample) error {
	request := abi.Request{
		Hook:       sample.Hook,
		TimeLeftMS: sampleTimeLeftMS,
		UnixMS:     time.Now().UnixMilli(),
		Category:   sample.Category,
		Tenant:     sample.Tenant,
		Body:       []byte(sample.Body),
	}
	answer, _, err := m.call(ctx, sample.Hook, request.Append(nil), m.StartTimeout)
	if err != nil {
		return err
	}
	verdict, err := abi.ParseVerdict(answer)
	if err != nil || sample.ExpectedActions == nil {
		return err
	}
	isExpected := verdict.Actions == *sample.ExpectedActions &&
		(sample.ExpectedStatus == 0 || verdict.Status == sample.ExpectedStatus)
	if !isExpected {
		return fmt.Errorf("does %d with status %d, expected %d with %d",
			verdict.Actions, verdict.Status, *sample.ExpectedActions, sample.ExpectedStatus)
	}
	return nil
}

// sampleTimeLeftMS is the time that a sample says is left to it.
const sampleTimeLeftMS = 1000

// call has the plug-in answer a request within a time. The answer is a copy, nil for none. An instance that failed or
// timed out is closed; the next call starts another where none is idle.
func (m *module) call(
	ctx context.Context, hook int, request []byte, timeout time.Duration,
) (answer []byte, took time.Duration, err error) {
	i, err := m.takeInstance(ctx)
	if err != nil {
		return nil, 0, err
	}
	start := time.Now()
	limited, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answer, err = i.call(limited, hook, request)
	took = time.Since(start)
	if err != nil {
		i.close()
		return nil, took, err
	}
	select {
	case m.idleInstances <- i:
	default:
		i.close()
	}
	return answer, took, nil
}

// takeInstance returns an idle instance, or a new one if none is idle.
func (m *module) takeInstance(ctx context.Context) (*instance, error) {
	select {
	case i := <-m.idleInstances:
		return i, nil
	default:
		return m.newInstance(ctx)
	}
}

// isTimeout reports whether a call ended because its time was over.
func isTimeout(err error) bool {
	if errors.Is(err, context.DeadlineExceeded) {
		return true
	}
	var exit *sys.ExitError
	if !errors.As(err, &exit) {
		return false
	}
	return exit.ExitCode() == sys.ExitCodeDeadlineExceeded || exit.ExitCode() == sys.ExitCodeContextCanceled
}

// close frees the runtime with all instances.
func (m *module) close() {
	if m.runtime != nil {
		_ = m.runtime.Close(context.Background()) // nothing is left to be done about a runtime that is thrown away
	}
}
