package server

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A connection that is closed by a failed write while its input is being parsed leaves the list of connections that
// carry incomplete requests, so that it is not taken for one that can be evicted.
func TestConnectionClosedWhileReadingIsNoEvictionCandidate(t *testing.T) {
	server := newIdleServer(t, testSettings)
	router := connectRouter(server)
	health := requestRecords(1, paramsWith("SCRIPT_NAME", "/health"), "")
	require.NoError(t, router.receive([]byte(health)))
	require.NoError(t, router.receive([]byte(health[:40])))
	require.Equal(t, router, server.routers.evictionCandidate())
	router.isReading = true
	router.closed()
	require.Nil(t, server.routers.evictionCandidate())
	require.Zero(t, server.requestBuffers.inUseBytes)
}
