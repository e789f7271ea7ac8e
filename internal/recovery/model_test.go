package recovery

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/golden"
	"thistlequay/timeunit"
)

// The model: two tries of one key in a first life, a crash at any moment, a repeat in a second life, another crash and a
// repeat in a third. Each try is intended, its intent becomes durable, it runs or is given up, its result is put. What is on
// the disk after a crash is any part of the log from what is durable to all that was put. Every order is visited.
type tryState int

const (
	unread tryState = iota
	intended
	durable
	ran
	over
	given // up before it ran
)

type world struct {
	log     []Record
	durable int // so many records of the log outlive a crash
	tries   [2]tryState
	at      [2]int // where the intent of each lies in the log
	runs    int
	answers int
}

func (w world) put(r Record) world {
	r.Key, r.Until, r.At = "k", 1_000, Clock{Wall: 10, Mono: 10, Boot: 1}
	w.log = append(w.log[:len(w.log):len(w.log)], r)
	return w
}

// started says whether a try of the key is known to have run in this life, so that another shares its answer.
func (w world) started() bool {
	return w.tries[0] == ran || w.tries[0] == over || w.tries[1] == ran || w.tries[1] == over
}

// search visits all that can follow and calls crash for each log that a crash may leave.
func search(w world, seen map[string]bool, crash func(w world, left []Record)) {
	state := fmt.Sprint(w.tries, w.at, w.durable, w.runs, len(w.log), kinds(w.log))
	if seen[state] {
		return
	}
	seen[state] = true
	for n := w.durable; n <= len(w.log); n++ {
		crash(w, w.log[:n])
	}
	if w.durable < len(w.log) {
		next := w
		next.durable++
		search(next, seen, crash)
	}
	for i := range w.tries {
		next := w
		switch w.tries[i] {
		case unread:
			if w.started() {
				next.tries[i] = given // it shares
				next.answers++
			} else {
				next = w.put(Record{Kind: Intent, Try: uint64(i + 1)})
				next.tries[i], next.at[i] = intended, len(next.log)
			}
			search(next, seen, crash)
		case intended:
			if w.durable >= w.at[i] {
				next.tries[i] = durable
				search(next, seen, crash)
			}
			next = w // its caller left, or the disk came back too late
			next = next.put(Record{Kind: Void, Try: uint64(i + 1)})
			next.tries[i] = given
			search(next, seen, crash)
		case durable:
			if w.started() { // it shares the other's answer
				next = next.put(Record{Kind: Void, Try: uint64(i + 1)})
				next.tries[i] = given
				next.answers++
			} else {
				next.tries[i] = ran
				next.runs++
			}
			search(next, seen, crash)
		case ran:
			next = next.put(Record{Kind: Result, Try: uint64(i + 1), Well: true, Result: []byte("r")})
			next.tries[i] = over
			next.answers++
			search(next, seen, crash)
		}
	}
}

func kinds(log []Record) (s string) {
	for _, r := range log {
		s += fmt.Sprint(r.Kind, r.Try, " ")
	}
	return s
}

// recovered concludes from what is left, as a later life does, and says whether a repeat would run.
func recovered(left []Record, wall timeunit.Ticks) (runs bool, c Conclusion) {
	r := NewRecovery(Terms{Window: 900, Doubt: 100, Most: 10}, Clock{Wall: wall, Mono: wall, Boot: 1})
	r.Segment(Machine)
	for _, one := range left {
		r.Record(one)
	}
	c = r.Finish()
	return len(c.Fates) == 0 && c.DeclineUntil == 0, c
}

func TestEveryInterleaving(t *testing.T) {
	lives, repeats := 0, map[string]int{}
	history := golden.NewHistory()
	search(world{}, map[string]bool{}, func(w world, left []Record) {
		lives++
		require.LessOrEqual(t, w.runs, 1)
		runs, c := recovered(left, 20)
		addRecords(history, left)
		addConclusion(history, c)
		history.Add("run", runs, w.runs, w.answers, w.durable, len(w.log))
		if w.runs > 0 {
			require.False(t, runs, "a second run: %v of %v", kinds(left), kinds(w.log))
		}
		switch {
		case runs: // the repeat runs in the second life; a third must not run it again
			repeats["run"]++
			again := world{log: left, durable: len(left)}.put(Record{Kind: Intent, Try: 9})
			runsAgain, _ := recovered(again.log, 30)
			require.False(t, runsAgain)
		case c.Fates[0].Ended:
			repeats["kept"]++
			require.Equal(t, "r", string(c.Fates[0].Result))
		default:
			repeats["broken off"]++
		}
		runs, c = recovered(left, 2_000) // when its window is over nothing is left of it
		require.True(t, runs && c.DeclineUntil == 0)
	})
	t.Logf("measured store-model crashes=%d repeats=%v", lives, repeats)
	require.Greater(t, lives, 100)
	require.Len(t, repeats, 3)
	golden.Check(t, "model.txt", []byte(history.String()+"\n"))
}
