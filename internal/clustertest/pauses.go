package clustertest

import (
	"os"
	"sync"
	"syscall"
	"time"
)

// pauseHistory records when the process of a server was stopped with SIGSTOP until SIGCONT or SIGKILL. It is safe for
// concurrent use. The zero value is a history without pauses.
type pauseHistory struct {
	lock   sync.Mutex
	pauses []pause
}

// pause is a time during which a process could not run.
type pause struct {
	from time.Time // before SIGSTOP was sent
	to   time.Time // after the signal that ended it was sent; zero while the process is stopped
}

// send calls sendSignal, which sends the signal to the process, and records the pause that this starts or ends.
func (h *pauseHistory) send(signal os.Signal, sendSignal func(os.Signal) error) error {
	h.lock.Lock()
	defer h.lock.Unlock()
	if signal == syscall.SIGSTOP {
		h.pauses = append(h.pauses, pause{from: time.Now()})
	}
	err := sendSignal(signal)
	last := len(h.pauses) - 1
	endsPause := signal == syscall.SIGCONT || signal == syscall.SIGKILL
	if endsPause && last >= 0 && h.pauses[last].to.IsZero() {
		h.pauses[last].to = time.Now()
	}
	return err
}

// timeLimit returns the time by which a response must have arrived. Without a pause, this is due plus slack. If the
// process was stopped between sentAt and that time, it is the end of the pause plus slack, and now if the process is
// still stopped.
func (h *pauseHistory) timeLimit(sentAt, due time.Time, slack time.Duration, now time.Time) time.Time {
	h.lock.Lock()
	defer h.lock.Unlock()
	limit := due.Add(slack)
	for _, pause := range h.pauses {
		end := pause.to
		if end.IsZero() {
			end = now
		}
		if pause.from.Before(limit) && end.After(sentAt) && end.Add(slack).After(limit) {
			limit = end.Add(slack)
		}
	}
	return limit
}
