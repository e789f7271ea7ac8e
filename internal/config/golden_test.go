package config

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/deployment"
	"thistlequay/internal/golden"
)

const pluginPart = "plugins:\n  list:\n    - {name: p, file: p.wasm, hooks: [read]"

// moreBadFiles are faults of the sections that the other tests leave out, and of YAML itself.
var moreBadFiles = []string{
	"", "[]\n", "7\n", "a\n", "fair_queues: []\nfair_queues: []\n", "? [a]\n: b\n", "{a: b\n", "a: b: c\n", "\x00",
	"fair_queues: {tenants: [1]}\n",
	"fair_queues: {others: 0, newcomers: 0, books: 4097, groups: 0, burst: 0s, history: 1ms, reshuffle: 25h, " +
		"by: x, unmatched: ''}\n",
	"fair_queues: {tenants: [{name: '', share: 0}, {name: b, share: 1e7}, {share: x, name: [a], more: 1}]}\n",
	"fair_queues: {others: 1e400, newcomers: true, books: 99999999999999999999, burst: 1 s, by: [network], " +
		"networks: {a: b}}\n",
	"fair_queues: {by: network, networks: [{prefix: [], tenant: a}, {tenant: b}, {prefix: 10.0.0.0/8}], " +
		"trusted_fronts: [10.0.0.1/8, x]}\n",
	"fair_queues: {trusted_fronts: [" + strings.Repeat("[", 40) + strings.Repeat("]", 40) + "]}\n",
	"peers:\n", "peers: {listen: a, advertise: 1.2.3.4, status: ':1', first: ['localhost:1', '127.0.0.1:1'], " +
		"fleet: '', servers: 0, key_file: ''}\n",
	"peers: {listen: '127.0.0.1:1', fleet: f, servers: 5000, key_file: k, founders: [a, b]}\n",
	"peers: {listen: '127.0.0.1:1', fleet: f, servers: 2, key_file: k, founders: [a, '', a]}\n",
	"peers: {listen: '127.0.0.1:1', fleet: f, servers: 20, key_file: k, founders: [" + strings.Repeat("a, ",
		16) + "a]}\n",
	"peers: {listen: '127.0.0.1:1', fleet: f, servers: 2, key_file: k, first: [" + strings.Repeat("x, ", 64) + "x]}\n",
	"store:\n", "store: {directory: '', durability: disk, megabytes: 0, records: 99, segment_kb: 15, " +
		"clock_doubt: -1s, fresh: 1}\n",
	"store: {directory: d, megabytes: 65537, records: 100000001, segment_kb: 32769, clock_doubt: 25h, fresh: yes}\n",
	"shares:\n", "shares: {revision: 0, calls: 0, calls_a_second: -1, slots: 0, floor: -1, floor_a_second: -1, " +
		"longest_call: 0s, clock_drift: -0.1}\n",
	gossipSection + "shares: {calls: 8, slots: 4, keepers: [a, '', b], directory: d, longest_call: 61s}\n",
	"plugins:\n", "plugins: {list: []}\n", "plugins: {memory_mb: 11, workers: 17, ready: 1ms, list: [{}]}\n",
	"plugins: {memory_mb: 4097, workers: 0, ready: 3m, list: 1}\n",
	pluginPart + "}\n    - {name: p, file: none.wasm, hooks: []}\n", pluginPart + ", code_kb: 1}\n",
	pluginPart + ", sha256: ab}\n",
	pluginPart + ", may: [rewrite]}\n", pluginPart + ", may: [categorise]}\n", pluginPart + ", to: [a]}\n",
	pluginPart + ", otherwise: decline}\n",
	pluginPart + ", quarantine: 2s, longest_quarantine: 1s}\n",
	"plugins:\n  list:\n    - {name: p, file: p.wasm, hooks: [tick], may: [decline]}\n",
	pluginPart + ", engine: x, memory_kb: 63, code_kb: 65537, keep_kb: -1, keep: 1, start: 31s, call: 201ms, " +
		"share: 0.6, core: 0, every: 1ms," +
		" otherwise: x, faults_by_tenant: x, faults_in_a_row: 0, fault_rate: 0, quarantine: 1ms, " +
		"longest_quarantine: 25h}\n",
	pluginPart + ", samples: [{hook: x, category: 1, does: [x], status: 600}, 7]}\n",
}

