// This file owns the link to the interpreter: commands out, notices in, the gauges. It must never begin a run
// twice, pass a body or a result on changed, or send anything after a broken link before what is replayed has
// been taken.
package server

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"errors"
	"slices"
	"strconv"

	"github.com/panjf2000/gnet/v2"

	"thistlequay/admission"
	"thistlequay/internal/deployment"
	"thistlequay/timeunit"
)

const (
	mostLine  = 256 << 10
	leastWait = timeunit.Ticks(10) // gauges are waited for so long at least
	trips     = 4                  // and else so many round trips
	lostWith  = second / 10        // commands sent so short before a link broke may be lost: twice what is told
)

type interpreter struct {
	wire
	link    *dialled       // the one that stands
	next    *dialled       // a dial under way
	since   timeunit.Ticks // that commands could go out
	up      bool           // commands may go out: the interpreter is up and what it replays has been taken
	last    uint64
	carry   []byte
	kinds   [][]byte // names of categories as JSON
	again   alarm
	backOff backOff
	gauges  admission.Gauges
	read    timeunit.Ticks // when they were
	asked   timeunit.Ticks // 0 while no question is out
	trip    float64
	wanted  bool  // the module's wake waits for them
	enough  alarm // but no longer than this
	ages    lags  // of what it was given
	tags    uint64
	fence   string // the question whose answer ends what is replayed
	errs    int
	links   int
}

func (l *interpreter) start(a *App) {
	l.wire = wire{app: a, most: mostOnLink}
	l.again.ring, l.enough.ring = l.dial, l.woken
	l.kinds = make([][]byte, len(a.place.Terms.Categories))
	for name, i := range a.place.Terms.Named {
		l.kinds[i], _ = json.Marshal(name)
	}
}

func (l *interpreter) dial() {
	if l.app.phase >= stopped {
		return
	}
	l.app.unset(&l.again)
	l.next.drop()
	l.next = l.app.dial(l.app.place.Interpreter, dialWithin, l, func() {
		l.next = nil
		l.app.set(&l.again, l.app.now+l.app.spread(l.backOff.next()))
	})
}

// move: the interpreter is at another address now. The old link is used until the new one stands and replaces it.
func (l *interpreter) move() { l.dial() }

func (l *interpreter) opened(c gnet.Conn) {
	if l.conn != nil {
		l.link.drop()
		l.lost()
	}
	l.link, l.next = l.next, nil
	l.conn, l.carry, l.asked = c, l.carry[:0], 0
	l.links++
	l.out = strconv.AppendUint(append(l.buffer(), `{"type":"CONNECT","n":`...), l.last, 10)
	l.out = append(l.out, "}\n"...)
}

func (l *interpreter) closed() {
	stood := l.up && l.app.now-l.since >= redialAfter
	l.lost()
	switch {
	case l.next != nil: // one is being dialled already
	case stood:
		l.backOff = backOff{}
		l.dial()
	default:
		l.app.set(&l.again, l.app.now+l.app.spread(l.backOff.next()))
	}
}

// lost: runs go on without a link. The last commands on it may have been lost with it, so they are given again once
// what is replayed has been taken. That begins no second run: an APPLY does nothing where its request runs, and
// starts nothing where that is over. One with effects is left to its time where it went out long before.
func (l *interpreter) lost() {
	if l.up {
		l.app.log.Event("interpreter_lost").Uint64("after_notice", l.last).Int("in_hand", l.app.items.inHand()).Send()
	}
	l.conn, l.up = nil, false
	if l.out != nil {
		l.out = l.out[:0] // nothing meant for this link goes out on the next
	}
	for _, it := range l.app.items.byID {
		if it.sent && !it.heard {
			it.toRun = l.app.place.Terms.Categories[it.category].Effect == admission.Harmless || l.doubtful(it.sentAt)
			it.doubt = !it.toRun
		}
		if it.reply != nil && l.doubtful(it.repliedAt) {
			it.toGoOn = it.reply
		}
		it.toStop = it.toStop || it.stopped
	}
}

