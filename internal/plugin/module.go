// Package plugin runs plug-ins, which are WebAssembly modules. They run in a separate process, so that a plug-in that
// uses too much memory or core time does not harm the app server.
//
// The app server starts the plug-in process with Start and exchanges frames with it. The process, which runs RunHost,
// loads the modules and calls them. Package internal/plugin/chain decides what effect a verdict may have.
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

// ModuleConfig is the configuration of one plug-in, from the service file. The app server sends it to the plug-in
// process as JSON, with the keys in the struct tags.
type ModuleConfig struct {
	Name string `json:"Name"`
	File string `json:"File"`

	// SHA256 is the hash in hex that the file must have; if empty, any hash is accepted. In a loaded module it is the
	// actual hash of the file.
	SHA256 string `json:"SHA256"`

	MemoryKB  int `json:"MemoryKB"` // linear memory of one instance, in whole pages of 64 KB, at least one
	MaxCodeKB int `json:"CodeKB"`   // largest size of the file in KB

	// StartTimeout is the longest time for the start of an instance, and for the call for each sample.
	StartTimeout time.Duration `json:"Start"`

	// Compile selects compilation to machine code; otherwise the module is interpreted.
	Compile bool `json:"Compile"`

	Hooks   [3]bool  `json:"Hooks"` // hooks at which it is called, indexed by the hook number of the ABI
	Samples []Sample `json:"Samples"`

	State      map[string][]byte `json:"Keep"`   // state that the plug-in stored in the previous process
	MaxStateKB int               `json:"KeepKB"` // largest size of the state in KB, keys and values together

	Seed int64 `json:"Seed"` // seed of the plug-in's random numbers
}

// Sample is a test request that a new version of a plug-in must answer before it is called for any real request.
type Sample struct {
	Hook     int    `json:"Hook"`
	Category string `json:"Category"`
	Tenant   string `json:"Tenant"`
	Body     string `json:"Body"`

	// ExpectedActions are the actions that the verdict must have, as Action bits of the ABI; nil accepts any.
	ExpectedActions *int `json:"Does"`

	// ExpectedStatus is the status that the verdict must have; 0 accepts any. It is only checked if ExpectedActions is
	// set.
	ExpectedStatus int `json:"Status"`
}

// ErrMalformedVerdict reports that a plug-in's buffer or verdict cannot be used, because it lies outside the plug-in's
// memory or the verdict is too long.
var ErrMalformedVerdict = errors.New("returned a verdict or buffer that is outside its memory or too long")

// wasmPageSize is the size in bytes of a page of linear memory, from the WebAssembly core specification.
const wasmPageSize = 64 << 10

// module is one loaded plug-in, compiled once. Its calls may run concurrently, each on its own instance.
type module struct {
	ModuleConfig

	runtime       wazero.Runtime
	compiled      wazero.CompiledModule
	idleInstances chan *instance
	emit          func(kind byte, payload []byte) // sends a frame for this plug-in to the app server

	mu                 sync.Mutex // guards the fields below
	state              map[string][]byte
	stateSize          int // total size of keys and values in bytes
	counters           map[string]int64
	logTokens          float64   // token bucket that limits the rate of log lines
	logTokensUpdatedAt time.Time // time of the last refill
	suppressedLogLines int       // log lines suppressed since the last one that was sent
	random             *rand.Rand
}

// loadModule compiles a plug-in, starts one instance and checks it with the configured samples. Up to maxIdle idle
// instances are kept for further calls. Error texts are worded to follow "plug-in NAME".
func loadModule(
	ctx context.Context, config ModuleConfig, maxIdle int, emit func(kind byte, payload []byte),
) (*module, error) {
	code, err := readCode(&config)
	if err != nil {
		return nil, err
	}
	m := &module{
		ModuleConfig:       config,
		state:              map[string][]byte{},
		counters:           map[string]int64{},
		logTokens:          logLinesPerSecond,
		logTokensUpdatedAt: time.Now(),
		random:             rand.New(rand.NewSource(config.Seed)),
		emit:               emit,
		idleInstances:      make(chan *instance, maxIdle),
	}
	for key, value := range config.State {
		m.state[key] = value
		m.stateSize += len(key) + len(value)
	}
	if err := m.compile(ctx, code); err != nil {
		return nil, err
	}
	firstInstance, err := m.newInstance(ctx)
	if err != nil {
		return nil, err
	}
	m.idleInstances <- firstInstance
	for i, sample := range config.Samples {
		if err := m.checkSample(ctx, &sample); err != nil {
			return nil, fmt.Errorf("sample %d: %w", i+1, err)
		}
	}
	return m, nil
}

