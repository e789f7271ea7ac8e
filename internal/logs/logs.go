// Package logs writes the log of the program as one line for each event, in text or JSON format. The key event holds
// the name of the event. Names and keys are stable across versions and are listed in docs/oncall.md.
//
// Do not log an event for every request: a line takes a few microseconds of the CPU core that runs the event loop.
package logs

import (
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog"
)

// Format is the format of log lines.
type Format string

// Log formats; the values are those of the --log flag.
const (
	FormatText Format = "text" // time event=name key=value ...
	FormatJSON Format = "json" // one object per line
)

// timestampLayout is RFC 3339 in UTC, always with six digits of microseconds.
const timestampLayout = "2006-01-02T15:04:05.000000Z"

// firstKeys are the keys that come first in text lines, so that lines are easy to compare by eye. The other keys follow
// in alphabetical order.
var firstKeys = []string{"event", "name", "requests"}

// Logger writes log events. It is safe for concurrent use if its output is.
type Logger struct{ writer zerolog.Logger }

// New returns a logger that writes to out, with one call of Write for each line. It uses FormatJSON for any format
// other than FormatText.
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

// Event starts a log line for an event. The caller adds the other keys and calls Send to write the line.
func (l Logger) Event(name string) *zerolog.Event {
	now := time.Now().UTC().Format(timestampLayout)
	return l.writer.Log().Str(zerolog.TimestampFieldName, now).Str("event", name)
}