// part ends the link for good: all is answered, and no other is dialled.
func (l *interpreter) part() {
	l.next.drop()
	l.link.drop()
	l.conn, l.up = nil, false
	l.app.unset(&l.again)
}

func (l *interpreter) doubtful(said timeunit.Ticks) bool { return l.app.now-said < lostWith }

// ready: from now on commands go out, first those that waited for a link.
func (l *interpreter) ready() {
	l.up, l.fence, l.since = true, "", l.app.now
	for _, it := range l.app.items.byID {
		switch {
		case it.ended:
		case it.toRun && it.conn == nil && !it.sent: // nobody waits for it, and it never left
			it.neverBegun()
		case it.toRun && !it.heard:
			l.run(it)
		case it.toGoOn != nil && it.conn != nil:
			l.goOn(it, it.toGoOn)
		}
		if it.toStop {
			l.stop(it)
		}
	}
}

func (l *interpreter) command(name string, it *item) []byte {
	out := append(append(append(l.buffer(), `{"type":"`...), name...), `","job":"`...)
	return append(append(out, it.id...), '"')
}

func withData(out, data []byte) []byte {
	out = append(out, `,"data":"`...)
	return append(base64.StdEncoding.AppendEncode(out, data), "\"}\n"...)
}

func (l *interpreter) run(it *item) {
	if it.toRun = !l.up; l.up {
		it.sent, it.sentAt = true, l.app.now
		out := append(append(l.command("APPLY", it), `,"kind":`...), l.kinds[it.category]...)
		l.out = withData(out, it.body)
	}
}

func (l *interpreter) stop(it *item) {
	if it.toStop = !l.up; l.up && !it.ended {
		it.stopped = true
		l.out = append(l.command("BREAK", it), "}\n"...)
	}
}

// goOn passes the reply to a run's call on.
func (l *interpreter) goOn(it *item, reply []byte) {
	it.claim.Resumed(l.app.now)
	if it.toGoOn = nil; l.up {
		it.reply, it.repliedAt = reply, l.app.now
		l.out = withData(l.command("RESOLVE", it), reply)
	} else {
		it.toGoOn = reply
	}
}

// wake: the module is due for the gauges. What else is due is decided in this batch; only the wake waits for them,
// and not for long where the link is slow.
func (l *interpreter) wake() {
	if !l.up {
		l.woken()
		return
	}
	l.wanted = true
	l.app.set(&l.enough, l.app.now+max(leastWait, timeunit.Ticks(trips*l.trip)))
	if l.asked == 0 {
		l.asked = l.app.now
		l.question()
	}
}

func (l *interpreter) woken() {
	l.wanted = false
	l.app.unset(&l.enough)
	l.ages.add(l.app.now - l.read)
	l.gauges.Stale = l.read < l.app.now // the link is down, or the answer late
	l.app.server.Woken(l.gauges)
}

func (l *interpreter) question() (tag string) {
	l.tags++
	tag = strconv.FormatUint(l.tags, 10)
	l.out = append(append(append(l.buffer(), `{"type":"TOP","ref":"`...), tag...), "\"}\n"...)
	return tag
}

func (l *interpreter) traffic(data []byte) error {
	for len(data) > 0 {
		line, rest, whole := bytes.Cut(data, []byte{'\n'})
		data = rest
		if len(l.carry)+len(line) > mostLine {
			return errors.New("a line from the interpreter is beyond the bound")
		}
		if !whole || len(l.carry) > 0 {
			l.carry = append(l.carry, line...)
			line = l.carry
		}
		if !whole {
			return nil
		}
		err := l.notice(line)
		l.carry = l.carry[:0]
		if err != nil {
			return err
		}
	}
	return nil
}

