package command_test

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/command"
	"thistlequay/internal/emulator"
	"thistlequay/internal/golden"
	"thistlequay/internal/recovery"
	"thistlequay/internal/segmentlog"
	"thistlequay/internal/servertest"
)

// Patterns for the parts of the output that differ from run to run.
var (
	serverAddress     = regexp.MustCompile(`127\.0\.0\.1:\d+`)
	timeOrMemoryField = regexp.MustCompile(`"(took_us|memory_kb)":\d+`)
	printedDuration   = regexp.MustCompile(`-?[\d.]+(h|m|s|ms|µs)([\d.]+(m|s))*\b`)
)

// wholeNumber matches a whole number in human-readable output.
var wholeNumber = regexp.MustCompile(`\b\d+\b`)

// commandOutputs runs commands and collects their exit codes and output in the format of the golden file.
type commandOutputs struct {
	bytes.Buffer
	t         *testing.T
	directory string // for the input files of commands
}

// writeFile writes an input file and returns its path.
func (o *commandOutputs) writeFile(name, text string) string {
	o.t.Helper()
	path := filepath.Join(o.directory, name)
	require.NoError(o.t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// writeModule writes the plug-in module of a kind that emulator.PluginModule knows, and returns its path.
func (o *commandOutputs) writeModule(name string) string {
	o.t.Helper()
	return o.writeFile(name+".wasm", string(emulator.PluginModule(name)))
}

// runCommand runs a command and records its arguments and exit code. It returns what the command printed to standard
// output. Placeholders replace what differs from run to run: the directory, server addresses, times and memory.
func (o *commandOutputs) runCommand(args ...string) string {
	o.t.Helper()
	var out, errs bytes.Buffer
	code := command.Run(args, &out, &errs)
	line := strings.ReplaceAll(strings.Join(args, " "), o.directory, "DIR")
	fmt.Fprintf(&o.Buffer, "\n%s: code %d\n", serverAddress.ReplaceAllString(line, "ADDRESS"), code)
	printed := strings.ReplaceAll(out.String(), o.directory, "DIR")
	return timeOrMemoryField.ReplaceAllString(printed, `"$1":0`)
}

// runCheck runs the check command and records its output with the lines sorted, because the order of some diagnostics
// is not deterministic.
func (o *commandOutputs) runCheck(files ...string) {
	o.t.Helper()
	printed := o.runCommand(append([]string{"check"}, files...)...)
	lines := strings.Split(strings.TrimSpace(printed), "\n")
	slices.Sort(lines)
	fmt.Fprintln(&o.Buffer, strings.Join(lines, "\n"))
}

// runAndRecordNumbers runs a command and records only the whole numbers in its output. Numbers in durations are
// omitted.
func (o *commandOutputs) runAndRecordNumbers(args ...string) {
	o.t.Helper()
	text := printedDuration.ReplaceAllString(o.runCommand(args...), "")
	fmt.Fprintln(&o.Buffer, wholeNumber.FindAllString(text, -1))
}

// goldenConfig is a valid platform configuration.
const goldenConfig = `{"name":"n3","listen":"127.0.0.1:8443","vm":"127.0.0.1:1","lookup":"127.0.0.1:2",` +
	`"index":"127.0.0.1:3","seed":"8c1f30d27a5be964",
"stop_ms":1500,"limits":{"cores":1.0,"memory_mb":192,"sockets":64},"settings":` + servertest.PlatformSettings + "}"

// Responses of the server's status endpoints in the golden test. All numbers in a response are different, so that the
// golden file shows when fields are mixed up.
const (
	membersResponse = `{"name":"n1","life":"0000000000000001","standing":"whole","since_ms":2,"until_ms":3,"epoch":4,` +
		`"voters":["n1","n2"],"agreed":5,"size":6,
"counts":{"Insane":7,"Old":8,"Foreign":9,"Unknown":10,"Full":11,"FalseAlarms":12,"NameTaken":13},` +
		`"dropped":14,"garbled":15,"sent_bytes":16,
"members":[{"name":"n2","life":"0000000000000017","address":"a","zone":"z","version":"v","state":"there",` +
		`"cause":"none","since_ms":18,"age_ms":19,
"direct_ms":-1,"trip_ms":20,"epoch":21,"pool":22.5,"load":23.5,"free":24.5,"index_ms":25.5}]}`
	sharesResponse = `{"name":"n1","voter":2,"leads":true,"leader":"n3","whole":true,"voters":["n1"],"opened":true,` +
		`"entries":4,"memories_lost":5,
"strange_terms":6,"limits":[{"name":"calls","whole":7.5,"target":8.5,"floors":9.5,"granted":10.5,` +
		`"length_ms":11,"usable_here":12.5,"ends_ms":13,
"servers":[{"server":"s","amount":14,"counts":15,"wants":16,"left_ms":17,"heard_ms":18}]}]}`
)

// TestGoldenOutputs compares the exit codes and the output of the commands with a golden file. It leaves out output
// that depends on anything but the input of the command.
func TestGoldenOutputs(t *testing.T) {
	t.Setenv("PROXY_CONFIG", "")
	o := &commandOutputs{t: t, directory: t.TempDir()}
	o.runCheckCommands()
	o.runStatusCommands()
	o.runPluginCommands()
	o.runStoreCommands()
	golden.Check(t, "outputs.txt", o.Bytes())
}

// runCheckCommands runs the check command on valid files, invalid service settings, a file with an unknown extension, a
// file that does not exist, and configurations with one to five faults.
func (o *commandOutputs) runCheckCommands() {
	o.t.Helper()
	config := o.writeFile("good.json", goldenConfig)
	service := o.writeFile("own.yaml", "fair_queues:\n  tenants: [{name: acme, share: 1}]\n")
	o.runCheck(config, service)
	o.runCheck(config, o.writeFile("other.yml",
		"fair_queues:\n  tenants: [{name: amce, share: 1}, {name: beta, share: 1}]\nshares: {calls: 1, slots: 2}\n"))
	o.runCheck(service, o.writeFile("strange.toml", ""), filepath.Join(o.directory, "none.json"))
	for i, replacements := range [][]string{
		{`"by_key"`, `"by_kye"`, `"sockets":64`, `"sockets":4`, `"name":"n3"`, `"name":""`},
		{
			`"stop_ms":1500`, `"stop_ms":-1`, `"cores":1.0`, `"cores":0`, `"memory_mb":192`, `"memory_mb":8`,
			`:8443`, ``, `"127.0.0.1:1"`, `"x"`,
		},
		{`"settings":{`, `"setting":{`},
		{`"settings":{`, `"settings":[{`},
		{`"stop_ms":1500`, `"stop_ms":"x"`},
		{`"name":"n3"`, `"name":"n3","Name":"n4"`},
		{`"Cores":2`, `"Cores":"2"`},
		{`"sockets":64`, `"sockets":64.5`},
		{`"Meters"`, `Meters`},
		{`"seed"`, `"seed":"","seed"`},
		{`"limits":{`, `"limits":null,"l":{`},
	} {
		require.Contains(o.t, goldenConfig, replacements[0])
		invalid := strings.NewReplacer(replacements...).Replace(goldenConfig)
		o.runCheck(o.writeFile(fmt.Sprintf("bad%d.json", i), invalid))
	}
}

// runStatusCommands runs the members and shares commands against a test server, and the shares command without an
// address.
func (o *commandOutputs) runStatusCommands() {
	o.t.Helper()
	responses := map[string]string{"/members": membersResponse, "/shares": sharesResponse}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write([]byte(responses[r.URL.Path])) // if the write fails, the output differs from the golden file
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	o.WriteString(o.runCommand("members", "--json", address))
	o.WriteString(o.runCommand("shares", "--json", address))
	o.runCommand("shares")
}

// runPluginCommands runs plugin check on valid and invalid modules, and plugin run on modules with each hook and with
// an unknown hook.
func (o *commandOutputs) runPluginCommands() {
	o.t.Helper()
	for _, kind := range []string{"good", "other-version", "foreign", "truncated"} {
		o.runCommand("plugin", "check", o.writeModule(kind))
	}
	const requestFormat = `{"hook":%q,"left_ms":500,"category":"look","tenant":"acme","tag":"t","body":"a long body"}`
	for _, hook := range []string{"read", "result", "tick", "none"} {
		request := o.writeFile(hook+"-request.json", fmt.Sprintf(requestFormat, hook))
		for _, kind := range []string{"good", "declines", "recategorise", "tags", "shortens", "status-9999"} {
			o.WriteString(o.runCommand("plugin", "run", "--call", "2s", "--request", request, o.writeModule(kind)))
		}
	}
}

// runStoreCommands compacts a store while it is open, and inspects, verifies, compacts and inspects it after it is
// closed. It then verifies the store with one byte changed, and a directory that does not exist.
func (o *commandOutputs) runStoreCommands() {
	o.t.Helper()
	directory := filepath.Join(o.directory, "store")
	o.writeStore(directory, func() { o.runCommand("store", "compact", directory) })
	o.runAndRecordNumbers("store", "inspect", "--all", "--window", "60s", "--doubt", time.Minute.String(), directory)
	o.runAndRecordNumbers("store", "verify", directory)
	o.runAndRecordNumbers("store", "compact", directory)
	o.runAndRecordNumbers("store", "inspect", directory)
	segments, err := filepath.Glob(filepath.Join(directory, "*.seg"))
	require.NoError(o.t, err)
	segment, err := os.ReadFile(segments[0])
	require.NoError(o.t, err)
	segment[len(segment)/2] ^= 1
	require.NoError(o.t, os.WriteFile(segments[0], segment, 0o600))
	o.runCommand("store", "verify", directory)
	o.runCommand("store", "verify", filepath.Join(o.directory, "nowhere"))
}

// deduplicationWindow is the deduplication window of the records in the store, in ticks. One hour is long enough that
// it does not end during the test.
const deduplicationWindow = 36_000_000

// writeStore writes a store with the records of four idempotency keys: one without an outcome, one that succeeded, one
// that failed and one that was cancelled. It calls whileOpen before it closes the store.
func (o *commandOutputs) writeStore(directory string, whileOpen func()) {
	o.t.Helper()
	files, err := segmentlog.OpenDirectory(directory)
	require.NoError(o.t, err)
	written := make(chan struct{}, 100)
	store, err := segmentlog.Open(files, segmentlog.Config{
		MaxBytes:     1 << 20,
		MaxRecords:   1000,
		SegmentBytes: 1 << 16,
		MaxWindow:    600_000,
		MaxOutcomes:  10,
		AllowEmpty:   true,
		Now:          segmentlog.MachineClock,
		OnWritten:    func([]segmentlog.WriteResult) { written <- struct{}{} },
	})
	require.NoError(o.t, err)
	windowEnd := segmentlog.MachineClock().Wall + deduplicationWindow
	for i, key := range []string{"open", "kept", "failed", "void"} {
		require.NoError(o.t, store.AppendIntent(recovery.Record{
			Kind:      recovery.KindIntent,
			Key:       key,
			Attempt:   uint64(i + 1),
			WindowEnd: windowEnd,
			WrittenAt: segmentlog.MachineClock(),
		}, uint64(i)))
		<-written
	}
	for _, record := range []recovery.Record{
		{Kind: recovery.KindCompletion, Key: "kept", Attempt: 2, Succeeded: true, Payload: []byte("result")},
		{Kind: recovery.KindCompletion, Key: "failed", Attempt: 3},
		{Kind: recovery.KindCancellation, Key: "void", Attempt: 4},
	} {
		record.WindowEnd = windowEnd
		record.WrittenAt = segmentlog.MachineClock()
		store.AppendCompletion(record, record.Attempt+10)
		<-written
	}
	whileOpen()
	store.Close()
	<-store.Done()
	require.NoError(o.t, files.Close())
}
