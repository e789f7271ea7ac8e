package daemon

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestMissingConfigurationIsAnError(t *testing.T) {
	_, err := ReadPlatformConfig("")
	require.Error(t, err)
	_, err = ReadPlatformConfig("/nonexistent/config.json")
	require.Error(t, err)
}