// readCode reads the module's file, checks its size and hash, and stores the actual hash in the configuration.
func readCode(config *ModuleConfig) ([]byte, error) {
	info, err := os.Stat(config.File)
	if err != nil {
		return nil, err
	}
	if info.Size() > int64(config.MaxCodeKB)<<10 {
		return nil, fmt.Errorf("%s has %d KB, the limit is %d KB", config.File, info.Size()>>10, config.MaxCodeKB)
	}
	code, err := os.ReadFile(config.File)
	if err != nil {
		return nil, err
	}
	digest := sha256.Sum256(code)
	hexDigest := hex.EncodeToString(digest[:])
	if config.SHA256 != "" && hexDigest != config.SHA256 {
		return nil, fmt.Errorf("%s has sha256 %s, the configuration requires %s", config.File, hexDigest, config.SHA256)
	}
	config.SHA256 = hexDigest
	return code, nil
}

// compile creates the runtime with WASI and the host functions, and compiles the module's code for it.
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

// checkSample calls the plug-in for a sample and compares the verdict with the expected one.
func (m *module) checkSample(ctx context.Context, sample *Sample) error {
	request := abi.Request{
		Hook:       sample.Hook,
		TimeLeftMS: sampleTimeLeftMS,
		UnixMS:     time.Now().UnixMilli(),
		Category:   sample.Category,
		Tenant:     sample.Tenant,
		Body:       []byte(sample.Body),
	}
	encoded, _, err := m.call(ctx, sample.Hook, request.Append(nil), m.StartTimeout)
	if err != nil {
		return err
	}
	verdict, err := abi.ParseVerdict(encoded)
	if err != nil || sample.ExpectedActions == nil {
		return err
	}
	isExpected := verdict.Actions == *sample.ExpectedActions &&
		(sample.ExpectedStatus == 0 || verdict.Status == sample.ExpectedStatus)
	if !isExpected {
		return fmt.Errorf("does %d with status %d, expected %d with status %d",
			verdict.Actions, verdict.Status, *sample.ExpectedActions, sample.ExpectedStatus)
	}
	return nil
}

// sampleTimeLeftMS is the time until the deadline that a sample request carries.
const sampleTimeLeftMS = 1000

// call calls a hook of the plug-in with an encoded request, and ends the call at the timeout. It returns a copy of the
// encoded verdict, or nil if the verdict is empty. An instance whose call fails or times out is closed; the next call
// starts a new instance if none is idle.
func (m *module) call(
	ctx context.Context, hook int, request []byte, timeout time.Duration,
) (verdict []byte, elapsed time.Duration, err error) {
	i, err := m.acquireInstance(ctx)
	if err != nil {
		return nil, 0, err
	}
	start := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	verdict, err = i.call(callCtx, hook, request)
	elapsed = time.Since(start)
	if err != nil {
		i.close()
		return nil, elapsed, err
	}
	select {
	case m.idleInstances <- i:
	default:
		i.close()
	}
	return verdict, elapsed, nil
}

// acquireInstance returns an idle instance, or a new one if none is idle.
func (m *module) acquireInstance(ctx context.Context) (*instance, error) {
	select {
	case i := <-m.idleInstances:
		return i, nil
	default:
		return m.newInstance(ctx)
	}
}

// isTimeout reports whether an error means that a call exceeded its timeout.
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

// close frees the runtime and all instances.
func (m *module) close() {
	if m.runtime != nil {
		_ = m.runtime.Close(context.Background()) // the runtime is discarded, so an error does not matter
	}
}
