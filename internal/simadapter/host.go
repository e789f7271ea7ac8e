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
func (i *instance) create(f *fields) error {
	if !f.has("Env") {
		return errors.New("CREATE has no Env")
	}
	terms, err := deployment.Read([]byte(f.values["Env"]))
	if err != nil {
		return fmt.Errorf("CREATE: %w", err)
	}
	terms.Spread = math.Mod(float64(f.whole("Prng")%(1<<20))*math.Phi, 1)
	i.terms = terms
	i.items = map[uint64]*admission.WorkItem{}
	i.out.Reset()
	i.server = admission.New(terms.Deployment, (*host)(i), i.now)
	return nil
}

// host writes what the server of an instance answers as lines of its reply.
type host instance

func (h *host) line(name string, w *admission.WorkItem) {
	h.out.WriteString(name)
	h.out.WriteString(" Xid=")
	h.out.WriteString(strconv.FormatUint(w.Door, 10))
}

func (h *host) span(key string, t timeunit.Ticks) {
	h.out.WriteByte(' ')
	h.out.WriteString(key)
	h.out.WriteByte('=')
	h.out.WriteString(strconv.FormatFloat(float64(t)/10, 'f', 1, 64))
}

func (h *host) end() { h.out.WriteByte('\n') }

func (h *host) plain(name string, w *admission.WorkItem) {
	h.line(name, w)
	h.end()
}

func (h *host) Run(w *admission.WorkItem)      { h.plain("EXECUTE", w) }
func (h *host) Share(w *admission.WorkItem)    { h.plain("SHARE", w) }
func (h *host) BreakOff(w *admission.WorkItem) { h.plain("FINISH_ERROR", w) }
func (h *host) Skip(w *admission.WorkItem)     { h.plain("OMIT", w) }
func (h *host) Stop(w *admission.WorkItem)     { h.plain("INTERRUPT", w) }
func (h *host) Forget(w *admission.WorkItem)   { h.plain("EVICT", w) }
func (h *host) Over(w *admission.WorkItem)     { delete(h.items, w.Door) }

func (h *host) Decline(w *admission.WorkItem, stayAway timeunit.Ticks, nowhereElse bool) {
	h.line("TURN_AWAY", w)
	if stayAway > 0 {
		h.span("NotBeforeFor", stayAway)
	}
	if nowhereElse {
		h.out.WriteString(" NoRetry=1")
	}
	h.end()
}

func (h *host) Call(w *admission.WorkItem, until timeunit.Ticks) {
	h.line("INVOKE", w)
	h.span("Until", until)
	h.end()
}

func (h *host) Remember(w *admission.WorkItem, span timeunit.Ticks) {
	h.line("MEMO", w)
	h.span("HoldFor", span)
	h.end()
}

func (h *host) Say(value float64) {
	fmt.Fprintf(&h.out, "ANNOUNCE X=%s\n", strconv.FormatFloat(value, 'f', -1, 64))
}

func (h *host) Health(good, fromStore bool) {
	want, cheap := 0, 0
	if good {
		want = 1
	}
	if fromStore {
		cheap = 1
	}
	fmt.Fprintf(&h.out, "MARK_HEALTH Cheap=%d Want=%d\n", cheap, want)
}

func (h *host) CloseIdle(after timeunit.Ticks) {
	if after > 0 {
		h.out.WriteString("IDLE")
		h.span("HoldFor", max(after, 100)) // the wire takes 10 ms at least
		h.end()
	}
}

func (h *host) Wake(after timeunit.Ticks) {
	h.out.WriteString("WAKE_AT")
	h.span("SleepFor", after)
	h.out.WriteString(" Token=look\n")
}
