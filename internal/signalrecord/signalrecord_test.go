//go:build cgo && linux

package signalrecord

import (
	"os"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// The record must be visible as soon as the signal is delivered, although the channel gets the signal later. A signal
// that a thread sends to itself is delivered before the call returns.
func TestDeliveryIsRecordedAtOnce(t *testing.T) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	channel := make(chan os.Signal, 1)
	recorder := Notify(channel, syscall.SIGUSR1, syscall.SIGUSR2)
	require.False(t, recorder.IsDelivered())
	require.NoError(t, unix.Tgkill(unix.Getpid(), unix.Gettid(), unix.SIGUSR2))
	require.True(t, recorder.IsDelivered())
	select {
	case received := <-channel:
		require.Equal(t, syscall.SIGUSR2, received)
	case <-time.After(20 * time.Second):
		require.Fail(t, "the channel did not get the signal")
	}
}
