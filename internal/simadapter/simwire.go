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
	name   string
	server *admission.Server
	items  map[uint64]*admission.WorkItem
	terms  *deployment.Terms
	now    timeunit.Ticks
	out    bytes.Buffer
	events bool
}

// Serve answers batches until the input ends. A malformed line ends it with an error that names the line.
func Serve(in io.Reader, out io.Writer) error {
	d := &door{in: bufio.NewReaderSize(in, 1<<16), out: bufio.NewWriterSize(out, 1<<16),
		instances: map[string]*instance{}}
	for {
		open, err := d.batch()
		if err != nil {
			return fmt.Errorf("line %d: %w", d.line, err)
		}
		if !open {
			return nil
		}
		if err := d.out.Flush(); err != nil {
			return err
		}
	}
}

type door struct {
	in        *bufio.Reader
	out       *bufio.Writer
	line      int
	instances map[string]*instance
	current   *instance
	busy      []*instance
	now       timeunit.Ticks
}

// next reads a line; io.EOF comes only where the input ends between lines.
func (d *door) next() (string, error) {
	text, err := d.in.ReadString('\n')
	if err == io.EOF && text == "" {
		return "", io.EOF
	}
	d.line++
	if err == io.EOF {
		return "", errors.New("the input ends in the middle of a line")
	}
	return strings.TrimSuffix(strings.TrimSuffix(text, "\n"), "\r"), err
}

