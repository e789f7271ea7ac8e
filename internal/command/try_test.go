package command_test

import (
	"bytes"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/command"
	"thistlequay/internal/servertest"
)

// `try`, the one command for a fresh machine, runs over sockets: whoever asks for less than its share gets it with fair
// queues.
func TestTryCommandShowsFairSharesOverSockets(t *testing.T) {
	t.Setenv(servertest.RunAsProgramEnv, "1")
	var out, errs bytes.Buffer
	keep := filepath.Join(t.TempDir(), "kept")
	require.Zero(t, command.Run([]string{"try", "--seconds", "2", "--config", keep}, &out, &errs), errs.String())
	for _, tenant := range []string{"kirkens", "bymisjon", "fjordhjelpa", "ungdomslaget", "FAIR QUEUES ON"} {
		require.Contains(t, out.String(), tenant)
	}
	out.Reset()
	require.Zero(t, command.Run([]string{"check", keep + ".fair.json", keep + ".fair.yaml"}, &out, &errs),
		out.String())
	require.Equal(t, "2 files, no fault\n", out.String())
}
