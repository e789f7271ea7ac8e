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

// pluginSectionStart is the start of a section plugins. A test appends further keys of the plug-in and the closing
// brace.
const pluginSectionStart = "plugins:\n  list:\n    - {name: p, file: p.wasm, hooks: [read]"

// moreInvalidFiles are invalid files with faults that the other tests do not cover, including invalid YAML.
var moreInvalidFiles = []string{
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
	"peers:\n",
	"peers: {listen: a, advertise: 1.2.3.4, status: ':1', first: ['localhost:1', '127.0.0.1:1'], " +
		"fleet: '', servers: 0, key_file: ''}\n",
	"peers: {listen: '127.0.0.1:1', fleet: f, servers: 5000, key_file: k, founders: [a, b]}\n",
	"peers: {listen: '127.0.0.1:1', fleet: f, servers: 2, key_file: k, founders: [a, '', a]}\n",
	"peers: {listen: '127.0.0.1:1', fleet: f, servers: 20, key_file: k, founders: [" + strings.Repeat("a, ",
		16) + "a]}\n",
	"peers: {listen: '127.0.0.1:1', fleet: f, servers: 2, key_file: k, first: [" + strings.Repeat("x, ", 64) + "x]}\n",
	"store:\n",
	"store: {directory: '', durability: disk, megabytes: 0, records: 99, segment_kb: 15, " +
		"clock_doubt: -1s, fresh: 1}\n",
	"store: {directory: d, megabytes: 65537, records: 100000001, segment_kb: 32769, clock_doubt: 25h, fresh: yes}\n",
	"shares:\n",
	"shares: {revision: 0, calls: 0, calls_a_second: -1, slots: 0, floor: -1, floor_a_second: -1, " +
		"longest_call: 0s, clock_drift: -0.1}\n",
	gossipSection + "shares: {calls: 8, slots: 4, keepers: [a, '', b], directory: d, longest_call: 61s}\n",
	"plugins:\n",
	"plugins: {list: []}\n",
	"plugins: {memory_mb: 11, workers: 17, ready: 1ms, list: [{}]}\n",
	"plugins: {memory_mb: 4097, workers: 0, ready: 3m, list: 1}\n",
	pluginSectionStart + "}\n    - {name: p, file: none.wasm, hooks: []}\n",
	pluginSectionStart + ", code_kb: 1}\n",
	pluginSectionStart + ", sha256: ab}\n",
	pluginSectionStart + ", may: [rewrite]}\n",
	pluginSectionStart + ", may: [categorise]}\n",
	pluginSectionStart + ", to: [a]}\n",
	pluginSectionStart + ", otherwise: decline}\n",
	pluginSectionStart + ", quarantine: 2s, longest_quarantine: 1s}\n",
	"plugins:\n  list:\n    - {name: p, file: p.wasm, hooks: [tick], may: [decline]}\n",
	pluginSectionStart + ", engine: x, memory_kb: 63, code_kb: 65537, keep_kb: -1, keep: 1, start: 31s, call: 201ms, " +
		"share: 0.6, core: 0, every: 1ms," +
		" otherwise: x, faults_by_tenant: x, faults_in_a_row: 0, fault_rate: 0, quarantine: 1ms, " +
		"longest_quarantine: 25h}\n",
	pluginSectionStart + ", samples: [{hook: x, category: 1, does: [x], status: 600}, 7]}\n",
}

