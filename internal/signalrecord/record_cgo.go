//go:build cgo && linux

package signalrecord

/*
#include <signal.h>

enum { max_signal = 64 };

// The number of recorded signals that have been delivered.
static unsigned delivery_count;

// The handlers of the Go runtime, which run after the record is made.
static struct sigaction runtime_actions[max_signal + 1];

static void record(int number, siginfo_t *info, void *context) {
	__atomic_add_fetch(&delivery_count, 1, __ATOMIC_SEQ_CST);
	runtime_actions[number].sa_sigaction(number, info, context);
}

// record_signal puts record before the handler of a signal that the Go runtime has installed.
static void record_signal(int number) {
	struct sigaction action;
	if (number < 1 || number > max_signal || sigaction(number, 0, &action) != 0) {
		return;
	}
	if (!(action.sa_flags & SA_SIGINFO) || action.sa_sigaction == record) {
		return; // not a handler of the Go runtime, or recorded already
	}
	runtime_actions[number] = action;
	action.sa_sigaction = record;
	sigaction(number, &action, 0);
}

static unsigned *delivery_counter(void) { return &delivery_count; }
*/
import "C"

import (
	"sync/atomic"
	"syscall"
	"unsafe"
)

// deliveryCount is the number of recorded signals that have been delivered. The signal handler counts them.
var deliveryCount = (*uint32)(unsafe.Pointer(C.delivery_counter()))

// recordSignal makes the process record the delivery of a signal for which os/signal.Notify has been called. If that
// fails, the signal is handled as before, without a record.
func recordSignal(number syscall.Signal) { C.record_signal(C.int(number)) }

// countDeliveries returns the number of recorded signals that have been delivered.
func countDeliveries() uint32 { return atomic.LoadUint32(deliveryCount) }
