package plugin

import (
	"context"
	"errors"
	"fmt"
	"math/rand"

	"github.com/tetratelabs/wazero"
	"github.com/tetratelabs/wazero/api"

	"thistlequay/internal/plugin/abi"
)

// Names of functions that a module exports, as documented in docs/plugin/authors.md.
const (
	exportInitialize = "_initialize"
	exportVersion    = "tq_abi"
	exportBuffer     = "tq_buffer"
)

// hookExports are the names of the functions that a module exports for the hooks, indexed by the hook number of the
// ABI.
var hookExports = [3]string{"tq_read", "tq_result", "tq_tick"}

// maxVerdictSize is the largest size of an encoded verdict in bytes.
const maxVerdictSize = 16 << 10

// instance is one instance of a module, with its own memory. It serves one call at a time.
type instance struct {
	module         api.Module
	bufferFunction api.Function
	hookFunctions  [3]api.Function
	stack          []uint64 // parameters and results of calls; reused to avoid allocation
}

// newInstance starts an instance and checks its ABI version and exported functions, all within the module's
// StartTimeout.
func (m *module) newInstance(ctx context.Context) (*instance, error) {
	startCtx, cancel := context.WithTimeout(ctx, m.StartTimeout)
	defer cancel()
	config := wazero.NewModuleConfig().
		WithName("").
		WithStartFunctions(exportInitialize).
		WithRandSource(rand.New(rand.NewSource(m.Seed)))
	guest, err := m.runtime.InstantiateModule(startCtx, m.compiled, config)
	if err != nil {
		return nil, fmt.Errorf("does not start: %w", err)
	}
	i := &instance{module: guest, bufferFunction: guest.ExportedFunction(exportBuffer), stack: make([]uint64, 4)}
	if guest.Memory() == nil || !hasSignature(i.bufferFunction, 1, 1) {
		return nil, errors.New("does not export both a memory and tq_buffer(length) pointer")
	}
	if err := checkVersion(startCtx, guest); err != nil {
		return nil, err
	}
	for hook, name := range hookExports {
		if !m.Hooks[hook] {
			continue
		}
		function := guest.ExportedFunction(name)
		if !hasSignature(function, 2, 1) || function.Definition().ResultTypes()[0] != api.ValueTypeI64 {
			return nil, fmt.Errorf("is configured for a hook but does not export %s(pointer, length) i64", name)
		}
		i.hookFunctions[hook] = function
	}
	return i, nil
}

// hasSignature reports whether a function exists and has the given numbers of parameters and results.
func hasSignature(function api.Function, parameters, results int) bool {
	if function == nil {
		return false
	}
	definition := function.Definition()
	return len(definition.ParamTypes()) == parameters && len(definition.ResultTypes()) == results
}

// checkVersion checks that the module was built for this version of the ABI.
func checkVersion(ctx context.Context, guest api.Module) error {
	function := guest.ExportedFunction(exportVersion)
	if !hasSignature(function, 0, 1) {
		return errors.New("does not export tq_abi(), which returns its ABI version")
	}
	results, err := function.Call(ctx)
	if err != nil {
		return fmt.Errorf("failed to return its ABI version: %w", err)
	}
	if version := uint32(results[0]); version != abi.Version {
		return fmt.Errorf("is of version %d of the plug-in ABI, this program supports version %d", version, abi.Version)
	}
	return nil
}

// call writes a request into the instance's memory and calls a hook. It returns a copy of the encoded verdict, or nil
// if the verdict is empty.
func (i *instance) call(ctx context.Context, hook int, request []byte) ([]byte, error) {
	function := i.hookFunctions[hook]
	if function == nil {
		return nil, errors.New("does not implement the called hook")
	}
	i.stack[0] = uint64(len(request))
	if err := i.bufferFunction.CallWithStack(ctx, i.stack); err != nil {
		return nil, err
	}
	pointer := uint32(i.stack[0])
	if !i.module.Memory().Write(pointer, request) {
		return nil, ErrMalformedVerdict
	}
	i.stack[0] = uint64(pointer)
	i.stack[1] = uint64(len(request))
	if err := function.CallWithStack(ctx, i.stack); err != nil {
		return nil, err
	}
	return i.readVerdict(i.stack[0])
}

// readVerdict returns a copy of the encoded verdict to which a hook's result refers. The upper 32 bits of the result
// are the verdict's address, the lower 32 bits its length.
func (i *instance) readVerdict(result uint64) ([]byte, error) {
	length := uint32(result)
	if length == 0 {
		return nil, nil
	}
	if length > maxVerdictSize {
		return nil, ErrMalformedVerdict
	}
	view, ok := i.module.Memory().Read(uint32(result>>32), length)
	if !ok {
		return nil, ErrMalformedVerdict
	}
	return append([]byte(nil), view...), nil
}

// close frees the instance.
func (i *instance) close() {
	_ = i.module.Close(context.Background()) // the instance is discarded, so an error does not matter
}
