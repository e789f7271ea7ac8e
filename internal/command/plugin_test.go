package command_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/command"
	"thistlequay/internal/servertest"
)

// TestPluginCommandExitCodesAndOutput checks that plugin check and plugin run exit with 0 for a valid module whose hook
// returns in time, with 1 for any other module and with 2 for invalid arguments. It also checks that the output
// contains the needed memory, the action or the reason of a failure, except for the module that loops.
func TestPluginCommandExitCodesAndOutput(t *testing.T) {
	server := servertest.New(t)
	request := filepath.Join(t.TempDir(), "r.json")
	server.NoError(os.WriteFile(request, []byte(`{"hook":"read","category":"look","tenant":"acme","body":"b"}`), 0o600))
	for _, test := range []struct {
		code      string
		verb      string
		module    string
		arguments string
		output    string
	}{
		{"0", "check", "good", "", "KB of memory an instance"},
		{"1", "check", "other-version", "", "is of version 7"},
		{"1", "check", "foreign", "", "open_socket"},
		{"0", "run", "declines", " --request " + request, `"does":"decline"`},
		{"0", "run", "good", " --engine=compiler --request " + request, `"does":"nothing"`},
		{"1", "run", "loops", " --request " + request, ""},
		{"2", "run", "loops", "", "--request"},
	} {
		line := "plugin " + test.verb + " " + server.WriteModule(test.module) + test.arguments
		t.Run(test.verb+" "+test.module+" exits with "+test.code, func(t *testing.T) {
			var out bytes.Buffer
			code := command.Run(strings.Fields(line), &out, &out)
			require.Equal(t, test.code, strconv.Itoa(code), out.String())
			require.Contains(t, out.String(), test.output)
		})
	}
}
