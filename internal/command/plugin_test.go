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

func TestPluginCommandExitCodesAndOutput(t *testing.T) {
	server := servertest.New(t)
	request := filepath.Join(t.TempDir(), "r.json")
	server.NoError(os.WriteFile(request, []byte(`{"hook":"read","category":"look","tenant":"acme","body":"b"}`), 0o600))
	for line, says := range map[string]string{
		"0 plugin check " +
			server.WriteModule("good"): "KB of memory an instance",
		"1 plugin check " + server.WriteModule("other-version"):                                  "is of version 7",
		"1 plugin check " + server.WriteModule("foreign"):                                        "open_socket",
		"0 plugin run " + server.WriteModule("declines") + " --request " + request:               `"does":"decline"`,
		"0 plugin run " + server.WriteModule("good") + " --engine=compiler --request " + request: `"does":"nothing"`,
		"1 plugin run " + server.WriteModule("loops") + " --request " + request:                  "",
		"2 plugin run " + server.WriteModule("loops"):                                            "--request",
	} {
		code, rest, _ := strings.Cut(line, " ")
		var out bytes.Buffer
		require.Equal(t, code, strconv.Itoa(command.Run(strings.Fields(rest), &out, &out)), out.String())
		require.Contains(t, out.String(), says)
	}
}
