package plugin

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/golden"
	"thistlequay/internal/plugin/abi"
)

// TestGoldenFrames compares encoded frames between the app server and the plug-in process with the golden file, and
// checks that decoding and encoding them again yields the same bytes.
func TestGoldenFrames(t *testing.T) {
	var lines []byte
	for _, data := range goldenFrames(t) {
		frame, rest, isComplete, err := ParseFrame(data)
		require.NoError(t, err)
		require.True(t, isComplete)
		require.Empty(t, rest)
		require.Equal(t, data, AppendFrame(nil, frame.Kind, frame.PluginIndex, frame.CallID, frame.Payload))
		lines = fmt.Appendf(lines, "%c %x\n", frame.Kind, data)
		switch frame.Kind {
		case FrameState:
			key, value, ok := frame.StateEntry()
			lines = fmt.Appendf(lines, "kept %q %q %v\n", key, value, ok)
		case FrameVerdict:
			outcome, elapsed, verdict, ok := frame.Verdict()
			lines = fmt.Appendf(lines, "verdict %d %d %x %v\n", outcome, elapsed.Microseconds(), verdict, ok)
		}
	}
	golden.Check(t, "frames.txt", lines)
}

// goldenFrames returns encoded frames of every kind.
func goldenFrames(t *testing.T) (frames [][]byte) {
	t.Helper()
	m := &module{
		ModuleConfig:       ModuleConfig{MaxStateKB: 1},
		state:              map[string][]byte{},
		logTokens:          logLinesPerSecond,
		logTokensUpdatedAt: time.Now(),
		emit: func(kind byte, payload []byte) {
			frames = append(frames, AppendFrame(nil, kind, 3, 0, payload))
		},
	}
	require.True(t, m.putState("acme 17", "5"))
	require.True(t, m.putState("acme 17", ""))
	m.log("a line")
	request := abi.Request{
		Hook:       abi.HookResult,
		TimeLeftMS: 9,
		UnixMS:     1 << 40,
		Category:   "look",
		Tenant:     "acme",
		Body:       []byte("body"),
	}
	frames = append(frames,
		AppendFrame(nil, frameSpec, 0, 0, goldenSpec(t)),
		AppendFrame(nil, FrameReady, 0, 0, nil),
		AppendFrame(nil, FrameLoadFailed, 1, 0, []byte("why")),
		AppendFrame(nil, FrameCounters, 2, 0, []byte(`{"n":1}`)),
		AppendCall(nil, 513, abi.HookResult, 1<<60+1, 25, request.Append(nil)))
	out := &frameWriter{out: frameCollector{&frames}}
	for _, outcome := range []CallOutcome{CallSucceeded, CallTimedOut, CallTrapped, CallMalformed, CallNotStarted} {
		out.writeVerdict(queuedCall{pluginIndex: 2, id: 77}, outcome, 1234*time.Microsecond, []byte{1, 2, 3})
	}
	return frames
}

// goldenSpec returns a HostSpec as JSON. One of its plug-ins has every field set, and the other has none.
func goldenSpec(t *testing.T) []byte {
	t.Helper()
	actions := 5
	spec := HostSpec{Workers: 2, MemoryMB: 32, Plugins: []ModuleConfig{
		{
			Name:         "hall-check",
			File:         "/srv/hall.wasm",
			SHA256:       "8db0",
			MemoryKB:     1024,
			MaxCodeKB:    512,
			StartTimeout: time.Second,
			Compile:      true,
			Hooks:        [3]bool{true, false, true},
			MaxStateKB:   16,
			Seed:         -7,
			State:        map[string][]byte{"acme 1": []byte("3"), "b": {0, 255}},
			Samples: []Sample{
				{
					Hook:            1,
					Category:        "mottak",
					Tenant:          "acme",
					Body:            "x",
					ExpectedActions: &actions,
					ExpectedStatus:  422,
				},
				{},
			},
		},
		{},
	}}
	return golden.Codec{Marshal: json.Marshal, Unmarshal: json.Unmarshal}.Encode(t, spec, &HostSpec{})
}

// frameCollector is an io.Writer that appends the data of each write to frames, as a separate frame.
type frameCollector struct{ frames *[][]byte }

// Write appends a copy of data to the frames.
func (c frameCollector) Write(data []byte) (int, error) {
	*c.frames = append(*c.frames, append([]byte(nil), data...))
	return len(data), nil
}
