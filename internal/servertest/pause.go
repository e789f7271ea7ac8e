package servertest

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
)

// Pause sends SIGSTOP to the program and waits until all of its threads have stopped. Signal with SIGCONT ends the
// pause.
func (s *Server) Pause() {
	s.T.Helper()
	s.Signal(syscall.SIGSTOP)
	s.WaitFor(s.isPaused)
}

// isPaused reports whether all threads of the program have stopped.
func (s *Server) isPaused() bool {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", s.Process.Process.Pid))
	s.NoError(err)
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			continue // the thread has ended
		}
		// The state follows the name of the program, which is in parentheses.
		if _, state, _ := strings.Cut(string(text), ") "); !strings.HasPrefix(state, "T") {
			return false
		}
	}
	return true
}
