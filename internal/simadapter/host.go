package simadapter

import (
	"fmt"
	"strconv"

	"thistlequay/admission"
	"thistlequay/timeunit"
)

// host implements admission.Host for an instance: it writes the decisions of the server as lines of the reply.
type host instance

var _ admission.Host = (*host)(nil)

// minIdleTicks is the shortest idle timeout of connections that the simulator accepts: 10 ms.
const minIdleTicks = 10 * timeunit.TicksPerMillisecond

// beginLine writes the start of a line about a request: its kind and the ID of the request.
func (h *host) beginLine(kind string, request *admission.Request) {
	h.reply.WriteString(kind)
	h.reply.WriteString(" Xid=")
	h.reply.WriteString(strconv.FormatUint(request.ID, 10))
}

func (h *host) endLine() { h.reply.WriteByte('\n') }

// writeLine writes a line that has no key other than the ID of the request.
func (h *host) writeLine(kind string, request *admission.Request) {
	h.beginLine(kind, request)
	h.endLine()
}

// writeTicks writes a key and a duration, which it converts to milliseconds.
func (h *host) writeTicks(key string, duration timeunit.Ticks) {
	milliseconds := float64(duration) / float64(timeunit.TicksPerMillisecond)
	h.reply.WriteByte(' ')
	h.reply.WriteString(key)
	h.reply.WriteByte('=')
	h.reply.WriteString(strconv.FormatFloat(milliseconds, 'f', 1, 64))
}

// Run implements admission.Host: it starts a request.
func (h *host) Run(request *admission.Request) { h.writeLine("EXECUTE", request) }

// ShareResult implements admission.Host: it answers a request with the result of the request that it repeats.
func (h *host) ShareResult(request *admission.Request) { h.writeLine("SHARE", request) }

// Abort implements admission.Host: it answers a request with an error.
func (h *host) Abort(request *admission.Request) { h.writeLine("FINISH_ERROR", request) }

// SkipCall implements admission.Host: it continues a run without its downstream call.
func (h *host) SkipCall(request *admission.Request) { h.writeLine("OMIT", request) }

// StopRun implements admission.Host: it stops a run.
func (h *host) StopRun(request *admission.Request) { h.writeLine("INTERRUPT", request) }

// DropEntry implements admission.Host: it drops the idempotency entry of a request.
func (h *host) DropEntry(request *admission.Request) { h.writeLine("EVICT", request) }

// Release implements admission.Host: it forgets a request, for which the server makes no further calls.
func (h *host) Release(request *admission.Request) { delete(h.requests, request.ID) }

// Reject implements admission.Host: it rejects a request. The line asks for no retry before retryAfter, unless that is
// 0, and with finalRejection for none at another server either.
func (h *host) Reject(request *admission.Request, retryAfter timeunit.Ticks, finalRejection bool) {
	h.beginLine("TURN_AWAY", request)
	if retryAfter > 0 {
		h.writeTicks("NotBeforeFor", retryAfter)
	}
	if finalRejection {
		h.reply.WriteString(" NoRetry=1")
	}
	h.endLine()
}

// StartCall implements admission.Host: it starts the downstream call of a run, which is abandoned at the simulated time
// until.
func (h *host) StartCall(request *admission.Request, until timeunit.Ticks) {
	h.beginLine("INVOKE", request)
	h.writeTicks("Until", until)
	h.endLine()
}

// KeepEntry implements admission.Host: it keeps the idempotency entry of a request for lifetime from now.
func (h *host) KeepEntry(request *admission.Request, lifetime timeunit.Ticks) {
	h.beginLine("MEMO", request)
	h.writeTicks("HoldFor", lifetime)
	h.endLine()
}

// ReportLoad implements admission.Host: it sets the load value that is sent to routers.
func (h *host) ReportLoad(value float64) {
	fmt.Fprintf(&h.reply, "ANNOUNCE X=%s\n", strconv.FormatFloat(value, 'f', -1, 64))
}

// SetHealth implements admission.Host: it sets the answer to health checks. With cacheable, the simulator may give the
// answer without asking the server again.
func (h *host) SetHealth(healthy, cacheable bool) {
	fmt.Fprintf(&h.reply, "MARK_HEALTH Cheap=%d Want=%d\n", boolToInt(cacheable), boolToInt(healthy))
}

func boolToInt(flag bool) int {
	if flag {
		return 1
	}
	return 0
}

// CloseIdleConnections implements admission.Host: it sets the time after which idle connections are closed. With 0 it
// does nothing.
func (h *host) CloseIdleConnections(after timeunit.Ticks) {
	if after > 0 {
		h.reply.WriteString("IDLE")
		h.writeTicks("HoldFor", max(after, minIdleTicks))
		h.endLine()
	}
}

// SetTimer implements admission.Host: it sets the timer of the server, which replaces the previous one. The protocol
// requires a token, which the adapter does not use.
func (h *host) SetTimer(after timeunit.Ticks) {
	h.reply.WriteString("WAKE_AT")
	h.writeTicks("SleepFor", after)
	h.reply.WriteString(" Token=look\n")
}