func (d *door) batch() (bool, error) {
	text, err := d.next()
	for err == nil && text == "" {
		text, err = d.next()
	}
	if err == io.EOF {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	f, err := parse(text)
	if err != nil {
		return false, err
	}
	if f.name != "MARK" {
		return false, fmt.Errorf("a batch opens with MARK, not %q", f.name)
	}
	if !f.has("T") {
		return false, errors.New("MARK has no T")
	}
	d.now = f.time("T", deployment.Down)
	if f.err != nil {
		return false, f.err
	}
	d.current, d.busy = nil, d.busy[:0]
	for {
		text, err := d.next()
		if err == io.EOF {
			return false, errors.New("the input ends in the middle of a batch")
		}
		if err != nil {
			return false, err
		}
		if text == "EOF_BATCH" {
			break
		}
		if err := d.event(text); err != nil {
			return false, err
		}
	}
	for _, i := range d.busy {
		i.events = false
		if i.server != nil {
			i.server.Decide()
		}
		if i.out.Len() > 0 {
			fmt.Fprintf(d.out, "AS Server=%s\n", i.name)
			d.out.Write(i.out.Bytes())
			i.out.Reset()
		}
	}
	d.out.WriteString("EOR\n")
	return true, nil
}

func (d *door) event(text string) error {
	f, err := parse(text)
	if err != nil {
		return err
	}
	switch f.name {
	case "MARK", "EOF_BATCH":
		return fmt.Errorf("%s in the middle of a batch", f.name)
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
		return fmt.Errorf("%s comes before any FOR", f.name)
	}
	apply, known := kinds[f.name]
	if !known {
		log.Printf("line %d: event %q is not known, passed over", d.line, f.name)
		return nil
	}
	if i.server == nil && f.name != "CREATE" {
		return fmt.Errorf("%s for %s, which was never created or is dead", f.name, i.name)
	}
	if !i.events {
		i.events = true
		d.busy = append(d.busy, i)
	}
	if i.now = d.now; i.server != nil {
		i.server.At(d.now)
	}
	if err := apply(i, f); err != nil {
		return err
	}
	return f.err
}

// kinds holds what each kind of event calls.
var kinds = map[string]func(*instance, *fields) error{
	"KILL": func(i *instance, _ *fields) error {
		i.server, i.items = nil, nil
		i.out.Reset()
		return nil
	},
	"CREATE":    (*instance).create,
	"INBOUND":   (*instance).inbound,
	"WITHDRAWN": withItem(func(w *admission.WorkItem, _ *fields) error { w.Gone(); return nil }),
	"READY_TO_CALL": withItem(func(w *admission.WorkItem, _ *fields) error {
		w.AtCall()
		return nil
	}),
	"CALLED": withItem(func(w *admission.WorkItem, f *fields) error {
		how, err := f.outcome()
		if err == nil {
			w.CallEnded(how, f.time("Duration", deployment.Up))
		}
		return err
	}),
	"ENDED": withItem(func(w *admission.WorkItem, f *fields) error {
		how, err := f.outcome()
		if err == nil {
			w.RunEnded(how, f.time("Duration", deployment.Up))
		}
		return err
	}),
	"DRAIN": func(i *instance, f *fields) error {
		i.server.Leave(f.time("TimeLeft", deployment.Down))
		return nil
	},
	"DEADLINE_HIT": (*instance).woken,
}

// withItem finds the work item that an event is about; one that is not known here is passed over.
func withItem(apply func(*admission.WorkItem, *fields) error) func(*instance, *fields) error {
	return func(i *instance, f *fields) error {
		if !f.has("Xid") {
			return fmt.Errorf("%s has no Xid", f.name)
		}
		id := f.whole("Xid")
		if f.err != nil {
			return f.err
		}
		if w := i.items[id]; w != nil {
			return apply(w, f)
		}
		return nil
	}
}

func (i *instance) inbound(f *fields) error {
	if !f.has("Xid") {
		return errors.New("INBOUND has no Xid")
	}
	a := admission.Arrival{Door: f.whole("Xid"), Category: f.place("Band"),
		Caller: f.place("OriginPeer"), HeldKb: f.number("HeldKb"),
		Unread: f.time("Lay", deployment.Down), Left: f.time("TimeLeft", deployment.Down), Again: f.flag("Retry"),
		Reads: f.whole("Key") != 0}
	if f.number("TimeLeft") != 0 {
		a.Left = max(1, a.Left) // told, however little; none would mean that it was not
	}
	if earlier := f.whole("Forerunner"); earlier != 0 {
		a.Repeats, a.Earlier = true, i.items[earlier]
	}
	if a.HeldKb < 0 {
		return errors.New("INBOUND: HeldKb is out of range")
	}
	if f.err != nil {
		return f.err
	}
	i.items[a.Door] = i.server.Take(a)
	return nil
}

func (i *instance) woken(f *fields) error {
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
	i.server.Woken(i.terms.Gauges(row))
	return nil
}

// fields is one line of the wire. The first value that can't be read is kept in err.
type fields struct {
	name   string
	values map[string]string
	err    error
}

func parse(text string) (*fields, error) {
	name, rest, _ := strings.Cut(text, " ")
	if name == "" {
		return nil, errors.New("a line without a name")
	}
	f := &fields{name: name, values: make(map[string]string, 12)}
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

func (f *fields) has(key string) bool { return f.values[key] != "" }

// most is more than any number on the wire can mean: thirty years in milliseconds.
const most = 1e12

func (f *fields) number(key string) float64 {
	text := f.values[key]
	if text == "" {
		return 0
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		f.err = fmt.Errorf("%s: %s=%q is not a number", f.name, key, text)
		return 0
	}
	if math.Abs(v) > most {
		f.err = fmt.Errorf("%s: %s=%q is out of range", f.name, key, text)
		return 0
	}
	return v
}

func (f *fields) whole(key string) uint64 {
	text := f.values[key]
	if text == "" {
		return 0
	}
	v, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		f.err = fmt.Errorf("%s: %s=%q is not a whole number", f.name, key, text)
	}
	return v
}

// place is a place in a list or the number of a caller; no list is as long as the limit.
func (f *fields) place(key string) int {
	v := f.whole(key)
	if v >= 1<<20 {
		f.err = fmt.Errorf("%s: %s=%d is out of range", f.name, key, v)
		return 0
	}
	return int(v)
}

func (f *fields) flag(key string) bool {
	switch text := f.values[key]; text {
	case "", "0":
		return false
	case "1":
		return true
	default:
		f.err = fmt.Errorf("%s: %s=%q is neither 1 nor 0", f.name, key, text)
		return false
	}
}

func (f *fields) time(key string, round func(float64) timeunit.Ticks) timeunit.Ticks {
	return round(f.number(key))
}

func (f *fields) outcome() (admission.Outcome, error) {
	switch text := f.values["Status"]; text {
	case "GOOD":
		return admission.Well, nil
	case "BAD":
		return admission.Badly, nil
	case "FULL", "NOCONN":
		return admission.Unseen, nil
	case "LATE", "RST":
		return admission.Unknown, nil
	case "CXL":
		return admission.Cut, nil
	case "NOP":
		return admission.NeverBegun, nil
	default:
		return 0, fmt.Errorf("%s: Status=%q is not an outcome", f.name, text)
	}
}
