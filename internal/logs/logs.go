// Package logs writes the program's log: a line for each event, as text or as JSON. The event's name stands under the
// key event; names and keys stay the same from version to version, and docs/oncall.md lists them.
//
// It must never be used for each request: a line costs some microseconds of the event loop's core.
package logs

import (
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog"
)

// Format is how lines look.
type Format string

// The formats, as the flag --log names them.
const (
	FormatText Format = "text" // time event=name key=value ...
	FormatJSON Format = "json" // an object a line
)

const timestampLayout = "2006-01-02T15:04:05.000000Z"

// firstKeys come first in lines of text, so that these can be compared by eye; other keys follow by the alphabet.
var firstKeys = []string{"event", "name", "requests"}

// Logger writes events. It is safe for concurrent use if its output is.
type Logger struct{ writer zerolog.Logger }

// New returns a logger that writes to out, which gets each line in a call of its own. Any format but FormatText is
// FormatJSON.
func New(out io.Writer, format Format) Logger {
	if format == FormatText {
		out = zerolog.ConsoleWriter{
			Out:             out,
			NoColor:         true,
			PartsOrder:      []string{zerolog.TimestampFieldName},
			FieldsOrder:     firstKeys,
			FormatTimestamp: func(timestamp any) string { return fmt.Sprint(timestamp) },
		}
	}
	return Logger{zerolog.New(out)}
}

// Event begins the line of an event. The caller adds keys to it and ends it with Send.
func (l Logger) Event(name string) *zerolog.Event {
	now := time.Now().UTC().Format(timestampLayout)
	return l.writer.Log().Str(zerolog.TimestampFieldName, now).Str("event", name)
}
