// Package signalrecord records that the operating system has delivered a signal to the process. A signal reaches the
// channels of package os/signal through a thread and goroutines of the Go runtime, which on a busy machine may wait for
// a core while others of the process run. The record is made in the signal handler and is visible at once. It needs
// cgo.
package signalrecord

import (
	"os"
	"os/signal"
	"syscall"
)

// Recorder tells whether a signal has been delivered to the process since the call of Notify.
type Recorder struct{ countBefore uint32 }

// Notify is signal.Notify, and also makes the process record the delivery of these signals. All Recorders of a process
// share the signals that any of them records.
func Notify(channel chan<- os.Signal, signals ...syscall.Signal) Recorder {
	recorder := Recorder{countBefore: countDeliveries()}
	for _, number := range signals {
		signal.Notify(channel, number)
		recordSignal(number)
	}
	return recorder
}

// IsDelivered reports whether one of the signals has been delivered. It may be called from any goroutine and does not
// block. Without cgo it always returns false.
func (r Recorder) IsDelivered() bool { return countDeliveries() != r.countBefore }
