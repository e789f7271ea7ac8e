package server

import (
	"bytes"
	"context"
	"fmt"
	"regexp"
	"strings"
	"testing"

	"github.com/panjf2000/gnet/v2"
	"github.com/stretchr/testify/require"

	"thistlequay/internal/fastcgi"
	"thistlequay/timeunit"
)

// discardConn is a connection that nothing leaves, noLoop its loop.
type discardConn struct{ gnet.Conn }

func (discardConn) Write(b []byte) (int, error) { return len(b), nil }
func (discardConn) OutboundBuffered() int       { return 0 }
func (discardConn) Context() any                { return nil }
func (discardConn) SetContext(any)              {}
func (discardConn) Fd() int                     { return -1 }

type idleLoop struct{ gnet.EventLoop }

func (idleLoop) Execute(context.Context, gnet.Runnable) error { return nil }
func (idleLoop) Close(gnet.Conn) error                        { return nil }

var runCommandPattern = regexp.MustCompile(`APPLY","job":"(\w+)"`)

// playSequence makes a sequence of what can happen of the bytes. In the end every request must have had its one answer, and
// no stamp more than one run.
func playSequence(t *testing.T, data []byte) { playObserved(t, data, false, func(...any) {}) }

// playObserved is play, and what would leave is seen. Where it must be the same each time the interpreter's link breaks and
// comes back with one work item in hand at most: several are gone through in no order.
func playObserved(t *testing.T, data []byte, same bool, see func(...any)) {
	a, first := newRunningServer(t)
	a.loop = idleLoop{}
	a.interpreter.conn = discardConn{}
	first.conn = discardConn{}
	conns, open := []*routerConnection{first, connectRouter(a)}, 1
	ids, notices, before := 0, 0, a.brokenInvariants
	keys, reached := map[string]byte{firstID: 'k'}, map[string]timeunit.Ticks{firstID: a.now} // by id
	runs, ran := map[string]bool{}, map[byte]timeunit.Ticks{}                                 // by id; by key, when its try came
	hear := func(format string, args ...any) {
		require.NoError(t, a.interpreter.receive([]byte(fmt.Sprintf(format, args...)+"\n")))
	}
	numbers := map[*outputBuffer]int{} // of connections, as they are first written to
	seen := func(w *outputBuffer) {
		if len(w.output) == 0 {
			return
		}
		if _, known := numbers[w]; !known {
			numbers[w] = len(numbers)
		}
		see(numbers[w], string(w.output))
	}
	answerQuestions := func() {
		seen(&a.interpreter.outputBuffer)
		for _, l := range strings.Split(string(a.interpreter.output), "\n") {
			if tag, found := strings.CutPrefix(l, `{"type":"TOP","ref":"`); found && a.interpreter.conn != nil {
				defer hear(`{"type":"TOPS","ref":"%s","gauges":[0.5,1]}`, strings.TrimSuffix(tag, `"}`))
			}
		}
		for _, m := range runCommandPattern.FindAllSubmatch(a.interpreter.output, -1) {
			id := string(m[1])
			if runs[id] {
				continue // it does nothing where its request runs, and starts nothing where that is over
			}
			last, before := ran[keys[id]]
			require.False(t, before && reached[id] < last+50_000, "a run begun twice")
			runs[id], ran[keys[id]] = true, reached[id]
		}
		a.interpreter.output = nil
	}
	decide := func() {
		for range 3 {
			a.requests.settle()
			a.admission.Dispatch()
			answerQuestions()
		}
		for _, w := range a.pendingWrites { // what would have gone out
			if w != &a.interpreter.outputBuffer {
				seen(w)
				w.output = nil
			}
		}
		a.pendingWrites, a.buffers.inUse = nil, 0
		b := a.admission.Stats()
		see(int64(a.now), a.requests.count(), a.index.inFlight, a.index.connections, len(a.requests.entries), b.Queued, b.Running, b.WaitingAtCalls)
	}
	pass := func(span timeunit.Ticks) {
		a.now += span
		a.admission.Advance(a.now)
		a.resumeAfterStandstill() // as after a standstill: the steps are long
		decide()
	}
	pick := func(n byte) *request { // any in hand, the same each time
		var best *request
		for id := 0; id <= ids && best == nil; id++ {
			best = a.requests.byID[fmt.Sprintf("%016x", 0xaa+(id+int(n))%(ids+1))]
		}
		return best
	}
	ends := []string{"OK", "ERROR", "STOPPED", "MOOT"}
	answers := []string{"HIT 2\r\nok", "SHED", "BROKEN", "SLOW", "NOBODY"}
	decide() // the first run's command leaves before anything is heard of it
	for len(data) >= 2 {
		what, n := data[0]%10, data[1]
		data = data[2:]
		it := pick(n)
		switch c := conns[n%2]; what {
		case 0, 1, 2: // a request
			if c.conn == nil || c.parser.OpenRequests() == fastcgi.MaxOpenRequests || open > 200 {
				break
			}
			ids++
			open++
			id := fmt.Sprintf("%016x", 0xaa+ids)
			keys[id], reached[id] = 'k'+n%3, a.now/10*10
			text := bytes.ReplaceAll([]byte(wholeRequest), []byte(firstID), []byte(id))
			text = bytes.Replace(text, []byte("HTTP_ONCE_KEYk"), fmt.Appendf(nil, "HTTP_ONCE_KEY%c", 'k'+n%3), 1)
			text = bytes.Replace(text, []byte("1000000"), fmt.Appendf(nil, "%07d", a.now/10), 1)
			for p := 0; p < len(text); p += 8 + int(text[p+5]) {
				text[p+2], text[p+3] = byte(open>>8), byte(open)
			}
			require.NoError(t, c.parser.Feed(text, c))
		case 3: // its caller stops waiting
			if it != nil && it.router != nil {
				slot := it.stream.ID
				require.NoError(t, it.router.parser.Feed([]byte{1, 2, byte(slot >> 8), byte(slot), 0, 0, 0, 0}, it.router))
			}
		case 4:
			if it != nil && it.runSent && a.interpreter.conn != nil {
				notices++
				if ends[n%4] == "MOOT" && !it.runConfirmed && !it.runDone {
					delete(ran, keys[it.id]) // it never ran
				}
				hear(`{"type":"VALUE","n":%d,"job":"%s","state":"%s","took":9,"data":"eA=="}`, notices, it.id, ends[n%4])
			}
		case 5:
			if it != nil && it.runSent && it.call == nil && a.interpreter.conn != nil {
				notices++
				hear(`{"type":"AWAIT","n":%d,"job":"%s","data":"eA=="}`, notices, it.id)
			}
		case 6: // the index answers, or comes up, or goes
			switch {
			case it == nil || it.call == nil || it.call.connection == nil:
			case it.call.connection.conn == nil:
				it.call.connection.opened(discardConn{})
			case n > 200:
				it.call.connection.closed()
			default:
				l := it.call.connection
				if l.receive([]byte(it.id+" "+answers[n%5]+"\r\n")) != nil {
					l.closed()
				}
			}
		case 7: // the interpreter's link breaks, or comes back
			if same && a.requests.count() > 1 {
				break
			}
			if a.interpreter.conn != nil {
				a.interpreter.closed()
			} else {
				a.interpreter.opened(discardConn{})
				hear(`{"type":"BANNER","state":"WARM","took":1}`)
			}
		case 8:
			if n > 250 && c.conn != nil {
				c.closed()
			} else if n == 7 {
				a.admission.Drain(20_000)
			}
		}
		decide()
		pass(timeunit.Ticks(n) * 4)
	}
	for range 900 { // all that is owed is due by then
		pass(100)
	}
	for _, c := range conns {
		require.Zero(t, c.parser.OpenRequests(), "requests without an answer")
	}
	require.Equal(t, before, a.brokenInvariants)
}

func FuzzSequences(f *testing.F) {
	f.Add([]byte("\x00\x00\x00\x02\x00\x04\x04\x00\x04\x01\x00\x00\x05\x00\x06\x00\"7000000")) // MOOT of a run heard of
	f.Add([]byte{0, 0, 0, 2, 0, 4, 4, 0, 4, 1, 0, 0, 5, 0, 6, 0, 6, 3, 6, 0, 8, 7, 0, 1})
	f.Add([]byte{0, 0, 0, 1, 7, 0, 0, 3, 7, 0, 4, 0, 3, 1, 8, 255, 8, 254, 0, 0, 4, 1})
	f.Fuzz(playSequence)
}
