package simadapter

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"

	"thistlequay/admission"
	"thistlequay/timeunit"
)

// Keys of the lines of the protocol. Times are in milliseconds.
const (
	keyTime       = "T"
	keyServer     = "Server"
	keySettings   = "Env"     // JSON; extends to the end of the line
	keyText       = "Message" // extends to the end of the line
	keySeed       = "Prng"
	keyGauges     = "Usage"
	keyID         = "Xid"
	keyCategory   = "Band"
	keyRouter     = "OriginPeer"
	keyQueuedKB   = "HeldKb"
	keyUnreadTime = "Lay"
	keyTimeLeft   = "TimeLeft"
	keyRetry      = "Retry"
	keyReadKey    = "Key"        // identifies a read whose result may be shared with other requests; 0 for none
	keyRepeatOf   = "Forerunner" // ID of the request that this one repeats; 0 for none
	keyDuration   = "Duration"
	keyStatus     = "Status"
)

// outcomes maps the values of Status to the outcome of a run or a downstream call.
var outcomes = map[string]admission.Outcome{
	"GOOD":   admission.Succeeded,
	"BAD":    admission.Failed,
	"FULL":   admission.NotExecuted,
	"NOCONN": admission.NotExecuted,
	"LATE":   admission.Indeterminate,
	"RST":    admission.Indeterminate,
	"CXL":    admission.Aborted,
	"NOP":    admission.NeverStarted,
}

// Bounds of numbers. They are far beyond any meaningful value, and small enough that arithmetic on the numbers cannot
// overflow.
const (
	maxNumber = 1e12    // about thirty years in milliseconds
	maxIndex  = 1 << 20 // of a list index or a router number
)

// message is one parsed line of the protocol: its kind and the values of its keys.
type message struct {
	kind   string
	values map[string]string

	// err describes the last value that was read and found invalid; nil if there was none. An invalid value reads as 0,
	// or as the largest integer where unsigned reads one that overflows.
	err error
}

// expectedKeyCount is the initial capacity of message.values. No known line has more keys.
const expectedKeyCount = 12

// parseMessage parses a line of the form KIND key=value key=value.
func parseMessage(text string) (*message, error) {
	kind, rest, _ := strings.Cut(text, " ")
	if kind == "" {
		return nil, errors.New("line does not begin with its kind")
	}
	line := &message{kind: kind, values: make(map[string]string, expectedKeyCount)}
	for rest != "" {
		key, afterKey, found := strings.Cut(rest, "=")
		if !found || key == "" || strings.Contains(key, " ") {
			return nil, fmt.Errorf("%q is not name=value", rest)
		}
		if key == keySettings || key == keyText {
			line.values[key] = afterKey
			break
		}
		line.values[key], rest, _ = strings.Cut(afterKey, " ")
	}
	return line, nil
}

// has reports whether a key is present and its value is not empty.
func (m *message) has(key string) bool { return m.values[key] != "" }

// setError records that the value of a key is invalid.
func (m *message) setError(key, problem string) {
	m.err = fmt.Errorf("%s: %s=%q %s", m.kind, key, m.values[key], problem)
}

// number returns the value of a key as a number, or 0 if the key is absent.
func (m *message) number(key string) float64 {
	if !m.has(key) {
		return 0
	}
	number, err := strconv.ParseFloat(m.values[key], 64)
	if err != nil || math.IsNaN(number) || math.IsInf(number, 0) {
		m.setError(key, "is not a number")
		return 0
	}
	if math.Abs(number) > maxNumber {
		m.setError(key, "is out of range")
		return 0
	}
	return number
}

// unsigned returns the value of a key as an unsigned integer, or 0 if the key is absent.
func (m *message) unsigned(key string) uint64 {
	if !m.has(key) {
		return 0
	}
	number, err := strconv.ParseUint(m.values[key], 10, 64)
	if err != nil {
		m.setError(key, "is not an unsigned integer")
	}
	return number
}

// index returns the value of a key as a list index or a router number, or 0 if the key is absent.
func (m *message) index(key string) int {
	number := m.unsigned(key)
	if number >= maxIndex {
		m.setError(key, "is out of range")
		return 0
	}
	return int(number)
}

// flag returns the value of a key as a boolean: 1 is true, 0 is false. It returns false if the key is absent.
func (m *message) flag(key string) bool {
	switch m.values[key] {
	case "", "0":
		return false
	case "1":
		return true
	default:
		m.setError(key, "is neither 1 nor 0")
		return false
	}
}

// ticks returns the value of a key, which is in milliseconds, converted to ticks by round. An absent key counts as 0.
func (m *message) ticks(key string, round func(milliseconds float64) timeunit.Ticks) timeunit.Ticks {
	return round(m.number(key))
}

// outcome returns the outcome of a run or a downstream call that the Status key gives.
func (m *message) outcome() (admission.Outcome, error) {
	outcome, isKnown := outcomes[m.values[keyStatus]]
	if !isKnown {
		return 0, fmt.Errorf("%s: Status=%q is not a known outcome", m.kind, m.values[keyStatus])
	}
	return outcome, nil
}
