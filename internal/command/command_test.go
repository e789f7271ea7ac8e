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

// TestCommandLineExitCodesAndMessages checks that help and version exit with 0, invalid arguments with
// command.ExitUsage and files that cannot be checked with command.ExitFailed, and that the output says what is expected
// or wrong.
func TestCommandLineExitCodesAndMessages(t *testing.T) {
	t.Setenv("PROXY_CONFIG", "")
	for line, want := range map[string]struct {
		code    int
		message string
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
		t.Run(line, func(t *testing.T) {
			var out, errs bytes.Buffer
			require.Equal(t, want.code, command.Run(strings.Fields(line), &out, &errs), line)
			require.Contains(t, out.String()+errs.String(), want.message, line)
		})
	}
}

// runCheck runs the check command on a platform configuration and service settings. It returns the exit code and the
// output, in which the paths of the two files are replaced by c and s.
func runCheck(t *testing.T, config, service string) (int, string) {
	t.Helper()
	configPath := filepath.Join(t.TempDir(), "c.json")
	servicePath := filepath.Join(t.TempDir(), "s.yaml")
	require.NoError(t, os.WriteFile(configPath, []byte(config), 0o600))
	require.NoError(t, os.WriteFile(servicePath, []byte(service), 0o600))
	var out bytes.Buffer
	code := command.Run([]string{"check", configPath, servicePath}, &out, &out)
	return code, strings.NewReplacer(configPath, "c", servicePath, "s").Replace(out.String())
}

// TestCheckReportsEveryDiagnosticWithItsPlace checks that the check command reports the diagnostics of all files in one
// run, each with its source position.
func TestCheckReportsEveryDiagnosticWithItsPlace(t *testing.T) {
	config := servertest.New(t).Config
	t.Run("valid files", func(t *testing.T) {
		code, out := runCheck(t, config, "fair_queues:\n  tenants: [{name: acme, share: 1}]\n")
		require.Zero(t, code)
		require.Equal(t, "2 files, no fault\n", out)
	})
	t.Run("settings that do not fit the configuration", func(t *testing.T) {
		code, out := runCheck(t, config, "fair_queues:\n  tenants: [{name: amce, share: 1}]\n")
		require.Equal(t, command.ExitFailed, code)
		require.Contains(t, out,
			`s:2:20: fair_queues.tenants[0].name: "amce" is none; expected a tenant of the platform's settings`)
	})
	t.Run("faults in both files", func(t *testing.T) {
		invalid := strings.NewReplacer(
			`"by_key"`, `"by_kye"`,
			`"sockets":64`, `"sockets":4`,
			`"name":"n3"`, `"name":""`,
		).Replace(config)
		code, out := runCheck(t, invalid, "fair_queues:\n  books: x\n")
		require.Equal(t, command.ExitFailed, code)
		for _, diagnostic := range []string{
			`c:1:9: name: is missing or empty`,
			`limits.sockets: 4 is out of range; expected from 48 to`,
			`c:4:11: settings.Categories[1].Effect: "by_kye" is not known`,
			`s:2:10: fair_queues.books: "x"; expected a whole number`,
			"4 faults in 2 files",
		} {
			require.Contains(t, out, diagnostic)
		}
	})
}

// TestServeWritesJSONLog checks that the server writes its log events as JSON with --log json.
func TestServeWritesJSONLog(t *testing.T) {
	server := servertest.New(t)
	server.Args = []string{"serve", "--log", "json"}
	server.WriteFilesAndStart()
	server.AcceptInterpreter(0)
	server.Contains(server.LogText(), `"event":"listening","name":"n3"`)
}
