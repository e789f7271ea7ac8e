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

const (
	maxLineBytes = 256 << 10

	// maxNoticeSpanMs is larger than every valid duration in a notice, in milliseconds.
	maxNoticeSpanMs = 1e12

	// roundTripSmoothing is the divisor of the exponential moving average of round trips: each new round trip moves the
	// average by 1/8 of the difference.
	roundTripSmoothing = 8
)

// Errors in the interpreter's output. Each closes the link.
var (
	errLineTooLong       = errors.New("interpreter: line exceeds the maximum length")
	errNoNotice          = errors.New("interpreter: line is not a valid notice")
	errNoticeSpan        = errors.New("interpreter: duration in notice is out of range")
	errUnknownRunOutcome = errors.New("interpreter: unknown outcome of a run")
	errGauges            = errors.New("interpreter: gauges are not an array of numbers")
	errUnknownNotice     = errors.New("interpreter: unknown type of notice")
)

// The types of notices.
const (
	noticeBanner = "BANNER" // the interpreter is up, and for how long
	noticeValue  = "VALUE"  // a run has ended
	noticeAwait  = "AWAIT"  // a run waits for a downstream call
	noticeGauges = "TOPS"   // the response to a gauges query
	noticeError  = "ERROR"  // a command failed
	noticeTrace  = "TRACE"  // ignored
)

// stateCold is the state in the banner of an interpreter that has not warmed up.
const stateCold = "COLD"

// commandRun is the wire name of the command to run a request. An error notice names the command that failed.
const commandRun = "APPLY"

// notice is one line from the interpreter. Which fields are set depends on its type.
type notice struct {
	Type      string          `json:"type"`
	Number    uint64          `json:"n"`
	RequestID string          `json:"job"`
	State     string          `json:"state"`
	TookMs    float64         `json:"took"`
	Data      []byte          `json:"data"`
	Tag       string          `json:"ref"`
	Gauges    json.RawMessage `json:"gauges"`
}

// runOutcomes maps the state in a notice about the end of a run to its outcome.
var runOutcomes = map[string]admission.Outcome{
	"OK":      admission.Succeeded,
	"ERROR":   admission.Failed,
	"STOPPED": admission.Aborted,
	"MOOT":    admission.NeverStarted,
}

// receive handles the complete lines in data and keeps an incomplete one.
func (c *interpreterClient) receive(data []byte) error {
	for len(data) > 0 {
		line, rest, isWhole := bytes.Cut(data, []byte{'\n'})
		data = rest
		if len(c.partialLine)+len(line) > maxLineBytes {
			return errLineTooLong
		}
		if !isWhole || len(c.partialLine) > 0 {
			c.partialLine = append(c.partialLine, line...)
			line = c.partialLine
		}
		if !isWhole {
			return nil
		}
		err := c.handleLine(line)
		c.partialLine = c.partialLine[:0]
		if err != nil {
			return err
		}
	}
	return nil
}

// handleLine handles one notice. It skips a replayed notice that was handled before.
func (c *interpreterClient) handleLine(line []byte) error {
	if len(bytes.TrimSpace(line)) == 0 {
		return nil
	}
	var taken notice
	if err := json.Unmarshal(line, &taken); err != nil {
		return errNoNotice
	}
	if !(taken.TookMs >= 0 && taken.TookMs < maxNoticeSpanMs) {
		return errNoticeSpan
	}
	if taken.Number > 0 {
		if taken.Number <= c.lastNotice {
			return nil
		}
		c.lastNotice = taken.Number
	}
	about := c.server.requests.byID[taken.RequestID] // nil if the notice names no request, or an unknown one
	if about != nil && taken.Number > 0 {
		about.lastReply = nil // a notice about a run after a reply proves that the reply arrived
		about.pendingReply = nil
	}
	return c.handleNotice(&taken, about)
}

func (c *interpreterClient) handleNotice(taken *notice, about *request) error {
	switch taken.Type {
	case noticeBanner:
		c.onBanner(taken.State, deployment.RoundUp(taken.TookMs))
		return nil
	case noticeValue:
		return c.onRunEnded(taken, about)
	case noticeAwait:
		c.onCallNeeded(taken, about)
		return nil
	case noticeGauges:
		return c.onGauges(taken.Tag, taken.Gauges)
	case noticeError:
		c.onCommandFailed(taken, about)
		return nil
	case noticeTrace:
		return nil
	default:
		return errUnknownNotice
	}
}

