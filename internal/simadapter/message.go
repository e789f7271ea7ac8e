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

// Keys of the simulator's lines. Times are in milliseconds.
const (
	keyTime       = "T"
	keyServer     = "Server"
	keySettings   = "Env"     // JSON, to the end of the line
	keyText       = "Message" // to the end of the line
	keySeed       = "Prng"
	keyGauges     = "Usage"
	keyID         = "Xid"
	keyCategory   = "Band"
	keyRouter     = "OriginPeer"
	keyQueuedKB   = "HeldKb"
	keyUnreadTime = "Lay"
	keyTimeLeft   = "TimeLeft"
	keyRetry      = "Retry"
	keyReadKey    = "Key"        // of a read whose result may serve others; 0 for none
	keyRepeatOf   = "Forerunner" // id of the request that this one repeats; 0 for none
	keyDuration   = "Duration"
	keyStatus     = "Status"
)

// outcomes are the words for how a run or a call ended.
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

// Bounds of numbers. They are far from what anything can mean, so that arithmetic on them can't overflow.
const (
	maxNumber = 1e12    // thirty years in milliseconds
	maxIndex  = 1 << 20 // of a list or of routers
)

// message is one line of the protocol: its kind and the values of its keys.
type message struct {
	kind   string
	values map[string]string

	// err is what was wrong with a value that was read: the last such value. Reading goes on with 0.
	err error
}

// usualKeys is how many keys a line has at most, as far as is known.
const usualKeys = 12

// parseMessage reads a line of the form KIND key=value key=value.
func parseMessage(text string) (*message, error) {
	kind, rest, _ := strings.Cut(text, " ")
	if kind == "" {
		return nil, errors.New("a line without a name")
	}
	line := &message{kind: kind, values: make(map[string]string, usualKeys)}
	for rest != "" {
		key, after, found := strings.Cut(rest, "=")
		if !found || key == "" || strings.Contains(key, " ") {
			return nil, fmt.Errorf("%q is not name=value", rest)
		}
		if key == keySettings || key == keyText {
			line.values[key] = after
			break
		}
		line.values[key], rest, _ = strings.Cut(after, " ")
	}
	return line, nil
}

// has reports whether a key has a value.
func (m *message) has(key string) bool { return m.values[key] != "" }

// fail notes that the value of a key can't be read.
func (m *message) fail(key, problem string) {
	m.err = fmt.Errorf("%s: %s=%q %s", m.kind, key, m.values[key], problem)
}

// number reads a number; 0 if the key is absent.
func (m *message) number(key string) float64 {
	if !m.has(key) {
		return 0
	}
	number, err := strconv.ParseFloat(m.values[key], 64)
	if err != nil || math.IsNaN(number) || math.IsInf(number, 0) {
		m.fail(key, "is not a number")
		return 0
	}
	if math.Abs(number) > maxNumber {
		m.fail(key, "is out of range")
		return 0
	}
	return number
}

// unsigned reads a whole number; 0 if the key is absent.
func (m *message) unsigned(key string) uint64 {
	if !m.has(key) {
		return 0
	}
	number, err := strconv.ParseUint(m.values[key], 10, 64)
	if err != nil {
		m.fail(key, "is not a whole number")
	}
	return number
}

// index reads a place in a list, or the number of a router; 0 if the key is absent.
func (m *message) index(key string) int {
	number := m.unsigned(key)
	if number >= maxIndex {
		m.fail(key, "is out of range")
		return 0
	}
	return int(number)
}

// flag reads 1 or 0; false if the key is absent.
func (m *message) flag(key string) bool {
	switch m.values[key] {
	case "", "0":
		return false
	case "1":
		return true
	default:
		m.fail(key, "is neither 1 nor 0")
		return false
	}
}

// ticks reads milliseconds and converts them; 0 if the key is absent.
func (m *message) ticks(key string, round func(milliseconds float64) timeunit.Ticks) timeunit.Ticks {
	return round(m.number(key))
}

// outcome reads how a run or a call ended.
func (m *message) outcome() (admission.Outcome, error) {
	outcome, known := outcomes[m.values[keyStatus]]
	if !known {
		return 0, fmt.Errorf("%s: Status=%q is not an outcome", m.kind, m.values[keyStatus])
	}
	return outcome, nil
}
