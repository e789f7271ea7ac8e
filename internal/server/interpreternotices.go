package server

import (
	"bytes"
	"encoding/json"
	"errors"
	"slices"
	"thistlequay/admission"
	"thistlequay/internal/deployment"
	"thistlequay/timeunit"
)

func (l *interpreterClient) receive(data []byte) error {
	for len(data) > 0 {
		line, rest, whole := bytes.Cut(data, []byte{'\n'})
		data = rest
		if len(l.partialLine)+len(line) > maxLineBytes {
			return errors.New("a line from the interpreter is beyond the bound")
		}
		if !whole || len(l.partialLine) > 0 {
			l.partialLine = append(l.partialLine, line...)
			line = l.partialLine
		}
		if !whole {
			return nil
		}
		err := l.handleNotice(line)
		l.partialLine = l.partialLine[:0]
		if err != nil {
			return err
		}
	}
	return nil
}

func (l *interpreterClient) handleNotice(line []byte) error {
	var n struct {
		Type   string          `json:"type"`
		N      uint64          `json:"n"`
		Job    string          `json:"job"`
		State  string          `json:"state"`
		Took   float64         `json:"took"`
		Data   []byte          `json:"data"`
		Ref    string          `json:"ref"`
		Gauges json.RawMessage `json:"gauges"`
	}
	if len(bytes.TrimSpace(line)) == 0 {
		return nil
	}
	if err := json.Unmarshal(line, &n); err != nil {
		return errors.New("a line from the interpreter is no notice")
	}
	if !(n.Took >= 0 && n.Took < 1e12) {
		return errors.New("a notice with a time that cannot be meant")
	}
	if n.N > 0 {
		if n.N <= l.lastNotice {
			return nil // replayed though it was read
		}
		l.lastNotice = n.N
	}
	it := l.server.requests.byID[n.Job]
	if it != nil && n.N > 0 {
		it.lastReply, it.pendingReply = nil, nil // what comes of the run after a reply tells that it was taken
	}
	switch n.Type {
	case "BANNER":
		l.onBanner(n.State, deployment.RoundUp(n.Took))
	case "VALUE":
		how, known := runOutcomes[n.State]
		if !known {
			return errors.New("a run's end that is none")
		}
		switch {
		case it == nil:
		case how == admission.NeverStarted:
			it.neverBegun()
		default:
			it.runConfirmed, it.runInDoubt = true, false
			it.runEnded(how, deployment.RoundUp(n.Took), n.Data)
		}
	case "AWAIT":
		if it != nil && it.runStarted && !it.runDone {
			it.runConfirmed, it.runInDoubt, it.callBody = true, false, n.Data
			it.reservation.Suspend(l.server.now)
			it.handle.NeedsCall()
		}
	case "TOPS":
		return l.onGauges(n.Ref, n.Gauges)
	case "ERROR":
		if countAndSample(&l.errorCount) {
			l.server.log.Event("interpreter_error").Str("command", n.State).Str("request_id", n.Job).Int("count", l.errorCount).Send()
		}
		if it != nil && it.runStarted && n.State == "APPLY" {
			it.neverBegun()
		}
	case "TRACE":
	default:
		return errors.New("a notice of no known type")
	}
	return nil
}

var runOutcomes = map[string]admission.Outcome{"OK": admission.Succeeded, "ERROR": admission.Failed,
	"STOPPED": admission.Aborted, "MOOT": admission.NeverStarted}

// socketDeployment is what the settings mean where the protocol of sockets has no word for it: later tries bear no mark, runs do not
// go on without a call, and the interpreter may read an answer after the order to stop, which pauses for good what is not over.
func socketDeployment(of *deployment.Config) admission.Config {
	d := of.Config
	d.RetriesMarked, d.CanStopRuns, d.ResultTTL = false, d.CanStopRuns && !of.PauseKeepsMemory, 0
	d.Categories = slices.Clone(d.Categories)
	for i, c := range d.Categories {
		d.Categories[i].DeduplicationWindow, d.Categories[i].DegradedValue = retention(c), 0
	}
	return d
}

// onBanner starts the module's server the first time, as cold or warm as the interpreter says it was.
func (l *interpreterClient) onBanner(state string, since timeunit.Ticks) {
	a := l.server
	if a.admission == nil {
		terms := socketDeployment(a.config.Settings)
		terms.StartsCold, terms.TurnOffset = state == "COLD", a.random.Float64()
		// Stamps and results lie in this process's memory, not in the interpreter's that the settings speak of.
		terms.EntryKB, terms.MaxEntries = 0, max(1, a.config.MemoryBytes/idempotencyMemoryDivisor/idempotencyEntryBytes-a.recovery.restoredEntries())
		terms.WarmStart = a.recovery.loadWarmStart()
		a.admission = admission.New(terms, &a.requests, a.now-since)
		a.admission.Advance(a.now)
		a.log.Event("interpreter_up").Str("name", a.config.Name).Str("state", state).Int64("since_ms", int64(since/10)).Send()
		a.notifyAdmissionOfDrain()
		a.advancePhase(phaseReady)
		l.becomeReady()
		return
	}
	a.log.Event("interpreter_reconnected").Str("name", a.config.Name).Int("interpreter_links", l.linkCount).Send()
	l.replayFence = l.askGauges()
}

func (l *interpreterClient) onGauges(ref string, row json.RawMessage) error {
	var values []float64
	if err := json.Unmarshal(row, &values); err != nil {
		return errors.New("gauges that are no numbers")
	}
	now := l.server.now
	l.gauges, l.gaugesAt = l.server.config.Settings.GaugesFromRow(values), now
	if l.gaugesAskedAt > 0 {
		l.roundTrip += (float64(now-l.gaugesAskedAt) - l.roundTrip) / 8
		l.gaugesAskedAt = 0
	}
	if l.wakeupPending {
		l.deliverGauges()
	}
	if l.replayFence != "" && ref == l.replayFence {
		l.becomeReady()
	}
	return nil
}
