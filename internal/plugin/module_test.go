package plugin

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/emulator"
	"thistlequay/internal/plugin/abi"
)

// testConfig returns a configuration for one of the emulator's plug-in modules, given its kind.
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

// loadTestModule loads one of the emulator's plug-in modules, given its kind, and closes it at the end of the test.
func loadTestModule(t testing.TB, kind string, compile bool) *module {
	t.Helper()
	config := testConfig(t, kind)
	config.Compile = compile
	m, err := loadModule(context.Background(), config, 1, func(byte, []byte) {})
	require.NoError(t, err, kind)
	t.Cleanup(m.close)
	return m
}

// TestUnusableModuleIsRefused checks that loading an unusable module fails with an error that states the reason.
func TestUnusableModuleIsRefused(t *testing.T) {
	expectNoActions := func(config *ModuleConfig) { config.Samples = []Sample{{ExpectedActions: new(int)}} }
	for _, test := range []struct {
		kind   string
		modify func(config *ModuleConfig) // nil leaves the configuration unchanged
		reason string
	}{
		{"truncated", nil, "is no module that can be run"},
		{"other-version", nil, "is of version 7"},
		{"foreign", nil, "open_socket"},
		{"loops-at-start", nil, "does not start"},
		{"good", func(config *ModuleConfig) { config.SHA256 = "00" }, "the configuration requires 00"},
		{"good", func(config *ModuleConfig) { config.MaxCodeKB = 0 }, "the limit is 0 KB"},
		{"declines", expectNoActions, "sample 1: does 1 with status 403"},
	} {
		t.Run(test.kind+" "+test.reason, func(t *testing.T) {
			config := testConfig(t, test.kind)
			if test.modify != nil {
				test.modify(&config)
			}
			_, err := loadModule(context.Background(), config, 1, nil)
			require.ErrorContains(t, err, test.reason)
		})
	}
}

// engines are the WebAssembly engines that can run a module.
var engines = []struct {
	name    string
	compile bool
}{
	{"interpreted", false},
	{"compiled", true},
}

// TestHostileModuleFailsOnlyItsCall checks that every call of a hostile module ends within a bounded time and with the
// expected outcome, and that the calls after it find a working instance.
func TestHostileModuleFailsOnlyItsCall(t *testing.T) {
	request := (&abi.Request{Category: "look", Body: []byte("body")}).Append(nil)
	outcomes := map[string]CallOutcome{
		"good":             CallSucceeded,
		"declines":         CallSucceeded,
		"asks-4gib":        CallSucceeded,
		"loops":            CallTimedOut,
		"asks-bit-by-bit":  CallTimedOut,
		"recurses":         CallTrapped,
		"traps":            CallTrapped,
		"points-outside":   CallMalformed,
		"answers-1gib":     CallMalformed,
		"slow-4ms":         CallSucceeded,
		"logs-without-end": CallTimedOut,
		"noise":            CallSucceeded,
	}
	for _, engine := range engines {
		for kind, want := range outcomes {
			if engine.compile && kind == "recurses" {
				continue // its stack grows to hundreds of MB first; the memory limit of the process covers this
			}
			t.Run(engine.name+"/"+kind, func(t *testing.T) {
				m := loadTestModule(t, kind, engine.compile)
				for range 3 {
					_, elapsed, err := m.call(context.Background(), abi.HookRead, request, 30*time.Millisecond)
					require.Equal(t, want, outcomeOf(err), err)
					require.Less(t, elapsed, 20*time.Second)
				}
			})
		}
	}
}

// TestStateIsBounded checks that the total size of keys and values stays within MaxStateKB.
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

// BenchmarkCall measures one call of a module, without the frames between the app server and the plug-in process.
func BenchmarkCall(b *testing.B) {
	request := (&abi.Request{Category: "look", Tenant: "acme", Body: make([]byte, 200)}).Append(nil)
	for _, engine := range engines {
		for _, kind := range []string{"good", "declines"} {
			b.Run(engine.name+"/"+kind, func(b *testing.B) {
				m := loadTestModule(b, kind, engine.compile)
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