// onBanner handles the first line on a link. The first banner starts admission, cold or warm as state says; up is how
// long the interpreter has been up. A later banner starts the replay of notices on a new link.
func (c *interpreterClient) onBanner(state string, up timeunit.Ticks) {
	server := c.server
	if server.admission != nil {
		server.log.Event("interpreter_reconnected").Str("name", server.config.Name).Int("interpreter_links",
			c.linkCount).Send()
		c.replayFence = c.askGauges()
		return
	}
	server.startAdmission(state == stateCold, up)
	server.log.Event("interpreter_up").Str("name", server.config.Name).Str("state", state).
		Int64("since_ms", up.Milliseconds()).Send()
	server.notifyAdmissionOfDrain()
	server.advancePhase(phaseReady)
	c.becomeReady()
}

// startAdmission creates the admission server for an interpreter that has been up for the given time.
func (s *Server) startAdmission(isCold bool, up timeunit.Ticks) {
	config := socketDeployment(s.config.Settings)
	config.StartsCold = isCold
	config.TurnOffset = s.random.Float64()
	// Idempotency entries and results are held in this process's memory; the settings mean the interpreter's.
	config.EntryKB = 0
	maxEntries := s.config.MemoryBytes / idempotencyMemoryDivisor / idempotencyEntryBytes
	config.MaxEntries = max(1, maxEntries-s.recovery.restoredEntries())
	config.WarmStart = s.recovery.loadWarmStart()
	s.admission = admission.New(config, &s.requests, s.now-up)
	s.admission.Advance(s.now)
}

// socketDeployment returns the admission settings without the features that the socket protocol cannot express: it does
// not mark retries, and a run cannot continue without its downstream call. Runs that a BREAK pauses instead of ending
// are not stopped, because the interpreter may read a RESOLVE after the BREAK, and the run would stay paused for good.
func socketDeployment(of *deployment.Config) admission.Config {
	config := of.Config
	config.RetriesMarked = false
	config.CanStopRuns = config.CanStopRuns && !of.PauseKeepsMemory
	config.ResultTTL = 0
	config.Categories = slices.Clone(config.Categories)
	for i, category := range config.Categories {
		config.Categories[i].DeduplicationWindow = retention(category)
		config.Categories[i].DegradedValue = 0
	}
	return config
}

// onRunEnded handles a notice of the end of a run.
func (c *interpreterClient) onRunEnded(taken *notice, about *request) error {
	outcome, known := runOutcomes[taken.State]
	if !known {
		return errUnknownRunOutcome
	}
	switch {
	case about == nil:
	case outcome == admission.NeverStarted:
		about.neverBegun()
	default:
		about.runConfirmed = true
		about.runInDoubt = false
		about.runEnded(outcome, deployment.RoundUp(taken.TookMs), taken.Data)
	}
	return nil
}

// onCallNeeded handles a notice that a run waits for a downstream call. Admission decides when the call is made.
func (c *interpreterClient) onCallNeeded(taken *notice, about *request) {
	if about == nil || !about.runStarted || about.runDone {
		return
	}
	about.runConfirmed = true
	about.runInDoubt = false
	about.callBody = taken.Data
	about.reservation.Suspend(c.server.now)
	about.handle.NeedsCall()
}

// onCommandFailed handles a notice that a command failed. If the command was an APPLY, the run never started.
func (c *interpreterClient) onCommandFailed(taken *notice, about *request) {
	if countAndSample(&c.errorCount) {
		c.server.log.Event("interpreter_error").Str("command", taken.State).Str("request_id", taken.RequestID).
			Int("count", c.errorCount).Send()
	}
	if about != nil && about.runStarted && taken.State == commandRun {
		about.neverBegun()
	}
}

// onGauges handles the response to a gauges query.
func (c *interpreterClient) onGauges(tag string, row json.RawMessage) error {
	var values []float64
	if err := json.Unmarshal(row, &values); err != nil {
		return errGauges
	}
	now := c.server.now
	c.gauges = c.server.config.Settings.GaugesFromRow(values)
	c.gaugesAt = now
	if c.gaugesAskedAt > 0 {
		c.roundTrip += (float64(now-c.gaugesAskedAt) - c.roundTrip) / roundTripSmoothing
		c.gaugesAskedAt = 0
	}
	if c.wakeupPending {
		c.deliverGauges()
	}
	if c.replayFence != "" && tag == c.replayFence {
		c.becomeReady()
	}
	return nil
}
