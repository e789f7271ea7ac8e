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

	// maxNoticeSpanMs is above every span of time that a notice could mean, in milliseconds.
	maxNoticeSpanMs = 1e12

	// roundTripSmoothing: each round trip moves the smoothed one by one part in so many of the difference.
	roundTripSmoothing = 8
)

// What closes the link to the interpreter.
var (
	errLineTooLong       = errors.New("interpreter: line too long")
	errNoNotice          = errors.New("interpreter: line is not a notice")
	errNoticeSpan        = errors.New("interpreter: notice with an impossible duration")
	errUnknownRunOutcome = errors.New("interpreter: unknown outcome of a run")
	errGauges            = errors.New("interpreter: gauges are not numbers")
	errUnknownNotice     = errors.New("interpreter: notice of unknown type")
)

// The kinds of notices.
const (
	noticeBanner = "BANNER" // the interpreter is up, and since when
	noticeValue  = "VALUE"  // a run has ended
	noticeAwait  = "AWAIT"  // a run waits for a call
	noticeGauges = "TOPS"   // the answer to a question for the gauges
	noticeError  = "ERROR"  // a command was not carried out
	noticeTrace  = "TRACE"  // of no concern here
)

// stateCold is what a banner says of an interpreter that has yet to warm up.
const stateCold = "COLD"

// commandRun is the command that an error may be about, by its name on the wire.
const commandRun = "APPLY"

// notice is a line from the interpreter.
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

// runOutcomes are the ends of runs as notices tell them.
var runOutcomes = map[string]admission.Outcome{
	"OK":      admission.Succeeded,
	"ERROR":   admission.Failed,
	"STOPPED": admission.Aborted,
	"MOOT":    admission.NeverStarted,
}

// receive takes the complete notices.
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

// handleLine takes one notice. One that was replayed though it had been taken is passed over.
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
	about := c.server.requests.byID[taken.RequestID] // nil where the notice is about none, or an unknown one
	if about != nil && taken.Number > 0 {
		about.lastReply = nil // what a run tells after a reply proves that the reply was taken
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

// onBanner starts admission the first time, as cold or warm as the interpreter says it is; up is how long it has been
// up. After that a banner begins what the interpreter replays on a new link.
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

// startAdmission makes the admission server of an interpreter that has been up for so long.
func (s *Server) startAdmission(isCold bool, up timeunit.Ticks) {
	config := socketDeployment(s.config.Settings)
	config.StartsCold = isCold
	config.TurnOffset = s.random.Float64()
	// Entries and results lie in this process's memory, not in the interpreter's that the settings speak of.
	config.EntryKB = 0
	maxEntries := s.config.MemoryBytes / idempotencyMemoryDivisor / idempotencyEntryBytes
	config.MaxEntries = max(1, maxEntries-s.recovery.restoredEntries())
	config.WarmStart = s.recovery.loadWarmStart()
	s.admission = admission.New(config, &s.requests, s.now-up)
	s.admission.Advance(s.now)
}

// socketDeployment returns the settings without what the protocol of sockets has no word for: retries bear no mark,
// runs do not go on without a call, and the interpreter may read an answer after the order to stop, which pauses for
// good what is not over.
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

// onRunEnded takes the end of a run.
func (c *interpreterClient) onRunEnded(taken *notice, about *request) error {
	outcome, known := runOutcomes[taken.State]
	if !known {
		return errUnknownRunOutcome
	}
	switch {
	case about == nil:
	case outcome == admission.NeverStarted:
		about.endUnstartedRun()
	default:
		about.runConfirmed = true
		about.runInDoubt = false
		about.handleRunEnd(outcome, deployment.RoundUp(taken.TookMs), taken.Data)
	}
	return nil
}

// onCallNeeded takes notice of a run that waits for a call; admission decides when the call is made.
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

// onCommandFailed takes notice of a command that was not carried out. Where that was the one to run a request, nothing
// of it ran.
func (c *interpreterClient) onCommandFailed(taken *notice, about *request) {
	if countAndSample(&c.errorCount) {
		c.server.log.Event("interpreter_error").Str("command", taken.State).Str("request_id", taken.RequestID).
			Int("count", c.errorCount).Send()
	}
	if about != nil && about.runStarted && taken.State == commandRun {
		about.endUnstartedRun()
	}
}

// onGauges takes the answer to a question for the gauges.
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