// validFiles are files that Read accepts. Some of them are not consistent with the platform's settings of the test.
var validFiles = []string{
	"fair_queues:\n",
	"fair_queues: {tenants: [{name: t, share: 3}, {name: stranger, share: 1.5}], burst: 1s, " +
		"history: 1500ms, reshuffle: 3s, books: 7, groups: 8, newcomers: 0.5}\n",
	"fair_queues: {others: 2, by: network, networks: [{prefix: '::ffff:10.0.0.0/104', tenant: a}, " +
		"{prefix: 'fd00::1', tenant: b}], trusted_fronts: [127.0.0.1]}\n",
	gossipSection + "shares: {calls: 800, slots: 400, calls_a_second: 2000, floor_a_second: 2, " +
		"longest_call: 750ms, clock_drift: 0.05}\n",
	gossipSection + "shares: {calls: 8, slots: 4, keepers: [a, b, c], directory: d, fresh: true, revision: 3}\n",
	"store: {directory: d, durability: process, megabytes: 3, records: 200, segment_kb: 32, clock_doubt: 90s, " +
		"fresh: true}\n",
	"store: {directory: /d}\n",
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

// transcript records the results for files that it writes to a temporary directory.
type transcript struct {
	bytes.Buffer
	testing.TB
	directory string
}

// newTranscript returns an empty transcript, whose directory contains the module p.wasm.
func newTranscript(t testing.TB) *transcript {
	t.Helper()
	recorded := &transcript{TB: t, directory: t.TempDir()}
	module := bytes.Repeat([]byte("module"), 200)
	require.NoError(t, os.WriteFile(filepath.Join(recorded.directory, "p.wasm"), module, 0o600))
	return recorded
}

// println records values as one line.
func (s *transcript) println(values ...any) { fmt.Fprintln(&s.Buffer, values...) }

// maskDirectory replaces the path of the directory in a text by DIR, because the path differs in each run.
func (s *transcript) maskDirectory(text string) string {
	return strings.ReplaceAll(text, s.directory, "DIR")
}

// read writes a text to a file, reads it with Read and records the diagnostics.
func (s *transcript) read(text string) *Config {
	file := filepath.Join(s.directory, "own.yaml")
	require.NoError(s, os.WriteFile(file, []byte(text), 0o600))
	config, err := Read(file)
	s.addError(err)
	return config
}

// addError records the lines of an error, if there is one. It sorts them because some faults are reported in no fixed
// order.
func (s *transcript) addError(err error) {
	if err == nil {
		return
	}
	lines := strings.Split(s.maskDirectory(err.Error()), "\n")
	slices.Sort(lines)
	s.println(strings.Join(lines, "\n"))
}

// sortedTexts returns the texts of the sections in alphabetical order.
func sortedTexts(sections []invalidFile) (texts []string) {
	for _, section := range sections {
		texts = append(texts, section.text)
	}
	slices.Sort(texts)
	return texts
}

// TestGoldenDiagnostics compares the diagnostics for invalid settings files and key files with a golden file.
func TestGoldenDiagnostics(t *testing.T) {
	recorded := newTranscript(t)
	texts := append(sortedTexts(invalidFairQueues), sortedTexts(invalidQuotas)...)
	for _, text := range append(texts, moreInvalidFiles...) {
		fmt.Fprintf(&recorded.Buffer, "\n%q\n", text)
		recorded.read(text)
	}
	_, err := Read(filepath.Join(recorded.directory, "none.yaml"))
	recorded.addError(err)
	recorded.read(strings.Repeat("#", 4<<20+1))
	key := base64.StdEncoding.EncodeToString(make([]byte, 32))
	for _, text := range []string{"", "# none\n", "x\n", key + "\nQUJD\n\n=\n", strings.Repeat(key+"\n", 9),
		strings.Repeat(key+"\n# more\n", 8), strings.Repeat("#", 64<<10+1)} {
		require.NoError(t, os.WriteFile(filepath.Join(recorded.directory, "k"), []byte(text), 0o600))
		keys, err := (&Gossip{KeyFile: "k"}).LoadKeys(filepath.Join(recorded.directory, "own.yaml"))
		recorded.println(len(text), len(keys))
		recorded.addError(err)
	}
	_, err = (&Gossip{KeyFile: filepath.Join(recorded.directory, "none")}).LoadKeys("")
	recorded.addError(err)
	golden.Check(t, "diagnostics.txt", recorded.Bytes())
}

// TestGoldenSettings compares the results for valid files with a golden file: the values that the subsystems get, the
// digest that servers compare, and the inconsistencies with the platform's settings.
func TestGoldenSettings(t *testing.T) {
	platform, err := deployment.Read([]byte(`{"Categories":[
{"Name":"a","Effect":"by_key","HardLimit":8000,"OnTime":4000,"Worth":1,"Window":30000},
{"Name":"c","Effect":"once","HardLimit":8000,"OnTime":4000,"Worth":1}],"FamilyInfo":{"Cores":1},
"Tenants":[{"Name":"t","Share":0.2},{"Name":"u","Share":0.4}]}`))
	require.NoError(t, err)
	recorded := newTranscript(t)
	for _, text := range validFiles {
		fmt.Fprintf(&recorded.Buffer, "\n%q\n", text)
		config := recorded.read(text)
		require.NotNil(t, config, text)
		recorded.addError(config.ValidateAgainst(platform, 64<<20))
		if config.FairQueues != nil {
			recorded.addFairQueues(config.FairQueues, platform)
		}
		if config.Quota != nil {
			recorded.addQuota(config.Quota)
		}
		if config.Store != nil {
			recorded.addStore(config.Store, platform)
		}
		if config.Plugins != nil {
			recorded.addPlugins(config.Plugins, platform)
		}
	}
	golden.Check(t, "settings.txt", recorded.Bytes())
}

// addFairQueues records the scheduler's configuration.
func (s *transcript) addFairQueues(section *FairQueues, platform *deployment.Config) {
	scheduler := section.SchedulerConfig(platform)
	s.println(scheduler.OthersWeight, scheduler.NewcomerFraction, scheduler.MaxHeavyHitters, scheduler.SharedFlows,
		int64(scheduler.Burst), int64(scheduler.MinHistory), int64(scheduler.RehashInterval),
		section.TenantTable() != nil)
	for _, tenant := range scheduler.Tenants {
		s.println(tenant.Name, tenant.Weight)
	}
}

// addQuota records the digest and the limits.
func (s *transcript) addQuota(section *Quota) {
	directory := section.DirectoryPath(filepath.Join(s.directory, "own.yaml"))
	s.println(section.Digest(), section.Revision, s.maskDirectory(directory), section.StartFresh,
		section.Coordinators)
	for i, limit := range section.Limits() {
		s.println(LimitNames[i], int64(limit.Total), int64(limit.GuaranteedMinimum), limit.Slots,
			int64(limit.LeaseDuration), int64(limit.GracePeriod), limit.ClockDrift, int64(limit.InitialAmount),
			limit.Hysteresis, limit.IsRate, int64(limit.Granularity))
	}
}

// addStore records the configuration of the log.
func (s *transcript) addStore(section *Store, platform *deployment.Config) {
	log := section.LogConfig(platform, 64<<20)
	s.println(int(log.Durability), log.MaxBytes, log.MaxRecords, log.SegmentBytes, int64(log.MaxWindow),
		int64(log.ClockUncertainty), log.MaxOutcomes, log.AllowEmpty, section.DirectoryPath("/e/own.yaml"))
}

// addPlugins records the process specification and the policies of the plug-ins.
func (s *transcript) addPlugins(section *Plugins, platform *deployment.Config) {
	spec := section.ProcessSpec(map[string]map[string][]byte{"p": {"k": []byte("v")}, "q": {"k": []byte("w")}})
	s.println(spec.Workers, spec.MemoryMB, section.DiscardsState(), int64(section.ReadyTimeout))
	for _, module := range spec.Plugins {
		s.println(module.Name, s.maskDirectory(module.File), module.SHA256, module.MemoryKB, module.MaxCodeKB,
			int64(module.StartTimeout), module.Compile, module.Hooks, module.State, module.MaxStateKB, module.Seed)
		for _, sample := range module.Samples {
			actions := -1
			if sample.ExpectedActions != nil {
				actions = *sample.ExpectedActions
			}
			s.println(sample.Hook, sample.Category, sample.Tenant, sample.Body, actions, sample.ExpectedStatus)
		}
	}
	// Policies requires that the platform's settings contain all target categories.
	for i := range section.Entries {
		entry := &section.Entries[i]
		isUnknown := func(name string) bool { return name == "none" }
		entry.TargetCategories = slices.DeleteFunc(entry.TargetCategories, isUnknown)
	}
	for _, policy := range section.Policies(platform) {
		s.println(policy.Name, policy.Hooks, policy.Categories, slices.Sorted(maps.Keys(policy.Tenants)),
			policy.MayReject, policy.TargetCategories, policy.MayTag, policy.MayRewrite, int64(policy.CallTimeout),
			policy.MaxTimeFraction, policy.CoreFraction, int64(policy.TickInterval), int(policy.Fallback),
			policy.FaultsByTenant, policy.MaxConsecutiveFaults, policy.MaxFaultRate, int64(policy.MinQuarantine),
			int64(policy.MaxQuarantine))
	}
}
