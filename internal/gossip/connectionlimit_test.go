package gossip

import (
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// waitClosed waits until the peer has closed a connection.
func waitClosed(t *testing.T, connection net.Conn) {
	t.Helper()
	require.NoError(t, connection.SetReadDeadline(time.Now().Add(20*time.Second)))
	_, err := connection.Read(make([]byte, 1))
	require.Error(t, err)
	require.NotErrorIs(t, err, os.ErrDeadlineExceeded)
}

// The oldest connection is closed for one beyond the limit, and one that is closed makes room.
func TestConnectionLimitClosesTheOldest(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	limited := &limitedListener{Listener: listener, limit: connectionLimit{max: 2}}
	t.Cleanup(func() { _ = limited.Close() })
	var clients, accepted []net.Conn
	open := func() {
		client, err := net.Dial("tcp", listener.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = client.Close() })
		connection, err := limited.Accept()
		require.NoError(t, err)
		clients = append(clients, client)
		accepted = append(accepted, connection)
	}
	open()
	open()
	open()
	waitClosed(t, clients[0])
	require.NoError(t, accepted[1].Close())
	open()
	require.Equal(t, 2, limited.limit.connections.Len())
	_, err = io.WriteString(clients[2], "still open")
	require.NoError(t, err)
	buffer := make([]byte, 10)
	_, err = io.ReadFull(accepted[2], buffer)
	require.NoError(t, err)
	require.Equal(t, "still open", string(buffer))
}
