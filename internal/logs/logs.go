// Package logs writes the program's log: one line an event, with the name under `event` and keys that stay the same from
// version to version (docs/oncall.md lists them), as text or as JSON.
//
// It must never be used for each work item: a line costs some microseconds of the loop's core.
package logs

import (
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog"
)

// Format is how lines look.
type Format string

const (
	FormatText Format = "text" // time event=name key=value ...
	FormatJSON Format = "json"
)

const timestampLayout = "2006-01-02T15:04:05.000000Z"

// Logger writes events.
type Logger struct{ writer zerolog.Logger }

// New writes to out, which gets one whole line a call.
func New(out io.Writer, as Format) Logger {
	if as == FormatText {
		out = zerolog.ConsoleWriter{Out: out, NoColor: true, PartsOrder: []string{zerolog.TimestampFieldName},
			FieldsOrder:     []string{"event", "name", "requests"},
			FormatTimestamp: func(t any) string { return fmt.Sprint(t) }}
	}
	return Logger{zerolog.New(out)}
}

// Event begins a line; Send ends it.
func (l Logger) Event(name string) *zerolog.Event {
	return l.writer.Log().Str(zerolog.TimestampFieldName, time.Now().UTC().Format(timestampLayout)).Str("event", name)
}
