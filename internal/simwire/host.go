package simwire

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"

	"thistlequay/admission"
)

// create starts an instance from the wire's settings. Keys that are not known here are passed over.
func (i *instance) create(f *fields) error {
	if !f.has("Env") {
		return errors.New("CREATE has no Env")
	}
	var env struct {
		Categories []struct {
			Effect                              string
			HardLimit, LateWorth, OnTime, Worth float64
			Window                              float64
		}
		FamilyInfo struct {
			CallShare, CallsOver, EntryKb, KeepaliveMax float64
			Linger, MemoryKb, RunFactor                 float64
			Callers, Cores                              int
			Cold                                        bool
			Downstream, Halt, Say                       string
			Meters                                      []string
		}
		Limits struct {
			MaxRetryAfter float64
			RetryAfter    bool
		}
		Period  float64
		Servers int
		Rules   struct {
			Cold, ColdFrom, DrainGrace, TipMultiple float64
		}
	}
	if err := json.Unmarshal([]byte(f.values["Env"]), &env); err != nil {
		return fmt.Errorf("CREATE: the settings can't be read: %w", err)
	}
	info, rules := &env.FamilyInfo, &env.Rules
	if len(env.Categories) == 0 || info.Cores < 1 {
		return errors.New("CREATE: the settings name no category or no core")
	}
	figures := []float64{info.CallShare, info.CallsOver, info.EntryKb, info.KeepaliveMax, info.Linger,
		info.MemoryKb, info.RunFactor, float64(info.Callers), float64(info.Cores),
		float64(env.Servers), env.Limits.MaxRetryAfter, env.Period,
		rules.Cold, rules.ColdFrom, rules.DrainGrace, rules.TipMultiple}
	for _, c := range env.Categories {
		figures = append(figures, c.HardLimit, c.LateWorth, c.OnTime, c.Worth, c.Window)
	}
	if slices.Min(figures) < 0 || slices.Max(figures) > most {
		return errors.New("CREATE: a figure of the settings is out of range")
	}
	d := admission.Deployment{Callers: info.Callers, Servers: env.Servers, Cores: info.Cores,
		Memory: info.MemoryKb, RunFactor: info.RunFactor, EntryKb: info.EntryKb, Period: up(env.Period),
		Grace: down(rules.DrainGrace), Cold: info.Cold,
		ColdFrom: rules.ColdFrom, ColdFor: up(rules.Cold), Crowd: rules.TipMultiple,
		SharedBelow: info.Downstream == "common", CallShare: info.CallShare,
		CallsOver: down(info.CallsOver), Linger: up(info.Linger), Tongue: tongues[info.Say],
		IdleMost: down(info.KeepaliveMax), Stops: info.Halt == "drop"}
	if env.Limits.RetryAfter {
		d.MaxAway = down(env.Limits.MaxRetryAfter)
	}
	for _, c := range env.Categories {
		d.Categories = append(d.Categories, admission.Category{Gain: c.Worth, LateShare: c.LateWorth,
			Contract: down(c.OnTime), Expiry: down(c.HardLimit), Window: up(c.Window),
			Effect: effects[c.Effect]})
	}
	i.gauges = info.Meters
	i.items = map[uint64]*admission.WorkItem{}
	i.out.Reset()
	i.server = admission.New(d, (*host)(i), i.now)
	return nil
}

var tongues = map[string]admission.Tongue{
	"min_rank": admission.Rank, "tokens": admission.Allowed, "bias": admission.Odds,
}

var effects = map[string]admission.Effect{"by_key": admission.Stamped, "once": admission.OneShot}

// host writes what the server of an instance answers as lines of its reply.
type host instance

func (h *host) line(name string, w *admission.WorkItem) {
	h.out.WriteString(name)
	h.out.WriteString(" Xid=")
	h.out.WriteString(strconv.FormatUint(w.Door, 10))
}

func (h *host) span(key string, t admission.Tenths) {
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
func (h *host) Stop(w *admission.WorkItem)     { h.plain("INTERRUPT", w) }
func (h *host) Forget(w *admission.WorkItem)   { h.plain("EVICT", w) }
func (h *host) Over(w *admission.WorkItem)     { delete(h.items, w.Door) }

func (h *host) Decline(w *admission.WorkItem, stayAway admission.Tenths, nowhereElse bool) {
	h.line("TURN_AWAY", w)
	if stayAway > 0 {
		h.span("NotBeforeFor", stayAway)
	}
	if nowhereElse {
		h.out.WriteString(" NoRetry=1")
	}
	h.end()
}

func (h *host) Call(w *admission.WorkItem, until admission.Tenths) {
	h.line("INVOKE", w)
	h.span("Until", until)
	h.end()
}

func (h *host) Remember(w *admission.WorkItem, span admission.Tenths) {
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

func (h *host) CloseIdle(after admission.Tenths) {
	if after > 0 {
		h.out.WriteString("IDLE")
		h.span("HoldFor", max(after, 100)) // the wire takes 10 ms at least
		h.end()
	}
}

func (h *host) Wake(after admission.Tenths) {
	h.out.WriteString("WAKE_AT")
	h.span("SleepFor", after)
	h.out.WriteString(" Token=look\n")
}
