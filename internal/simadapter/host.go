package simadapter

import (
	"errors"
	"fmt"
	"math"
	"strconv"

	"thistlequay/admission"
	"thistlequay/internal/deployment"
	"thistlequay/timeunit"
)

// create starts an instance from the wire's settings. Keys that are not known here are passed over.
func (i *instance) create(f *message) error {
	if !f.has("Env") {
		return errors.New("CREATE has no Env")
	}
	terms, err := deployment.Read([]byte(f.values["Env"]))
	if err != nil {
		return fmt.Errorf("CREATE: %w", err)
	}
	terms.TurnOffset = math.Mod(float64(f.unsigned("Prng")%(1<<20))*math.Phi, 1)
	i.terms = terms
	i.requests = map[uint64]*admission.Request{}
	i.reply.Reset()
	i.server = admission.New(terms.Config, (*host)(i), i.now)
	return nil
}

// host writes what the server of an instance answers as lines of its reply.
type host instance

func (h *host) beginLine(name string, w *admission.Request) {
	h.reply.WriteString(name)
	h.reply.WriteString(" Xid=")
	h.reply.WriteString(strconv.FormatUint(w.ID, 10))
}

func (h *host) writeTicks(key string, t timeunit.Ticks) {
	h.reply.WriteByte(' ')
	h.reply.WriteString(key)
	h.reply.WriteByte('=')
	h.reply.WriteString(strconv.FormatFloat(float64(t)/10, 'f', 1, 64))
}

func (h *host) endLine() { h.reply.WriteByte('\n') }

func (h *host) writeLine(name string, w *admission.Request) {
	h.beginLine(name, w)
	h.endLine()
}

func (h *host) Run(w *admission.Request)         { h.writeLine("EXECUTE", w) }
func (h *host) ShareResult(w *admission.Request) { h.writeLine("SHARE", w) }
func (h *host) Abort(w *admission.Request)       { h.writeLine("FINISH_ERROR", w) }
func (h *host) SkipCall(w *admission.Request)    { h.writeLine("OMIT", w) }
func (h *host) StopRun(w *admission.Request)     { h.writeLine("INTERRUPT", w) }
func (h *host) DropEntry(w *admission.Request)   { h.writeLine("EVICT", w) }
func (h *host) Release(w *admission.Request)     { delete(h.requests, w.ID) }

func (h *host) Reject(w *admission.Request, stayAway timeunit.Ticks, nowhereElse bool) {
	h.beginLine("TURN_AWAY", w)
	if stayAway > 0 {
		h.writeTicks("NotBeforeFor", stayAway)
	}
	if nowhereElse {
		h.reply.WriteString(" NoRetry=1")
	}
	h.endLine()
}

func (h *host) StartCall(w *admission.Request, until timeunit.Ticks) {
	h.beginLine("INVOKE", w)
	h.writeTicks("Until", until)
	h.endLine()
}

func (h *host) KeepEntry(w *admission.Request, span timeunit.Ticks) {
	h.beginLine("MEMO", w)
	h.writeTicks("HoldFor", span)
	h.endLine()
}

func (h *host) ReportLoad(value float64) {
	fmt.Fprintf(&h.reply, "ANNOUNCE X=%s\n", strconv.FormatFloat(value, 'f', -1, 64))
}

func (h *host) SetHealth(good, fromStore bool) {
	want, cheap := 0, 0
	if good {
		want = 1
	}
	if fromStore {
		cheap = 1
	}
	fmt.Fprintf(&h.reply, "MARK_HEALTH Cheap=%d Want=%d\n", cheap, want)
}

func (h *host) CloseIdleConnections(after timeunit.Ticks) {
	if after > 0 {
		h.reply.WriteString("IDLE")
		h.writeTicks("HoldFor", max(after, 100)) // the wire takes 10 ms at least
		h.endLine()
	}
}

func (h *host) SetTimer(after timeunit.Ticks) {
	h.reply.WriteString("WAKE_AT")
	h.writeTicks("SleepFor", after)
	h.reply.WriteString(" Token=look\n")
}
