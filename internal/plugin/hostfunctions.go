package plugin

import (
	"context"
	"fmt"
	"time"

	"github.com/tetratelabs/wazero/api"
)

// Limits on the arguments of the host functions, as documented in docs/plugin/authors.md. A call that exceeds them has
// no effect, except that a long log line is truncated.
const (
	maxKeySize         = 128     // bytes
	maxValueSize       = 4 << 10 // bytes
	maxKeys            = 1024
	maxLogLineSize     = 256 // bytes; a longer line is truncated
	logLinesPerSecond  = 20  // also the burst size
	maxCounterNameSize = 32  // bytes
	maxCounters        = 32
)

// hostModuleName is the name of the WebAssembly module from which plug-ins import the host functions.
const hostModuleName = "thistlequay"

// hostFailure is the result of the host functions get and put on failure, instead of a length or 0.
const hostFailure = -1

// exportHostFunctions defines the host functions that a plug-in may import. Each of them validates its arguments.
func (m *module) exportHostFunctions(ctx context.Context) error {
	builder := m.runtime.NewHostModuleBuilder(hostModuleName)
	export := func(name string, function any) { builder.NewFunctionBuilder().WithFunc(function).Export(name) }
	export("log", m.hostLog)
	export("count", m.hostCount)
	export("get", m.hostGet)
	export("put", m.hostPut)
	export("now", hostNow)
	export("chance", m.hostRandom)
	_, err := builder.Instantiate(ctx)
	return err
}

// readText reads a text from a plug-in's memory. It returns false if the text is too long or not within that memory.
func readText(caller api.Module, pointer, length uint32, maxLength int) (string, bool) {
	if length > uint32(maxLength) {
		return "", false
	}
	view, ok := caller.Memory().Read(pointer, length)
	return string(view), ok
}

// hostLog implements the host function log(pointer, length), which logs a line.
func (m *module) hostLog(_ context.Context, caller api.Module, pointer, length uint32) {
	if line, ok := readText(caller, pointer, min(length, maxLogLineSize), maxLogLineSize); ok {
		m.log(line)
	}
}

// hostCount implements the host function count(pointer, length, by), which adds to the named counter.
func (m *module) hostCount(_ context.Context, caller api.Module, pointer, length uint32, by int64) {
	if name, ok := readText(caller, pointer, length, maxCounterNameSize); ok {
		m.addToCounter(name, by)
	}
}

// hostGet implements the host function get(key, length, buffer, capacity). It returns the length of the value, and
// writes the value to the buffer only if the capacity suffices.
func (m *module) hostGet(_ context.Context, caller api.Module, keyPointer, keyLength, buffer, capacity uint32) int32 {
	key, ok := readText(caller, keyPointer, keyLength, maxKeySize)
	if !ok {
		return hostFailure
	}
	m.mu.Lock()
	value, found := m.state[key]
	m.mu.Unlock()
	if !found {
		return hostFailure
	}
	if uint32(len(value)) <= capacity && !caller.Memory().Write(buffer, value) {
		return hostFailure
	}
	return int32(len(value))
}

// hostPut implements the host function put(key, length, value, length), which stores a value, or deletes the key if the
// value is empty.
func (m *module) hostPut(
	_ context.Context, caller api.Module, keyPointer, keyLength, valuePointer, valueLength uint32,
) int32 {
	key, keyOK := readText(caller, keyPointer, keyLength, maxKeySize)
	value, valueOK := readText(caller, valuePointer, valueLength, maxValueSize)
	if !keyOK || !valueOK || !m.putState(key, value) {
		return hostFailure
	}
	return 0
}

// hostNow implements the host function now(), which returns the time in milliseconds since 1970.
func hostNow(context.Context) int64 { return time.Now().UnixMilli() }

// hostRandom implements the host function chance(), which returns a non-negative random number.
func (m *module) hostRandom(context.Context) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.random.Int63()
}

// log sends a line to the app server's log, unless the plug-in exceeds logLinesPerSecond. The next line that is sent
// states how many were suppressed.
func (m *module) log(line string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.logTokens = min(logLinesPerSecond, m.logTokens+now.Sub(m.logTokensUpdatedAt).Seconds()*logLinesPerSecond)
	m.logTokensUpdatedAt = now
	if m.logTokens < 1 {
		m.suppressedLogLines++
		return
	}
	m.logTokens--
	if m.suppressedLogLines > 0 {
		line = fmt.Sprintf("%s (%d earlier lines were suppressed)", line, m.suppressedLogLines)
		m.suppressedLogLines = 0
	}
	m.emit(FrameLog, []byte(line))
}

// addToCounter adds to a counter. A new counter is ignored if there are maxCounters already.
func (m *module) addToCounter(name string, by int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, known := m.counters[name]; known || len(m.counters) < maxCounters {
		m.counters[name] += by
	}
}

// takeCounters returns the increments of the counters since its last call and resets them. It returns nil if no counter
// has changed.
func (m *module) takeCounters() map[string]int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.counters) == 0 {
		return nil
	}
	increments := m.counters
	m.counters = map[string]int64{}
	return increments
}

// putState stores a value under a key, or deletes the key if the value is empty, and reports the change to the app
// server. It returns false if the state would exceed MaxStateKB or maxKeys.
func (m *module) putState(key, value string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	previous, exists := m.state[key]
	size := m.stateSize
	if exists {
		size -= len(key) + len(previous)
	}
	if value == "" {
		delete(m.state, key)
	} else {
		size += len(key) + len(value)
		if size > m.MaxStateKB<<10 || !exists && len(m.state) >= maxKeys {
			return false
		}
		m.state[key] = []byte(value)
	}
	m.stateSize = size
	m.emit(FrameState, appendStateEntry(nil, key, value))
	return true
}
