package clustertest

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// childEnv names the environment variable that makes the test binary run as a child that ends its main thread and goes
// on with the others until its input ends.
const childEnv = "THISTLEQUAY_CHILD_WITHOUT_MAIN_THREAD"

// init runs the child on the main thread, which only init functions are sure to run on.
func init() {
	if os.Getenv(childEnv) == "" {
		return
	}
	go func() {
		fmt.Println("started")
		_, _ = bufio.NewReader(os.Stdin).ReadByte()
		os.Exit(0)
	}()
	_, _, _ = syscall.RawSyscall(syscall.SYS_EXIT, 0, 0, 0)
}

// A process has not ended while any of its threads runs, as one that waits for the disk does after the others have
// ended. It has ended before it is waited for, and afterwards.
func TestProcessHasEndedOnceAllThreadsHave(t *testing.T) {
	child := exec.Command(os.Args[0])
	child.Env = append(os.Environ(), childEnv+"=1")
	input, err := child.StdinPipe()
	require.NoError(t, err)
	output, err := child.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, child.Start())
	pid := child.Process.Pid
	_, err = bufio.NewReader(output).ReadString('\n')
	require.NoError(t, err)
	mainThreadHasEnded := func() bool {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
		require.NoError(t, err)
		_, state, _ := strings.Cut(string(text), ") ")
		return strings.HasPrefix(state, "Z")
	}
	require.Eventually(t, mainThreadHasEnded, 20*time.Second, time.Millisecond)
	require.False(t, hasEnded(pid))

	require.NoError(t, input.Close())
	require.Eventually(t, func() bool { return hasEnded(pid) }, 20*time.Second, time.Millisecond)
	require.NoError(t, child.Wait())
	require.True(t, hasEnded(pid))
}