func (l *interpreter) notice(line []byte) error {
	var n struct {
		Type   string          `json:"type"`
		N      uint64          `json:"n"`
		Job    string          `json:"job"`
		State  string          `json:"state"`
		Took   float64         `json:"took"`
		Data   []byte          `json:"data"`
		Ref    string          `json:"ref"`
		Gauges json.RawMessage `json:"gauges"`
	}
	if len(bytes.TrimSpace(line)) == 0 {
		return nil
	}
	if err := json.Unmarshal(line, &n); err != nil {
		return errors.New("a line from the interpreter is no notice")
	}
	if !(n.Took >= 0 && n.Took < 1e12) {
		return errors.New("a notice with a time that cannot be meant")
	}
	if n.N > 0 {
		if n.N <= l.last {
			return nil // replayed though it was read
		}
		l.last = n.N
	}
	it := l.app.items.byID[n.Job]
	if it != nil && n.N > 0 {
		it.reply, it.toGoOn = nil, nil // what comes of the run after a reply tells that it was taken
	}
	switch n.Type {
	case "BANNER":
		l.banner(n.State, deployment.Up(n.Took))
	case "VALUE":
		how, known := ends[n.State]
		if !known {
			return errors.New("a run's end that is none")
		}
		switch {
		case it == nil:
		case how == admission.NeverBegun:
			it.neverBegun()
		default:
			it.heard, it.doubt = true, false
			it.runEnded(how, deployment.Up(n.Took), n.Data)
		}
	case "AWAIT":
		if it != nil && it.begun && !it.ended {
			it.heard, it.doubt, it.asks = true, false, n.Data
			it.claim.Called(l.app.now)
			it.handle.AtCall()
		}
	case "TOPS":
		return l.tops(n.Ref, n.Gauges)
	case "ERROR":
		if often(&l.errs) {
			l.app.log.Event("interpreter_error").Str("command", n.State).Str("id", n.Job).Int("count", l.errs).Send()
		}
		if it != nil && it.begun && n.State == "APPLY" {
			it.neverBegun()
		}
	case "TRACE":
	default:
		return errors.New("a notice of no known type")
	}
	return nil
}

var ends = map[string]admission.Outcome{"OK": admission.Well, "ERROR": admission.Badly,
	"STOPPED": admission.Cut, "MOOT": admission.NeverBegun}

// onSockets is what the settings mean where the protocol of sockets has no word for it: later tries bear no mark, runs do not
// go on without a call, and the interpreter may read an answer after the order to stop, which pauses for good what is not over.
func onSockets(of *deployment.Terms) admission.Deployment {
	d := of.Deployment
	d.Marked, d.Stops, d.Fresh = false, d.Stops && !of.Pauses, 0
	d.Categories = slices.Clone(d.Categories)
	for i, c := range d.Categories {
		d.Categories[i].Window, d.Categories[i].Poorer = kept(c), 0
	}
	return d
}

// banner starts the module's server the first time, as cold or warm as the interpreter says it was.
func (l *interpreter) banner(state string, since timeunit.Ticks) {
	a := l.app
	if a.server == nil {
		terms := onSockets(a.place.Terms)
		terms.Cold, terms.Spread = state == "COLD", a.chance.Float64()
		// Stamps and results lie in this process's memory, not in the interpreter's that the settings speak of.
		terms.EntryKb, terms.Entries = 0, max(1, a.place.Memory/stampsPart/stampSize-a.keeping.recalled())
		terms.Learnt = a.keeping.begin()
		a.server = admission.New(terms, &a.items, a.now-since)
		a.server.At(a.now)
		a.log.Event("interpreter_up").Str("name", a.place.Name).Str("state", state).Int64("since_ms", int64(since/10)).Send()
		a.tellLeave()
		a.enter(ready)
		l.ready()
		return
	}
	a.log.Event("interpreter_back").Str("name", a.place.Name).Int("links", l.links).Send()
	l.fence = l.question()
}

func (l *interpreter) tops(ref string, row json.RawMessage) error {
	var values []float64
	if err := json.Unmarshal(row, &values); err != nil {
		return errors.New("gauges that are no numbers")
	}
	now := l.app.now
	l.gauges, l.read = l.app.place.Terms.Gauges(values), now
	if l.asked > 0 {
		l.trip += (float64(now-l.asked) - l.trip) / 8
		l.asked = 0
	}
	if l.wanted {
		l.woken()
	}
	if l.fence != "" && ref == l.fence {
		l.ready()
	}
	return nil
}
