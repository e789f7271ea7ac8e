package soak

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A client that reads late must see when data and the end of the connection came, not when it read them.
func TestSocketStateDoesNotDependOnWhenTheClientReads(t *testing.T) {
	const readDelay = 300 * time.Millisecond
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close() //nolint:errcheck // only this test uses it
	client, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer client.Close() //nolint:errcheck // the test has ended
	server, err := listener.Accept()
	require.NoError(t, err)

	before := time.Now()
	_, err = server.Write([]byte("x"))
	require.NoError(t, err)
	time.Sleep(readDelay)
	_, err = client.Read(make([]byte, 1))
	require.NoError(t, err)
	now := time.Now()
	received := receivedTime(client, now)
	require.False(t, received.Before(before), "never too early")
	require.True(t, received.Before(now.Add(-readDelay/2)), "not when it was read")

	require.False(t, hasReceivedEnd(client))
	require.NoError(t, server.Close())
	require.Eventually(t, func() bool { return hasReceivedEnd(client) }, 20*time.Second, time.Millisecond)
}
