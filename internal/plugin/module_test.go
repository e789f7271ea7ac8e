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

func one(t testing.TB, kind string) ModuleConfig {
	file := filepath.Join(t.TempDir(), kind+".wasm")
	require.NoError(t, os.WriteFile(file, emulator.PluginModule(kind), 0o600))
	return ModuleConfig{Name: kind, File: file, MemoryKB: 1024, MaxCodeKB: 64, MaxStateKB: 1, StartTimeout: 200 * time.Millisecond, Hooks: [3]bool{true, true, true}}
}

func loaded(t testing.TB, kind string, compile bool) *module {
	o := one(t, kind)
	o.Compile = compile
	g, err := loadModule(context.Background(), o, 1, func(byte, []byte) {})
	require.NoError(t, err, kind)
	t.Cleanup(g.close)
	return g
}

// What a module may not be is refused before anything sees it, by name.
func TestRefused(t *testing.T) {
	for kind, why := range map[string]string{"truncated": "is no module that can be run", "other-version": "is of version 7",
		"foreign": "open_socket", "loops-at-start": "does not start"} {
		_, err := loadModule(context.Background(), one(t, kind), 1, nil)
		require.ErrorContains(t, err, why, kind)
	}
	o := one(t, "good")
	o.SHA256 = "00"
	_, err := loadModule(context.Background(), o, 1, nil)
	require.ErrorContains(t, err, "the settings pin 00")
	o = one(t, "good")
	o.MaxCodeKB = 0
	_, err = loadModule(context.Background(), o, 1, nil)
	require.ErrorContains(t, err, "0 at most")
	o = one(t, "declines")
	does := 0
	o.Samples = []Sample{{ExpectedActions: &does}}
	_, err = loadModule(context.Background(), o, 1, nil)
	require.ErrorContains(t, err, "sample 1: does 1 with status 403")
}

// Whatever a module does ends as one of four, and the next call finds a whole instance.
func TestEachKind(t *testing.T) {
	request := (&abi.Request{Category: "look", Body: []byte("body")}).Append(nil)
	for _, compile := range []bool{false, true} {
		for kind, want := range map[string]string{"good": "", "declines": "", "asks-4gib": "", "loops": "cut", "asks-bit-by-bit": "cut",
			"recurses": "broke", "traps": "broke", "points-outside": "nonsense", "answers-1gib": "nonsense", "slow-4ms": "",
			"logs-without-end": "cut", "noise": ""} {
			if compile && kind == "recurses" {
				continue // its stack grows to hundreds of MB first: the process's bound is for that
			}
			g := loaded(t, kind, compile)
			for range 3 {
				_, took, err := g.call(context.Background(), abi.HookRead, request, 30*time.Millisecond)
				got := ""
				switch {
				case err == nil:
				case isTimeout(err):
					got = "cut"
				case err == ErrMalformedVerdict:
					got = "nonsense"
				default:
					got = "broke"
				}
				require.Equal(t, want, got, "%s compiled=%v: %v", kind, compile, err)
				require.Less(t, took, 20*time.Second)
			}
		}
	}
}

// Its memory is bounded in keys, values and sum.
func TestItsMemoryIsBounded(t *testing.T) {
	g := loaded(t, "good", false)
	require.True(t, g.putState("a", string(make([]byte, 600))))
	require.False(t, g.putState("b", string(make([]byte, 600))))
	require.True(t, g.putState("a", "short"))
	require.True(t, g.putState("b", string(make([]byte, 600))))
	require.True(t, g.putState("b", ""))
	require.Equal(t, 6, g.stateSize)
}

func FuzzFrames(f *testing.F) {
	f.Add(AppendFrame(nil, FrameVerdict, 1, 2, []byte{0, 1, 0, 0, 0, 1}))
	f.Fuzz(func(t *testing.T, data []byte) {
		for {
			f, rest, ok, err := ParseFrame(data)
			if err != nil || !ok {
				return
			}
			f.Verdict()
			f.StateEntry()
			require.Less(t, len(rest), len(data))
			data = rest
		}
	})
}

func BenchmarkHook(b *testing.B) {
	request := (&abi.Request{Category: "look", Tenant: "acme", Body: make([]byte, 200)}).Append(nil)
	for _, compile := range []bool{false, true} {
		for _, kind := range []string{"good", "declines"} {
			b.Run(map[bool]string{false: "interpreted/", true: "compiled/"}[compile]+kind, func(b *testing.B) {
				g := loaded(b, kind, compile)
				b.ReportAllocs()
				for b.Loop() {
					if _, _, err := g.call(context.Background(), abi.HookRead, request, time.Second); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}