// goodFiles are sections that stand, but not all beside the platform's settings.
var goodFiles = []string{
	"fair_queues:\n", "fair_queues: {tenants: [{name: t, share: 3}, {name: stranger, share: 1.5}], burst: 1s, " +
		"history: 1500ms, reshuffle: 3s, books: 7, groups: 8, newcomers: 0.5}\n",
	"fair_queues: {others: 2, by: network, networks: [{prefix: '::ffff:10.0.0.0/104', tenant: a}, " +
		"{prefix: 'fd00::1', tenant: b}], trusted_fronts: [127.0.0.1]}\n",
	gossipSection + "shares: {calls: 800, slots: 400, calls_a_second: 2000, floor_a_second: 2, " +
		"longest_call: 750ms, clock_drift: 0.05}\n",
	gossipSection + "shares: {calls: 8, slots: 4, keepers: [a, b, c], directory: d, fresh: true, revision: 3}\n",
	"store: {directory: d, durability: process, megabytes: 3, records: 200, segment_kb: 32, clock_doubt: 90s, " +
		"fresh: true}\n", "store: {directory: /d}\n",
	"plugins:\n  memory_mb: 60\n  workers: 2\n  list:\n" +
		"    - {name: p, file: p.wasm, hooks: [read, result], may: [decline, categorise, tag, rewrite], to: [a, " +
		"none], categories: [c], tenants: [t, x], otherwise: decline," +
		" samples: [{hook: result, category: a, tenant: t, body: b, does: [tag, rewrite], status: 404}, " +
		"{hook: read}]}\n" +
		"    - {name: q, file: p.wasm, hooks: [tick], engine: compiler, keep: false, call: 7ms, share: 0.2, " +
		"core: 0.3, every: 2s, faults_by_tenant: true," +
		" faults_in_a_row: 6, fault_rate: 0.7, quarantine: 3s, longest_quarantine: 4m, memory_kb: 128, " +
		"code_kb: 2, keep_kb: 5, start: 2s}\n",
}

// bench is a folder for files and what is written down of them.
type bench struct {
	bytes.Buffer
	testing.TB
	dir string
}

func newBench(t testing.TB) *bench {
	b := &bench{TB: t, dir: t.TempDir()}
	require.NoError(t, os.WriteFile(filepath.Join(b.dir, "p.wasm"), bytes.Repeat([]byte("module"), 200), 0o600))
	return b
}

// read reads a text as a file and writes down what is wrong with it. Where faults come in no fixed order, by the text.
func (b *bench) read(text string) *Config {
	file := filepath.Join(b.dir, "own.yaml")
	require.NoError(b, os.WriteFile(file, []byte(text), 0o600))
	terms, err := Read(file)
	b.fault(err)
	return terms
}

func (b *bench) fault(err error) {
	if err != nil {
		lines := strings.Split(strings.ReplaceAll(err.Error(), b.dir, "DIR"), "\n")
		slices.Sort(lines)
		fmt.Fprintln(&b.Buffer, strings.Join(lines, "\n"))
	}
}

func sortedTexts(sections []badSection) (texts []string) {
	for _, section := range sections {
		texts = append(texts, section.text)
	}
	slices.Sort(texts)
	return texts
}

func TestGoldenDiagnostics(t *testing.T) {
	b := newBench(t)
	texts := append(sortedTexts(badFairQueues), sortedTexts(badQuotas)...)
	for _, text := range append(texts, moreBadFiles...) {
		fmt.Fprintf(&b.Buffer, "\n%q\n", text)
		b.read(text)
	}
	_, err := Read(filepath.Join(b.dir, "none.yaml"))
	b.fault(err)
	b.read(strings.Repeat("#", 4<<20+1))
	key := base64.StdEncoding.EncodeToString(make([]byte, 32))
	for _, keys := range []string{"", "# none\n", "x\n", key + "\nQUJD\n\n=\n", strings.Repeat(key+"\n", 9),
		strings.Repeat(key+"\n# more\n", 8), strings.Repeat("#", 64<<10+1)} {
		require.NoError(t, os.WriteFile(filepath.Join(b.dir, "k"), []byte(keys), 0o600))
		taken, err := (&Gossip{KeyFile: "k"}).LoadKeys(filepath.Join(b.dir, "own.yaml"))
		fmt.Fprintln(&b.Buffer, len(keys), len(taken))
		b.fault(err)
	}
	_, err = (&Gossip{KeyFile: filepath.Join(b.dir, "none")}).LoadKeys("")
	b.fault(err)
	golden.Check(t, "diagnostics.txt", b.Bytes())
}

