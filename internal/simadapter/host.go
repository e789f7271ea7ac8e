package simadapter

import (
	"fmt"
	"strconv"

	"thistlequay/admission"
	"thistlequay/timeunit"
)

// host is an instance as its server sees it: it writes what the server wants as lines of the reply. It implements
// admission.Host.
type host instance

var _ admission.Host = (*host)(nil)

// minIdleTicks is the shortest time that the simulator takes for closing idle connections: 10 ms.
const minIdleTicks = 10 * timeunit.TicksPerMillisecond

// beginLine begins a line about a request; endLine ends it.
func (h *host) beginLine(kind string, request *admission.Request) {
	h.reply.WriteString(kind)
	h.reply.WriteString(" Xid=")
	h.reply.WriteString(strconv.FormatUint(request.ID, 10))
}

func (h *host) endLine() { h.reply.WriteByte('\n') }

// writeLine writes a line that says nothing but the request.
func (h *host) writeLine(kind string, request *admission.Request) {
	h.beginLine(kind, request)
	h.endLine()
}

// writeTicks writes a key with a time in milliseconds.
func (h *host) writeTicks(key string, time timeunit.Ticks) {
	milliseconds := float64(time) / float64(timeunit.TicksPerMillisecond)
	h.reply.WriteByte(' ')
	h.reply.WriteString(key)
	h.reply.WriteByte('=')
	h.reply.WriteString(strconv.FormatFloat(milliseconds, 'f', 1, 64))
}

// Run starts a request.
func (h *host) Run(request *admission.Request) { h.writeLine("EXECUTE", request) }

// ShareResult answers a request with the result of the one that it repeats.
func (h *host) ShareResult(request *admission.Request) { h.writeLine("SHARE", request) }

// Abort answers a request with an error.
func (h *host) Abort(request *admission.Request) { h.writeLine("FINISH_ERROR", request) }

// SkipCall has a run go on without its downstream call.
func (h *host) SkipCall(request *admission.Request) { h.writeLine("OMIT", request) }

// StopRun stops a run.
func (h *host) StopRun(request *admission.Request) { h.writeLine("INTERRUPT", request) }

// DropEntry drops the kept result of a request.
func (h *host) DropEntry(request *admission.Request) { h.writeLine("EVICT", request) }

// Release forgets a request: the server tells nothing more about it.
func (h *host) Release(request *admission.Request) { delete(h.requests, request.ID) }

// Reject rejects a request. Its router is to stay away for a time, 0 if that is not told, and is told if no other
// server is worth trying.
func (h *host) Reject(request *admission.Request, retryAfter timeunit.Ticks, noRetry bool) {
	h.beginLine("TURN_AWAY", request)
	if retryAfter > 0 {
		h.writeTicks("NotBeforeFor", retryAfter)
	}
	if noRetry {
		h.reply.WriteString(" NoRetry=1")
	}
	h.endLine()
}

// StartCall starts the downstream call of a run, which may take until a time of the simulator's clock.
func (h *host) StartCall(request *admission.Request, until timeunit.Ticks) {
	h.beginLine("INVOKE", request)
	h.writeTicks("Until", until)
	h.endLine()
}

// KeepEntry keeps the result of a request for a time.
func (h *host) KeepEntry(request *admission.Request, span timeunit.Ticks) {
	h.beginLine("MEMO", request)
	h.writeTicks("HoldFor", span)
	h.endLine()
}

// ReportLoad tells routers the server's load.
func (h *host) ReportLoad(value float64) {
	fmt.Fprintf(&h.reply, "ANNOUNCE X=%s\n", strconv.FormatFloat(value, 'f', -1, 64))
}

// SetHealth sets what health checks are told, and whether that costs nothing.
func (h *host) SetHealth(healthy, cheap bool) {
	fmt.Fprintf(&h.reply, "MARK_HEALTH Cheap=%d Want=%d\n", zeroOrOne(cheap), zeroOrOne(healthy))
}

func zeroOrOne(flag bool) int {
	if flag {
		return 1
	}
	return 0
}

// CloseIdleConnections has connections closed that carry nothing for a time; 0 leaves them open.
func (h *host) CloseIdleConnections(after timeunit.Ticks) {
	if after > 0 {
		h.reply.WriteString("IDLE")
		h.writeTicks("HoldFor", max(after, minIdleTicks))
		h.endLine()
	}
}

// SetTimer sets the server's one timer, in place of the one before. The simulator wants a token, of which nothing is
// made.
func (h *host) SetTimer(after timeunit.Ticks) {
	h.reply.WriteString("WAKE_AT")
	h.writeTicks("SleepFor", after)
	h.reply.WriteString(" Token=look\n")
}
