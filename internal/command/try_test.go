package command_test

import (
	"bytes"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/command"
	"thistlequay/internal/servertest"
)

// TestTryCommandShowsFairSharesOverSockets checks that the try command sends its load over sockets and reports the
// results of every tenant without and with fair queues, and that the configuration files that it keeps are valid.
func TestTryCommandShowsFairSharesOverSockets(t *testing.T) {
	t.Setenv(servertest.RunAsProgramEnv, "1")
	var out, errs bytes.Buffer
	path := filepath.Join(t.TempDir(), "kept")
	code := command.Run([]string{"try", "--seconds", "2", "--config", path}, &out, &errs)
	require.Zero(t, code, errs.String())
	for _, text := range []string{"kirkens", "bymisjon", "fjordhjelpa", "ungdomslaget", "FAIR QUEUES ON"} {
		require.Contains(t, out.String(), text)
	}
	out.Reset()
	code = command.Run([]string{"check", path + ".fair.json", path + ".fair.yaml"}, &out, &errs)
	require.Zero(t, code, out.String())
	require.Equal(t, "2 files, no fault\n", out.String())
}
