package command_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/command"
	"thistlequay/internal/servertest"
)

func TestCommandLineExitCodesAndMessages(t *testing.T) {
	t.Setenv("PROXY_CONFIG", "")
	for line, c := range map[string]struct {
		code int
		says string
	}{
		"--help":             {0, "thistlequay try"},
		"serve --help":       {0, "--service"},
		"version":            {0, "go1."},
		"bogus":              {command.ExitUsage, "unexpected argument bogus"},
		"serve --log=loud":   {command.ExitUsage, "must be one of"},
		"check":              {command.ExitUsage, "FILE"},
		"check nowhere.json": {command.ExitFailed, "no such file"},
		"check some.toml":    {command.ExitFailed, "is of no known kind"},
	} {
		var out, errs bytes.Buffer
		require.Equal(t, c.code, command.Run(strings.Fields(line), &out, &errs), line)
		require.Contains(t, out.String()+errs.String(), c.says, line)
	}
}

// `check` reports every diagnostic of both files at once, each with its source position.
func TestCheckReportsEveryDiagnosticWithItsPlace(t *testing.T) {
	server := servertest.New(t)
	json := filepath.Join(t.TempDir(), "c.json")
	yaml := filepath.Join(t.TempDir(), "s.yaml")
	check := func(config, service string) (int, string) {
		require.NoError(t, os.WriteFile(json, []byte(config), 0o600))
		require.NoError(t, os.WriteFile(yaml, []byte(service), 0o600))
		var out bytes.Buffer
		code := command.Run([]string{"check", json, yaml}, &out, &out)
		return code, strings.ReplaceAll(strings.ReplaceAll(out.String(), json, "c"), yaml, "s")
	}
	code, out := check(server.Config, "fair_queues:\n  tenants: [{name: acme, share: 1}]\n")
	require.Equal(t, "0 2 files, no fault\n", strings.Join([]string{string(rune('0' + code)), out}, " "))
	code, out = check(server.Config, "fair_queues:\n  tenants: [{name: amce, share: 1}]\n")
	require.Equal(t, command.ExitFailed, code)
	require.Contains(t, out, `s:2:20: fair_queues.tenants[0].name: "amce" is none; expected a tenant of the `+
		`platform's settings`)
	bad := strings.Replace(strings.Replace(strings.Replace(server.Config, `"by_key"`, `"by_kye"`, 1), `"sockets":64`,
		`"sockets":4`, 1),
		`"name":"n3"`, `"name":""`, 1)
	code, out = check(bad, "fair_queues:\n  books: x\n")
	require.Equal(t, command.ExitFailed, code)
	for _, fault := range []string{`c:1:9: name: is missing or empty`,
		`limits.sockets: 4 is out of range; expected from 48 to`,
		`c:4:11: settings.Categories[1].Effect: "by_kye" is not known`,
		`s:2:10: fair_queues.books: "x"; expected a whole number`,
		"4 faults in 2 files"} {
		require.Contains(t, out, fault)
	}
}

func TestServeWritesJSONLog(t *testing.T) {
	server := servertest.New(t)
	server.Args = []string{"serve", "--log", "json"}
	server.WriteFilesAndStart()
	server.AcceptInterpreter(0)
	server.Contains(server.LogText(), `"event":"listening","name":"n3"`)
}
