// Package simwire speaks the simulator's wire: it decodes batches into calls on admission.Server and work
// items, and encodes what the servers answer. It decides nothing.
package simadapter

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"log"
	"math"
	"strconv"
	"strings"

	"thistlequay/admission"
	"thistlequay/internal/deployment"
	"thistlequay/timeunit"
)

// instance is one simulated server, the ids of its work items and the reply that it is owed.
type instance struct {
	name     string
	server   *admission.Server
	requests map[uint64]*admission.Request
	terms    *deployment.Config
	now      timeunit.Ticks
	reply    bytes.Buffer
	touched  bool
}

// Serve answers batches until the input ends. A malformed line ends it with an error that names the line.
func Serve(in io.Reader, out io.Writer) error {
	d := &session{in: bufio.NewReaderSize(in, 1<<16), out: bufio.NewWriterSize(out, 1<<16),
		instances: map[string]*instance{}}
	for {
		open, err := d.serveBatch()
		if err != nil {
			return fmt.Errorf("line %d: %w", d.lineNumber, err)
		}
		if !open {
			return nil
		}
		if err := d.out.Flush(); err != nil {
			return err
		}
	}
}

type session struct {
	in         *bufio.Reader
	out        *bufio.Writer
	lineNumber int
	instances  map[string]*instance
	current    *instance
	touched    []*instance
	now        timeunit.Ticks
}

// readLine reads a line; io.EOF comes only where the input ends between lines.
func (d *session) readLine() (string, error) {
	text, err := d.in.ReadString('\n')
	if err == io.EOF && text == "" {
		return "", io.EOF
	}
	d.lineNumber++
	if err == io.EOF {
		return "", errors.New("the input ends in the middle of a line")
	}
	return strings.TrimSuffix(strings.TrimSuffix(text, "\n"), "\r"), err
}

