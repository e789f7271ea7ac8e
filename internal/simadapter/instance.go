package simadapter

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"

	"thistlequay/admission"
	"thistlequay/internal/deployment"
	"thistlequay/timeunit"
)

// instance is the state of one simulated server.
type instance struct {
	name     string
	server   *admission.Server             // nil before it is created and after it is killed
	requests map[uint64]*admission.Request // by ID, until the server releases them
	config   *deployment.Config
	now      timeunit.Ticks
	hasEvent bool         // whether it had an event in this batch
	reply    bytes.Buffer // the lines of its reply to this batch
}

// Kinds of events.
const (
	eventCreate      = "CREATE"
	eventKill        = "KILL"
	eventDrain       = "DRAIN"
	eventTimer       = "DEADLINE_HIT"
	eventArrival     = "INBOUND"
	eventCancel      = "WITHDRAWN"
	eventReadyToCall = "READY_TO_CALL"
	eventCallEnded   = "CALLED"
	eventRunEnded    = "ENDED"
)

// eventHandlers maps each kind of event to its handler. For all kinds except eventCreate, the server exists when the
// handler is called.
var eventHandlers = map[string]func(*instance, *message) error{
	eventCreate:      (*instance).handleCreate,
	eventKill:        (*instance).handleKill,
	eventDrain:       (*instance).handleDrain,
	eventTimer:       (*instance).handleTimer,
	eventArrival:     (*instance).handleArrival,
	eventCancel:      withRequest(handleCancel),
	eventReadyToCall: withRequest(handleReadyToCall),
	eventCallEnded:   withRequest(handleCallEnded),
	eventRunEnded:    withRequest(handleRunEnded),
}

// handleCreate creates the server with the settings in the event.
func (i *instance) handleCreate(event *message) error {
	if !event.has(keySettings) {
		return errors.New("CREATE has no Env")
	}
	config, err := deployment.Read([]byte(event.values[keySettings]))
	if err != nil {
		return fmt.Errorf("CREATE: %w", err)
	}
	config.TurnOffset = turnOffset(event.unsigned(keySeed))
	i.config = config
	i.requests = map[uint64]*admission.Request{}
	i.reply.Reset()
	i.server = admission.New(config.Config, (*host)(i), i.now)
	return nil
}

// turnOffset maps a seed to an offset from 0 to 1 (admission.Config.TurnOffset). It uses multiples of the golden ratio,
// because their fractional parts are spread evenly even for consecutive seeds. The seed is reduced first, so that the
// product keeps an accurate fractional part.
func turnOffset(seed uint64) float64 {
	const seedModulus = 1 << 20
	return math.Mod(float64(seed%seedModulus)*math.Phi, 1)
}

// handleKill discards the server, its requests and its reply to this batch.
func (i *instance) handleKill(*message) error {
	i.server = nil
	i.requests = nil
	i.reply.Reset()
	return nil
}

// handleDrain starts the graceful shutdown of the server. The event carries the time until the server is stopped.
func (i *instance) handleDrain(event *message) error {
	i.server.Drain(event.ticks(keyTimeLeft, deployment.RoundDown))
	return nil
}

// handleTimer fires the timer of the server and passes it the gauge readings in the event.
func (i *instance) handleTimer(event *message) error {
	var values []float64
	for rest := event.values[keyGauges]; rest != ""; {
		var text string
		text, rest, _ = strings.Cut(rest, ",")
		value, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return fmt.Errorf("gauge %q is not a number", text)
		}
		values = append(values, value)
	}
	i.server.OnTimer(i.config.GaugesFromRow(values))
	return nil
}

// handleArrival creates a request from the event and enqueues it.
func (i *instance) handleArrival(event *message) error {
	if !event.has(keyID) {
		return errors.New("INBOUND has no Xid")
	}
	arrival := admission.Arrival{
		ID:         event.unsigned(keyID),
		Category:   event.index(keyCategory),
		Router:     event.index(keyRouter),
		QueuedKB:   event.number(keyQueuedKB),
		UnreadTime: event.ticks(keyUnreadTime, deployment.RoundDown),
		TimeLeft:   event.ticks(keyTimeLeft, deployment.RoundDown),
		IsRetry:    event.flag(keyRetry),
		Cacheable:  event.unsigned(keyReadKey) != 0,
	}
	if event.number(keyTimeLeft) != 0 {
		arrival.TimeLeft = max(1, arrival.TimeLeft) // 0, from rounding down, would mean not known
	}
	if earlierID := event.unsigned(keyRepeatOf); earlierID != 0 {
		arrival.IsRepeat = true
		arrival.RepeatOf = i.requests[earlierID]
	}
	if arrival.QueuedKB < 0 {
		return errors.New("INBOUND: HeldKb is out of range")
	}
	if event.err != nil {
		return event.err
	}
	i.requests[arrival.ID] = i.server.Enqueue(arrival)
	return nil
}

// withRequest returns an event handler that looks up the request of the event and calls apply with it. It ignores
// events for an unknown request, because the server may have released the request while the event was under way.
func withRequest(apply func(*admission.Request, *message) error) func(*instance, *message) error {
	return func(instance *instance, event *message) error {
		if !event.has(keyID) {
			return fmt.Errorf("%s has no Xid", event.kind)
		}
		id := event.unsigned(keyID)
		if event.err != nil {
			return event.err
		}
		request := instance.requests[id]
		if request == nil {
			return nil
		}
		return apply(request, event)
	}
}

// handleCancel reports that no client waits for the request any more.
func handleCancel(request *admission.Request, _ *message) error {
	request.Cancel()
	return nil
}

// handleReadyToCall reports that the run of the request needs its downstream call.
func handleReadyToCall(request *admission.Request, _ *message) error {
	request.NeedsCall()
	return nil
}

// handleCallEnded reports the outcome and the duration of the downstream call.
func handleCallEnded(request *admission.Request, event *message) error {
	outcome, err := event.outcome()
	if err != nil {
		return err
	}
	request.CallEnded(outcome, event.ticks(keyDuration, deployment.RoundUp))
	return nil
}

// handleRunEnded reports the outcome and the duration of the run.
func handleRunEnded(request *admission.Request, event *message) error {
	outcome, err := event.outcome()
	if err != nil {
		return err
	}
	request.RunEnded(outcome, event.ticks(keyDuration, deployment.RoundUp))
	return nil
}
