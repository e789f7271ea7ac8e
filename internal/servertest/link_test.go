package servertest

import (
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/virtualtime"
)

// Guards against a time limit for the whole life of a connection, which failed long tests on busy machines: each read
// and each write has EventTimeout of its own, and a peer that does nothing still makes it fail.
func TestEachReadAndWriteHasItsOwnTimeLimit(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		local, remote := net.Pipe() // a write waits for the read of the other end
		connection := timeLimitedConn{local}
		buffer := make([]byte, 1)
		for range 3 {
			time.Sleep(EventTimeout * 3 / 4)
			go func() { _, _ = remote.Write([]byte("x")) }()
			_, err := connection.Read(buffer)
			require.NoError(t, err)
		}
		startedAt := time.Now()
		_, err := connection.Read(buffer)
		require.ErrorIs(t, err, os.ErrDeadlineExceeded)
		require.Equal(t, EventTimeout, time.Since(startedAt))
		startedAt = time.Now()
		_, err = connection.Write(buffer)
		require.ErrorIs(t, err, os.ErrDeadlineExceeded)
		require.Equal(t, EventTimeout, time.Since(startedAt))
	})
}
