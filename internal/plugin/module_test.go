package plugin

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/emulator"
	"thistlequay/internal/plugin/abi"
)

// testConfig configures a module of one of the emulator's kinds.
func testConfig(t testing.TB, kind string) ModuleConfig {
	t.Helper()
	file := filepath.Join(t.TempDir(), kind+".wasm")
	require.NoError(t, os.WriteFile(file, emulator.PluginModule(kind), 0o600))
	return ModuleConfig{
		Name:         kind,
		File:         file,
		MemoryKB:     1024,
		MaxCodeKB:    64,
		MaxStateKB:   1,
		StartTimeout: 200 * time.Millisecond,
		Hooks:        [3]bool{true, true, true},
	}
}

// loadTestModule loads a module of one of the emulator's kinds, for as long as the test runs.
func loadTestModule(t testing.TB, kind string, compile bool) *module {
	t.Helper()
	config := testConfig(t, kind)
	config.Compile = compile
	m, err := loadModule(context.Background(), config, 1, func(byte, []byte) {})
	require.NoError(t, err, kind)
	t.Cleanup(m.close)
	return m
}

// TestUnusableModuleIsRefused checks that a module which can't be used is refused when it is loaded, with the reason.
func TestUnusableModuleIsRefused(t *testing.T) {
	requireRefused := func(config ModuleConfig, reason string) {
		t.Helper()
		_, err := loadModule(context.Background(), config, 1, nil)
		require.ErrorContains(t, err, reason, config.Name)
	}
	for kind, reason := range map[string]string{
		"truncated":      "is no module that can be run",
		"other-version":  "is of version 7",
		"foreign":        "open_socket",
		"loops-at-start": "does not start",
	} {
		requireRefused(testConfig(t, kind), reason)
	}
	config := testConfig(t, "good")
	config.SHA256 = "00"
	requireRefused(config, "the settings pin 00")
	config = testConfig(t, "good")
	config.MaxCodeKB = 0
	requireRefused(config, "0 at most")
	config = testConfig(t, "declines")
	noActions := 0
	config.Samples = []Sample{{ExpectedActions: &noActions}}
	requireRefused(config, "sample 1: does 1 with status 403")
}

// outcome names what a call's error stands for in the plug-in process's answer.
func outcome(err error) string {
	switch {
	case err == nil:
		return "succeeded"
	case isTimeout(err):
		return "timed out"
	case errors.Is(err, ErrMalformedVerdict):
		return "malformed"
	default:
		return "trapped"
	}
}

// TestHostileModuleFailsOnlyItsCall checks that whatever a module does ends in one of four ways, within a bounded time,
// and that the next call finds a working instance.
func TestHostileModuleFailsOnlyItsCall(t *testing.T) {
	request := (&abi.Request{Category: "look", Body: []byte("body")}).Append(nil)
	outcomes := map[string]string{
		"good":             "succeeded",
		"declines":         "succeeded",
		"asks-4gib":        "succeeded",
		"loops":            "timed out",
		"asks-bit-by-bit":  "timed out",
		"recurses":         "trapped",
		"traps":            "trapped",
		"points-outside":   "malformed",
		"answers-1gib":     "malformed",
		"slow-4ms":         "succeeded",
		"logs-without-end": "timed out",
		"noise":            "succeeded",
	}
	for _, compile := range []bool{false, true} {
		for kind, want := range outcomes {
			if compile && kind == "recurses" {
				continue // its stack grows to hundreds of MB first, which the process's memory limit is for
			}
			m := loadTestModule(t, kind, compile)
			for range 3 {
				_, took, err := m.call(context.Background(), abi.HookRead, request, 30*time.Millisecond)
				require.Equal(t, want, outcome(err), "%s compiled=%v: %v", kind, compile, err)
				require.Less(t, took, 20*time.Second)
			}
		}
	}
}

// TestStateIsBounded checks that keys and values together stay within MaxStateKB.
func TestStateIsBounded(t *testing.T) {
	m := loadTestModule(t, "good", false)
	value := string(make([]byte, 600))
	require.True(t, m.putState("a", value))
	require.False(t, m.putState("b", value))
	require.True(t, m.putState("a", "short"))
	require.True(t, m.putState("b", value))
	require.True(t, m.putState("b", ""))
	require.Equal(t, 6, m.stateSize)
}

// BenchmarkCall measures one call inside the plug-in process.
func BenchmarkCall(b *testing.B) {
	request := (&abi.Request{Category: "look", Tenant: "acme", Body: make([]byte, 200)}).Append(nil)
	for _, engine := range []string{"interpreted", "compiled"} {
		for _, kind := range []string{"good", "declines"} {
			b.Run(engine+"/"+kind, func(b *testing.B) {
				m := loadTestModule(b, kind, engine == "compiled")
				b.ReportAllocs()
				for b.Loop() {
					if _, _, err := m.call(context.Background(), abi.HookRead, request, time.Second); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}
