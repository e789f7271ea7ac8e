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

	// maxNoticeDurationMs is larger than every valid duration in a notice, in milliseconds.
	maxNoticeDurationMs = 1e12

	// roundTripSmoothing is the divisor of the exponential moving average of round trips: each new round trip moves the
	// average by 1/8 of the difference.
	roundTripSmoothing = 8
)

// Errors in the interpreter's output. Each closes the link.
var (
	errLineTooLong       = errors.New("interpreter: line exceeds the maximum length")
	errMalformedNotice   = errors.New("interpreter: line is not a valid notice")
	errNoticeDuration    = errors.New("interpreter: duration in notice is out of range")
	errUnknownRunOutcome = errors.New("interpreter: unknown outcome of a run")
	errMalformedGauges   = errors.New("interpreter: gauges are not an array of numbers")
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
	State     string          `json:"state"` // of the interpreter or the run; for an ERROR, the failed command's name
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
		line, rest, isComplete := bytes.Cut(data, []byte{'\n'})
		data = rest
		if len(c.partialLine)+len(line) > maxLineBytes {
			return errLineTooLong
		}
		if !isComplete || len(c.partialLine) > 0 {
			c.partialLine = append(c.partialLine, line...)
			line = c.partialLine
		}
		if !isComplete {
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
	var received notice
	if err := json.Unmarshal(line, &received); err != nil {
		return errMalformedNotice
	}
	if !(received.TookMs >= 0 && received.TookMs < maxNoticeDurationMs) {
		return errNoticeDuration
	}
	if received.Number > 0 {
		if received.Number <= c.lastNotice {
			return nil
		}
		c.lastNotice = received.Number
	}
	req := c.server.requests.byID[received.RequestID] // nil if the notice names no request, or an unknown one
	if req != nil && received.Number > 0 {
		req.isReplyUnconfirmed = false // a notice about a run after a reply proves that the reply arrived
		req.pendingReply = nil
	}
	return c.handleNotice(&received, req)
}

func (c *interpreterClient) handleNotice(received *notice, req *request) error {
	switch received.Type {
	case noticeBanner:
		c.onBanner(received.State, deployment.RoundUp(received.TookMs))
		return nil
	case noticeValue:
		return c.onRunEnded(received, req)
	case noticeAwait:
		c.onCallNeeded(received, req)
		return nil
	case noticeGauges:
		return c.onGauges(received.Tag, received.Gauges)
	case noticeError:
		c.onCommandFailed(received, req)
		return nil
	case noticeTrace:
		return nil
	default:
		return errUnknownNotice
	}
}

// onBanner handles the first line on a link. The first banner starts admission, cold or warm as state says; uptime is
// how long the interpreter has been up. A later banner starts the replay of notices on a new link.
func (c *interpreterClient) onBanner(state string, uptime timeunit.Ticks) {
	server := c.server
	if server.admission != nil {
		server.log.Event("interpreter_reconnected").Str("name", server.config.Name).Int("interpreter_links",
			c.linkCount).Send()
		c.replayEndTag = c.requestGauges()
		return
	}
	server.startAdmission(state == stateCold, uptime)
	server.log.Event("interpreter_up").Str("name", server.config.Name).Str("state", state).
		Int64("since_ms", uptime.Milliseconds()).Send()
	server.notifyAdmissionOfDrain()
	server.advancePhase(phaseReady)
	c.becomeReady()
}

// startAdmission creates the admission server for an interpreter that has been up for the given time.
func (s *Server) startAdmission(isCold bool, uptime timeunit.Ticks) {
	config := socketAdmissionConfig(s.config.Settings)
	config.StartsCold = isCold
	config.TurnOffset = s.random.Float64()
	// Idempotency entries and results are held in this process's memory; the settings mean the interpreter's.
	config.EntryKB = 0
	config.MaxEntries = s.recovery.roomForEntries()
	config.WarmStart = s.recovery.loadWarmStart()
	s.admission = admission.New(config, &s.requests, s.now-uptime)
	s.admission.Advance(s.now)
}

// socketAdmissionConfig returns the admission settings without the features that the socket protocol cannot express: it
// does not mark retries, and a run cannot continue without its downstream call. Runs that a BREAK pauses instead of
// ending are not stopped, because the interpreter may read a RESOLVE after the BREAK, and the run would stay paused for
// good.
func socketAdmissionConfig(settings *deployment.Config) admission.Config {
	config := settings.Config
	config.RetriesMarked = false
	config.CanStopRuns = config.CanStopRuns && !settings.PauseKeepsMemory
	config.ResultTTL = 0
	config.Categories = slices.Clone(config.Categories)
	for i, category := range config.Categories {
		config.Categories[i].DeduplicationWindow = entryRetention(category)
		config.Categories[i].DegradedValue = 0
	}
	return config
}

// onRunEnded handles a notice of the end of a run.
func (c *interpreterClient) onRunEnded(received *notice, req *request) error {
	outcome, known := runOutcomes[received.State]
	if !known {
		return errUnknownRunOutcome
	}
	switch {
	case req == nil:
	case outcome == admission.NeverStarted:
		req.endUnstartedRun()
	default:
		req.runConfirmed = true
		req.isRunStartUnknown = false
		req.handleRunEnd(outcome, deployment.RoundUp(received.TookMs), received.Data)
	}
	return nil
}

// onCallNeeded handles a notice that a run waits for a downstream call. Admission decides when the call is made.
func (c *interpreterClient) onCallNeeded(received *notice, req *request) {
	if req == nil || !req.runStarted || req.runDone {
		return
	}
	req.runConfirmed = true
	req.isRunStartUnknown = false
	req.callBody = received.Data
	req.reservation.Suspend(c.server.now)
	req.handle.NeedsCall()
}

// onCommandFailed handles a notice that a command failed. If the command was an APPLY, the run ends as never started,
// or as aborted if an earlier notice proves that it had started (see endUnstartedRun).
func (c *interpreterClient) onCommandFailed(received *notice, req *request) {
	if countAndSample(&c.errorCount) {
		c.server.log.Event("interpreter_error").Str("command", received.State).Str("request_id", received.RequestID).
			Int("count", c.errorCount).Send()
	}
	if req != nil && req.runStarted && received.State == commandRun {
		req.endUnstartedRun()
	}
}

// onGauges handles the response to a gauges query.
func (c *interpreterClient) onGauges(tag string, row json.RawMessage) error {
	var values []float64
	if err := json.Unmarshal(row, &values); err != nil {
		return errMalformedGauges
	}
	now := c.server.now
	c.gauges = c.server.config.Settings.GaugesFromRow(values)
	c.gaugesReceivedAt = now
	if c.gaugesRequestedAt > 0 {
		c.smoothedRoundTrip += (float64(now-c.gaugesRequestedAt) - c.smoothedRoundTrip) / roundTripSmoothing
		c.gaugesRequestedAt = 0
	}
	if c.wakeupPending {
		c.deliverGauges()
	}
	if c.replayEndTag != "" && tag == c.replayEndTag {
		c.endReplay()
	}
	return nil
}
