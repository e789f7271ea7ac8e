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

// instance is one simulated server.
type instance struct {
	name     string
	server   *admission.Server             // nil before it is created and after it is killed
	requests map[uint64]*admission.Request // by the simulator's ids, until the server releases them
	config   *deployment.Config
	now      timeunit.Ticks
	touched  bool         // it had an event in this batch
	reply    bytes.Buffer // what it answers in this batch
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

// eventHandlers are the methods for each kind of event. The server exists but for eventCreate.
var eventHandlers = map[string]func(*instance, *message) error{
	eventCreate:      (*instance).create,
	eventKill:        (*instance).kill,
	eventDrain:       (*instance).drain,
	eventTimer:       (*instance).onTimer,
	eventArrival:     (*instance).arrive,
	eventCancel:      withRequest(cancel),
	eventReadyToCall: withRequest(readyToCall),
	eventCallEnded:   withRequest(callEnded),
	eventRunEnded:    withRequest(runEnded),
}

// create starts the server with the settings that the event carries.
func (i *instance) create(event *message) error {
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

// turnOffset spreads seeds evenly from 0 to 1, also those that follow each other: multiples of the golden ratio do.
func turnOffset(seed uint64) float64 {
	const exactInFloat = 1 << 20
	return math.Mod(float64(seed%exactInFloat)*math.Phi, 1)
}

func (i *instance) kill(*message) error {
	i.server = nil
	i.requests = nil
	i.reply.Reset()
	return nil
}

func (i *instance) drain(event *message) error {
	i.server.Drain(event.ticks(keyTimeLeft, deployment.RoundDown))
	return nil
}

// onTimer takes the timer that the server set, with a gauge reading.
func (i *instance) onTimer(event *message) error {
	var row []float64
	for rest := event.values[keyGauges]; rest != ""; {
		var cell string
		cell, rest, _ = strings.Cut(rest, ",")
		figure, err := strconv.ParseFloat(cell, 64)
		if err != nil {
			return fmt.Errorf("gauge %q is not a number", cell)
		}
		row = append(row, figure)
	}
	i.server.OnTimer(i.config.GaugesFromRow(row))
	return nil
}

// arrive enqueues a request.
func (i *instance) arrive(event *message) error {
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
		arrival.TimeLeft = max(1, arrival.TimeLeft) // told, however little; 0 would mean that it was not
	}
	if earlier := event.unsigned(keyRepeatOf); earlier != 0 {
		arrival.IsRepeat = true
		arrival.RepeatOf = i.requests[earlier]
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

// withRequest returns a handler that finds the request that an event is about. One that is not known is passed over:
// the server has released it while the event was on its way.
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

func cancel(request *admission.Request, _ *message) error {
	request.Cancel()
	return nil
}

func readyToCall(request *admission.Request, _ *message) error {
	request.NeedsCall()
	return nil
}

func callEnded(request *admission.Request, event *message) error {
	outcome, err := event.outcome()
	if err != nil {
		return err
	}
	request.CallEnded(outcome, event.ticks(keyDuration, deployment.RoundUp))
	return nil
}

func runEnded(request *admission.Request, event *message) error {
	outcome, err := event.outcome()
	if err != nil {
		return err
	}
	request.RunEnded(outcome, event.ticks(keyDuration, deployment.RoundUp))
	return nil
}
