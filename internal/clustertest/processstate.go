package clustertest

import (
	"errors"

	"golang.org/x/sys/unix"
)

// HasEnded reports whether the system has ended the current process, with all its threads. On a busy machine that may
// be hundreds of milliseconds before Exited is closed, because a goroutine closes it.
func (s *Server) HasEnded() bool { return hasEnded(s.PID()) }

// hasEnded reports whether the system has ended a child process, whether or not it has been waited for.
func hasEnded(pid int) bool {
	var state unix.Siginfo
	err := unix.Waitid(unix.P_PID, pid, &state, unix.WEXITED|unix.WNOHANG|unix.WNOWAIT, nil)
	if err != nil {
		return errors.Is(err, unix.ECHILD) // it has been waited for
	}
	return state.Signo != 0
}
