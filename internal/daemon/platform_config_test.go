package daemon

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestMissingConfigurationIsAnError checks that an empty path and a path that does not exist are errors.
func TestMissingConfigurationIsAnError(t *testing.T) {
	_, err := ReadPlatformConfig("")
	require.Error(t, err)
	_, err = ReadPlatformConfig("/nonexistent/config.json")
	require.Error(t, err)
}
