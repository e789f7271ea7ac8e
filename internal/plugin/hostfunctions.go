package plugin

import (
	"context"
	"fmt"
	"time"

	"github.com/tetratelabs/wazero/api"
)

// Bounds on what a plug-in passes to the host functions, as docs/plugin/authors.md has them. What exceeds them has no
// effect.
const (
	maxKeySize         = 128     // bytes
	maxValueSize       = 4 << 10 // bytes
	maxKeys            = 1024
	maxLogLineSize     = 256 // bytes; a longer line is cut
	logLinesPerSecond  = 20  // and as many at once
	maxCounterNameSize = 32  // bytes
	maxCounters        = 32
)

// hostModule is the name of the module whose functions plug-ins import.
const hostModule = "thistlequay"

// hostFailure is what get and put return instead of a length or of 0.
const hostFailure = -1

// exportHostFunctions makes the host functions that a plug-in may import. Whatever a plug-in passes is checked.
func (m *module) exportHostFunctions(ctx context.Context) error {
	builder := m.runtime.NewHostModuleBuilder(hostModule)
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

// readText reads a text from a plug-in's memory; false if it is too long or lies outside.
func readText(caller api.Module, pointer, length uint32, maxLength int) (string, bool) {
	if length > uint32(maxLength) {
		return "", false
	}
	view, ok := caller.Memory().Read(pointer, length)
	return string(view), ok
}

// hostLog is the host function log(pointer, length).
func (m *module) hostLog(_ context.Context, caller api.Module, pointer, length uint32) {
	if line, ok := readText(caller, pointer, min(length, maxLogLineSize), maxLogLineSize); ok {
		m.log(line)
	}
}

// hostCount is the host function count(pointer, length, by).
func (m *module) hostCount(_ context.Context, caller api.Module, pointer, length uint32, by int64) {
	if name, ok := readText(caller, pointer, length, maxCounterNameSize); ok {
		m.addToCounter(name, by)
	}
}

// hostGet is the host function get(key, length, buffer, capacity). It returns the length of the value, which is written
// where there is capacity for it.
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

// hostPut is the host function put(key, length, value, length).
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

// hostNow is the host function now().
func hostNow(context.Context) int64 { return time.Now().UnixMilli() }

// hostRandom is the host function chance().
func (m *module) hostRandom(context.Context) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.random.Int63()
}

// log passes a line on to the app server's log unless there were too many of late.
func (m *module) log(line string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.logTokens = min(logLinesPerSecond, m.logTokens+now.Sub(m.logTokensAt).Seconds()*logLinesPerSecond)
	m.logTokensAt = now
	if m.logTokens < 1 {
		m.suppressedLines++
		return
	}
	m.logTokens--
	if m.suppressedLines > 0 {
		line = fmt.Sprintf("%s (%d lines before it were not passed on)", line, m.suppressedLines)
		m.suppressedLines = 0
	}
	m.emit(FrameLog, []byte(line))
}

// addToCounter moves a counter, if it is known or one more is allowed.
func (m *module) addToCounter(name string, by int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, known := m.counters[name]; known || len(m.counters) < maxCounters {
		m.counters[name] += by
	}
}

// takeCounters returns the counters that have moved since the last call, nil for none.
func (m *module) takeCounters() map[string]int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.counters) == 0 {
		return nil
	}
	taken := m.counters
	m.counters = map[string]int64{}
	return taken
}

// putState stores a value under a key, an empty one to remove the key, and reports the change to the app server. It
// returns false if the state would exceed its bounds.
func (m *module) putState(key, value string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	before, exists := m.state[key]
	size := m.stateSize
	if exists {
		size -= len(key) + len(before)
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
