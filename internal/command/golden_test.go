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

// commandOutputs runs commands and writes down their exit codes and what they print.
type commandOutputs struct {
	bytes.Buffer
	t   *testing.T
	dir string
}

// writeFile writes an input file into the folder and gives its path.
func (o *commandOutputs) writeFile(name, text string) string {
	o.t.Helper()
	path := filepath.Join(o.dir, name)
	require.NoError(o.t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// runCommand gives what a command prints, without what differs from run to run: the folder, server addresses and times.
func (o *commandOutputs) runCommand(args ...string) string {
	o.t.Helper()
	var out, errs bytes.Buffer
	code := command.Run(args, &out, &errs)
	line := strings.ReplaceAll(strings.Join(args, " "), o.dir, "DIR")
	fmt.Fprintf(&o.Buffer, "\n%s: code %d\n",
		regexp.MustCompile(`127\.0\.0\.1:\d+`).ReplaceAllString(line, "ADDRESS"), code)
	printed := strings.ReplaceAll(out.String(), o.dir, "DIR")
	return regexp.MustCompile(`"(took_us|memory_kb)":\d+`).ReplaceAllString(printed, `"$1":0`)
}

// runCheck writes down the diagnostics of files sorted by their text: some come in no fixed order.
func (o *commandOutputs) runCheck(files ...string) {
	o.t.Helper()
	lines := strings.Split(strings.TrimSpace(o.runCommand(append([]string{"check"}, files...)...)), "\n")
	slices.Sort(lines)
	fmt.Fprintln(&o.Buffer, strings.Join(lines, "\n"))
}

// writeNumbers writes down the whole numbers of a text for people, without durations.
func (o *commandOutputs) writeNumbers(text string) {
	o.t.Helper()
	text = regexp.MustCompile(`-?[\d.]+(h|m|s|ms|µs)([\d.]+(m|s))*\b`).ReplaceAllString(text, "")
	fmt.Fprintln(&o.Buffer, regexp.MustCompile(`\b\d+\b`).FindAllString(text, -1))
}

const goldenConfig = `{"name":"n3","listen":"127.0.0.1:8443","vm":"127.0.0.1:1","lookup":"127.0.0.1:2",` +
	`"index":"127.0.0.1:3","seed":"8c1f30d27a5be964",
"stop_ms":1500,"limits":{"cores":1.0,"memory_mb":192,"sockets":64},"settings":` + servertest.PlatformSettings + "}"

// The output of every command, as far as it depends on nothing but its input, is as in the golden file.
func TestGoldenOutputs(t *testing.T) {
	t.Setenv("PROXY_CONFIG", "")
	o := &commandOutputs{t: t, dir: t.TempDir()}
	good := o.writeFile("good.json", goldenConfig)
	own := o.writeFile("own.yaml", "fair_queues:\n  tenants: [{name: acme, share: 1}]\n")
	o.runCheck(good, own)
	o.runCheck(good, o.writeFile("other.yml",
		"fair_queues:\n  tenants: [{name: amce, share: 1}, {name: beta, share: 1}]\n"+
			"shares: {calls: 1, slots: 2}\n"))
	o.runCheck(own, o.writeFile("strange.toml", ""), filepath.Join(o.dir, "none.json"))
	for i, change := range [][]string{
		{`"by_key"`, `"by_kye"`, `"sockets":64`, `"sockets":4`, `"name":"n3"`, `"name":""`},
		{`"stop_ms":1500`, `"stop_ms":-1`, `"cores":1.0`, `"cores":0`, `"memory_mb":192`, `"memory_mb":8`, `:8443`,
			``, `"127.0.0.1:1"`, `"x"`},
		{`"settings":{`, `"setting":{`}, {`"settings":{`, `"settings":[{`}, {`"stop_ms":1500`, `"stop_ms":"x"`},
		{`"name":"n3"`, `"name":"n3","Name":"n4"`},
		{`"Cores":2`, `"Cores":"2"`}, {`"sockets":64`, `"sockets":64.5`}, {`"Meters"`, `Meters`},
		{`"seed"`, `"seed":"","seed"`}, {`"limits":{`, `"limits":null,"l":{`},
	} {
		require.Contains(t, goldenConfig, change[0])
		o.runCheck(o.writeFile(fmt.Sprintf("bad%d.json", i), strings.NewReplacer(change...).Replace(goldenConfig)))
	}

	answers := map[string]string{
		"/members": `{"name":"n1","life":"0000000000000001","standing":"whole","since_ms":2,"until_ms":3,"epoch":4,` +
			`"voters":["n1","n2"],"agreed":5,"size":6,
"counts":{"Insane":7,"Old":8,"Foreign":9,"Unknown":10,"Full":11,"FalseAlarms":12,"NameTaken":13},` +
			`"dropped":14,"garbled":15,"sent_bytes":16,
"members":[{"name":"n2","life":"0000000000000017","address":"a","zone":"z","version":"v","state":"there",` +
			`"cause":"none","since_ms":18,"age_ms":19,
"direct_ms":-1,"trip_ms":20,"epoch":21,"pool":22.5,"load":23.5,"free":24.5,"index_ms":25.5}]}`,
		"/shares": `{"name":"n1","voter":2,"leads":true,"leader":"n3","whole":true,"voters":["n1"],"opened":true,` +
			`"entries":4,"memories_lost":5,
"strange_terms":6,"limits":[{"name":"calls","whole":7.5,"target":8.5,"floors":9.5,"granted":10.5,` +
			`"length_ms":11,"usable_here":12.5,"ends_ms":13,
"servers":[{"server":"s","amount":14,"counts":15,"wants":16,"left_ms":17,"heard_ms":18}]}]}`}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write([]byte(answers[r.URL.Path]))
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	o.WriteString(o.runCommand("members", "--json", address))
	o.WriteString(o.runCommand("shares", "--json", address))
	o.runCommand("shares")

	for _, kind := range []string{"good", "other-version", "foreign", "truncated"} {
		o.runCommand("plugin", "check", o.writeFile(kind+".wasm", string(emulator.PluginModule(kind))))
	}
	for _, hook := range []string{"read", "result", "tick", "none"} {
		request := o.writeFile(hook+"-request.json",
			fmt.Sprintf(`{"hook":%q,"left_ms":500,"category":"look","tenant":"acme","tag":"t","body":"a long body"}`,
				hook))
		for _, kind := range []string{"good", "declines", "recategorise", "tags", "shortens", "status-9999"} {
			o.WriteString(o.runCommand("plugin", "run", "--call", "2s", "--request", request,
				o.writeFile(kind+".wasm", string(emulator.PluginModule(kind)))))
		}
	}
	o.runStoreCommands()
	golden.Check(t, "outputs.txt", o.Bytes())
}

// runStoreCommands writes a store and has it inspected, verified, compacted, and verified again with one byte changed.
func (o *commandOutputs) runStoreCommands() {
	o.t.Helper()
	directory := filepath.Join(o.dir, "store")
	files, err := segmentlog.OpenDirectory(directory)
	require.NoError(o.t, err)
	done := make(chan []segmentlog.WriteResult, 100)
	s, err := segmentlog.Open(files, segmentlog.Config{MaxBytes: 1 << 20, MaxRecords: 1000, SegmentBytes: 1 << 16,
		MaxWindow: 600_000, MaxOutcomes: 10, AllowEmpty: true,
		Now: segmentlog.MachineClock, OnWritten: func(d []segmentlog.WriteResult) { done <- d }})
	require.NoError(o.t, err)
	until := segmentlog.MachineClock().Wall + 36_000_000
	for i, key := range []string{"open", "kept", "failed", "void"} {
		require.NoError(o.t, s.AppendIntent(recovery.Record{Kind: recovery.KindIntent, Key: key,
			Attempt: uint64(i + 1), WindowEnd: until, WrittenAt: segmentlog.MachineClock()}, uint64(i)))
		<-done
	}
	for _, r := range []recovery.Record{{Kind: recovery.KindCompletion, Key: "kept", Attempt: 2, Succeeded: true,
		Payload: []byte("result")},
		{Kind: recovery.KindCompletion, Key: "failed", Attempt: 3},
		{Kind: recovery.KindCancellation, Key: "void", Attempt: 4}} {
		r.WindowEnd = until
		r.WrittenAt = segmentlog.MachineClock()
		s.AppendCompletion(r, r.Attempt+10)
		<-done
	}
	o.runCommand("store", "compact", directory)
	s.Close()
	<-s.Done()
	require.NoError(o.t, files.Close())
	o.writeNumbers(o.runCommand("store", "inspect", "--all", "--window", "60s", "--doubt", time.Minute.String(),
		directory))
	o.writeNumbers(o.runCommand("store", "verify", directory))
	o.writeNumbers(o.runCommand("store", "compact", directory))
	o.writeNumbers(o.runCommand("store", "inspect", directory))
	segments, err := filepath.Glob(filepath.Join(directory, "*.seg"))
	require.NoError(o.t, err)
	text, err := os.ReadFile(segments[0])
	require.NoError(o.t, err)
	text[len(text)/2] ^= 1
	require.NoError(o.t, os.WriteFile(segments[0], text, 0o600))
	o.runCommand("store", "verify", directory)
	o.runCommand("store", "verify", filepath.Join(o.dir, "nowhere"))
}