// What good files come to: the figures that subsystems get, the digest that servers compare, and the faults beside
// the platform's settings.
func TestGoldenSettings(t *testing.T) {
	platform, err := deployment.Read([]byte(`{"Categories":[
{"Name":"a","Effect":"by_key","HardLimit":8000,"OnTime":4000,"Worth":1,"Window":30000},
{"Name":"c","Effect":"once","HardLimit":8000,"OnTime":4000,"Worth":1}],"FamilyInfo":{"Cores":1},
"Tenants":[{"Name":"t","Share":0.2},{"Name":"u","Share":0.4}]}`))
	require.NoError(t, err)
	b := newBench(t)
	for _, text := range goodFiles {
		fmt.Fprintf(&b.Buffer, "\n%q\n", text)
		own := b.read(text)
		require.NotNil(t, own, text)
		b.fault(own.ValidateAgainst(platform, 64<<20))
		if f := own.FairQueues; f != nil {
			l := f.SchedulerConfig(platform)
			fmt.Fprintln(&b.Buffer, l.OthersWeight, l.NewcomerFraction, l.MaxHeavyHitters, l.SharedFlows,
				int64(l.Burst),
				int64(l.MinHistory), int64(l.RehashInterval), f.TenantTable() != nil)
			for _, one := range l.Tenants {
				fmt.Fprintln(&b.Buffer, one.Name, one.Weight)
			}
		}
		if s := own.Quota; s != nil {
			fmt.Fprintln(&b.Buffer, s.Digest(), s.Revision, strings.ReplaceAll(s.DirectoryPath(filepath.Join(b.dir,
				"own.yaml")), b.dir, "DIR"), s.StartFresh, s.Coordinators)
			for i, l := range s.Limits() {
				fmt.Fprintln(&b.Buffer, LimitNames[i], int64(l.Total), int64(l.GuaranteedMinimum), l.Slots,
					int64(l.LeaseDuration), int64(l.GracePeriod), l.ClockDrift, int64(l.InitialAmount),
					l.Hysteresis, l.IsRate, int64(l.Granularity))
			}
		}
		if s := own.Store; s != nil {
			l := s.LogConfig(platform, 64<<20)
			fmt.Fprintln(&b.Buffer, int(l.Durability), l.MaxBytes, l.MaxRecords, l.SegmentBytes, int64(l.MaxWindow),
				int64(l.ClockUncertainty), l.MaxOutcomes, l.AllowEmpty, s.DirectoryPath("/e/own.yaml"))
		}
		if p := own.Plugins; p != nil {
			b.plugins(p, platform)
		}
	}
	golden.Check(t, "settings.txt", b.Bytes())
}

func (b *bench) plugins(p *Plugins, platform *deployment.Config) {
	spec := p.ProcessSpec(map[string]map[string][]byte{"p": {"k": []byte("v")}, "q": {"k": []byte("w")}})
	fmt.Fprintln(&b.Buffer, spec.Workers, spec.MemoryMB, p.DiscardsState(), int64(p.ReadyTimeout))
	for _, o := range spec.Plugins {
		fmt.Fprintln(&b.Buffer, o.Name, strings.ReplaceAll(o.File, b.dir, "DIR"), o.SHA256, o.MemoryKB, o.MaxCodeKB,
			int64(o.StartTimeout), o.Compile, o.Hooks, o.State, o.MaxStateKB, o.Seed)
		for _, s := range o.Samples {
			does := -1
			if s.ExpectedActions != nil {
				does = *s.ExpectedActions
			}
			fmt.Fprintln(&b.Buffer, s.Hook, s.Category, s.Tenant, s.Body, does, s.ExpectedStatus)
		}
	}
	for i := range p.Entries { // a category that the settings don't have is no one's
		entry := &p.Entries[i]
		isUnknown := func(name string) bool { return name == "none" }
		entry.TargetCategories = slices.DeleteFunc(entry.TargetCategories, isUnknown)
	}
	for _, g := range p.Grants(platform) {
		fmt.Fprintln(&b.Buffer, g.Name, g.Hooks, g.Categories, slices.Sorted(maps.Keys(g.Tenants)), g.MayReject,
			g.TargetCategories, g.MayTag, g.MayRewrite, int64(g.CallTimeout), g.MaxTimeFraction, g.CoreFraction,
			int64(g.TickInterval), int(g.Fallback), g.FaultsByTenant, g.MaxConsecutiveFaults, g.MaxFaultRate,
			int64(g.MinQuarantine), int64(g.MaxQuarantine))
	}
}
