//go:build !cgo || !linux

package signalrecord

import "syscall"

// recordSignal does nothing: without cgo there is no signal handler that could make a record.
func recordSignal(syscall.Signal) {}

// countDeliveries returns 0.
func countDeliveries() uint32 { return 0 }