func (d *session) serveBatch() (bool, error) {
	text, err := d.readLine()
	for err == nil && text == "" {
		text, err = d.readLine()
	}
	if err == io.EOF {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	f, err := parseMessage(text)
	if err != nil {
		return false, err
	}
	if f.kind != "MARK" {
		return false, fmt.Errorf("a batch opens with MARK, not %q", f.kind)
	}
	if !f.has("T") {
		return false, errors.New("MARK has no T")
	}
	d.now = f.ticks("T", deployment.RoundDown)
	if f.err != nil {
		return false, f.err
	}
	d.current, d.touched = nil, d.touched[:0]
	for {
		text, err := d.readLine()
		if err == io.EOF {
			return false, errors.New("the input ends in the middle of a batch")
		}
		if err != nil {
			return false, err
		}
		if text == "EOF_BATCH" {
			break
		}
		if err := d.applyEvent(text); err != nil {
			return false, err
		}
	}
	for _, i := range d.touched {
		i.touched = false
		if i.server != nil {
			i.server.Dispatch()
		}
		if i.reply.Len() > 0 {
			fmt.Fprintf(d.out, "AS Server=%s\n", i.name)
			d.out.Write(i.reply.Bytes())
			i.reply.Reset()
		}
	}
	d.out.WriteString("EOR\n")
	return true, nil
}

func (d *session) applyEvent(text string) error {
	f, err := parseMessage(text)
	if err != nil {
		return err
	}
	switch f.kind {
	case "MARK", "EOF_BATCH":
		return fmt.Errorf("%s in the middle of a batch", f.kind)
	case "FOR":
		name := f.values["Server"]
		if name == "" {
			return errors.New("FOR names no Server")
		}
		if d.current = d.instances[name]; d.current == nil {
			d.current = &instance{name: name}
			d.instances[name] = d.current
		}
		return nil
	}
	i := d.current
	if i == nil {
		return fmt.Errorf("%s comes before any FOR", f.kind)
	}
	apply, known := eventHandlers[f.kind]
	if !known {
		log.Printf("line %d: event %q is not known, passed over", d.lineNumber, f.kind)
		return nil
	}
	if i.server == nil && f.kind != "CREATE" {
		return fmt.Errorf("%s for %s, which was never created or is dead", f.kind, i.name)
	}
	if !i.touched {
		i.touched = true
		d.touched = append(d.touched, i)
	}
	if i.now = d.now; i.server != nil {
		i.server.Advance(d.now)
	}
	if err := apply(i, f); err != nil {
		return err
	}
	return f.err
}

// eventHandlers holds what each kind of event calls.
var eventHandlers = map[string]func(*instance, *message) error{
	"KILL": func(i *instance, _ *message) error {
		i.server, i.requests = nil, nil
		i.reply.Reset()
		return nil
	},
	"CREATE":    (*instance).create,
	"INBOUND":   (*instance).arrive,
	"WITHDRAWN": withRequest(func(w *admission.Request, _ *message) error { w.Cancel(); return nil }),
	"READY_TO_CALL": withRequest(func(w *admission.Request, _ *message) error {
		w.NeedsCall()
		return nil
	}),
	"CALLED": withRequest(func(w *admission.Request, f *message) error {
		how, err := f.outcome()
		if err == nil {
			w.CallEnded(how, f.ticks("Duration", deployment.RoundUp))
		}
		return err
	}),
	"ENDED": withRequest(func(w *admission.Request, f *message) error {
		how, err := f.outcome()
		if err == nil {
			w.RunEnded(how, f.ticks("Duration", deployment.RoundUp))
		}
		return err
	}),
	"DRAIN": func(i *instance, f *message) error {
		i.server.Drain(f.ticks("TimeLeft", deployment.RoundDown))
		return nil
	},
	"DEADLINE_HIT": (*instance).wake,
}

// withRequest finds the work item that an event is about; one that is not known here is passed over.
func withRequest(apply func(*admission.Request, *message) error) func(*instance, *message) error {
	return func(i *instance, f *message) error {
		if !f.has("Xid") {
			return fmt.Errorf("%s has no Xid", f.kind)
		}
		id := f.unsigned("Xid")
		if f.err != nil {
			return f.err
		}
		if w := i.requests[id]; w != nil {
			return apply(w, f)
		}
		return nil
	}
}

func (i *instance) arrive(f *message) error {
	if !f.has("Xid") {
		return errors.New("INBOUND has no Xid")
	}
	a := admission.Arrival{ID: f.unsigned("Xid"), Category: f.index("Band"),
		Router: f.index("OriginPeer"), QueuedKB: f.number("HeldKb"),
		UnreadTime: f.ticks("Lay", deployment.RoundDown), TimeLeft: f.ticks("TimeLeft", deployment.RoundDown), IsRetry: f.flag("Retry"),
		Cacheable: f.unsigned("Key") != 0}
	if f.number("TimeLeft") != 0 {
		a.TimeLeft = max(1, a.TimeLeft) // told, however little; none would mean that it was not
	}
	if earlier := f.unsigned("Forerunner"); earlier != 0 {
		a.IsRepeat, a.RepeatOf = true, i.requests[earlier]
	}
	if a.QueuedKB < 0 {
		return errors.New("INBOUND: HeldKb is out of range")
	}
	if f.err != nil {
		return f.err
	}
	i.requests[a.ID] = i.server.Enqueue(a)
	return nil
}

func (i *instance) wake(f *message) error {
	var row []float64
	for rest := f.values["Usage"]; rest != ""; {
		var cell string
		cell, rest, _ = strings.Cut(rest, ",")
		v, err := strconv.ParseFloat(cell, 64)
		if err != nil {
			return fmt.Errorf("gauge %q is not a number", cell)
		}
		row = append(row, v)
	}
	i.server.OnTimer(i.terms.GaugesFromRow(row))
	return nil
}

// message is one line of the wire. The first value that can't be read is kept in err.
type message struct {
	kind   string
	values map[string]string
	err    error
}

func parseMessage(text string) (*message, error) {
	name, rest, _ := strings.Cut(text, " ")
	if name == "" {
		return nil, errors.New("a line without a name")
	}
	f := &message{kind: name, values: make(map[string]string, 12)}
	for rest != "" {
		key, after, found := strings.Cut(rest, "=")
		if !found || key == "" || strings.Contains(key, " ") {
			return nil, fmt.Errorf("%q is not name=value", rest)
		}
		if key == "Env" || key == "Message" { // text runs to the end of the line
			f.values[key] = after
			break
		}
		f.values[key], rest, _ = strings.Cut(after, " ")
	}
	return f, nil
}

func (f *message) has(key string) bool { return f.values[key] != "" }

// maxNumber is more than any number on the wire can mean: thirty years in milliseconds.
const maxNumber = 1e12

func (f *message) number(key string) float64 {
	text := f.values[key]
	if text == "" {
		return 0
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		f.err = fmt.Errorf("%s: %s=%q is not a number", f.kind, key, text)
		return 0
	}
	if math.Abs(v) > maxNumber {
		f.err = fmt.Errorf("%s: %s=%q is out of range", f.kind, key, text)
		return 0
	}
	return v
}

func (f *message) unsigned(key string) uint64 {
	text := f.values[key]
	if text == "" {
		return 0
	}
	v, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		f.err = fmt.Errorf("%s: %s=%q is not a whole number", f.kind, key, text)
	}
	return v
}

// index is a place in a list or the number of a caller; no list is as long as the limit.
func (f *message) index(key string) int {
	v := f.unsigned(key)
	if v >= 1<<20 {
		f.err = fmt.Errorf("%s: %s=%d is out of range", f.kind, key, v)
		return 0
	}
	return int(v)
}

func (f *message) flag(key string) bool {
	switch text := f.values[key]; text {
	case "", "0":
		return false
	case "1":
		return true
	default:
		f.err = fmt.Errorf("%s: %s=%q is neither 1 nor 0", f.kind, key, text)
		return false
	}
}

func (f *message) ticks(key string, round func(float64) timeunit.Ticks) timeunit.Ticks {
	return round(f.number(key))
}

func (f *message) outcome() (admission.Outcome, error) {
	switch text := f.values["Status"]; text {
	case "GOOD":
		return admission.Succeeded, nil
	case "BAD":
		return admission.Failed, nil
	case "FULL", "NOCONN":
		return admission.NotExecuted, nil
	case "LATE", "RST":
		return admission.Indeterminate, nil
	case "CXL":
		return admission.Aborted, nil
	case "NOP":
		return admission.NeverStarted, nil
	default:
		return 0, fmt.Errorf("%s: Status=%q is not an outcome", f.kind, text)
	}
}
