package quota

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math/rand"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"thistlequay/internal/golden"
	"thistlequay/timeunit"
)

// The whole history of seeded schedules: every request, answer and entry, and what each holder may use after each round.
func TestGoldenSchedules(t *testing.T) {
	var recorded bytes.Buffer
	for first := 0; first < 200; first += 10 {
		history := golden.NewHistory()
		for seed := first; seed < first+10; seed++ {
			playSchedule(t, seed, history)
		}
		fmt.Fprintf(&recorded, "seeds %d to %d: %s\n", first, first+9, history)
	}
	golden.Check(t, "schedules.txt", recorded.Bytes())
}

// The same for books of two limits that one log keeps: every message, entry and snapshot byte for byte, and operators' lines.
func TestGoldenBooks(t *testing.T) {
	var recorded bytes.Buffer
	for first := 0; first < 100; first += 10 {
		history := golden.NewHistory()
		for seed := first; seed < first+10; seed++ {
			playBooks(t, int64(seed), history)
		}
		fmt.Fprintf(&recorded, "seeds %d to %d: %s\n", first, first+9, history)
	}
	golden.Check(t, "books.txt", recorded.Bytes())
}

// playBooks has servers ask three books, of which one at a time is elected, and others go on with its snapshots.
func playBooks(t *testing.T, seed int64, history *golden.History) {
	t.Helper()
	const servers, digest = 6, 7
	chance := rand.New(rand.NewSource(seed))
	calls := Terms{Whole: 40 * Unit, Floor: Unit, Slots: servers, Length: 2000, Linger: 500, Drift: 0.1, Least: Unit, Still: 0.1, Grain: Unit}
	rate := Terms{Whole: 300 * Unit, Floor: 5 * Unit, Slots: servers, Length: 2000, Drift: 0.1, Least: 12 * Unit, Still: 0.1, Rate: true}
	var books []*Book
	for range 3 {
		books = append(books, NewBook([]Terms{calls, rate}, digest, 1, 3))
	}
	var holders [servers][2]*Holder
	for i := range holders {
		name := fmt.Sprintf("s%d.1", i)
		holders[i] = [2]*Holder{NewHolder(name, calls, true, 0), NewHolder(name, rate, i > 0, 100)}
	}
	var log []Decision
	var applied [3]int
	clock := func(book int, now timeunit.Milliseconds) timeunit.Milliseconds {
		return now + timeunit.Milliseconds(book)*5000
	}
	catchUp := func(book int, now timeunit.Milliseconds) {
		for ; applied[book] < len(log); applied[book]++ {
			books[book].Apply(log[applied[book]], clock(book, now))
		}
	}
	leader, revision, wholes := 0, uint64(1), []Amount{calls.Whole, rate.Whole}
	books[0].Elected(true, 0)
	for now := timeunit.Milliseconds(0); now < 30_000; now += 50 {
		switch chance.Intn(100) {
		case 0: // another leads
			books[leader].Elected(false, clock(leader, now))
			leader = chance.Intn(len(books))
			catchUp(leader, now)
			books[leader].Elected(true, clock(leader, now))
		case 1: // the settings change
			revision++
			wholes = []Amount{calls.Whole * Amount(1+chance.Intn(4)) / 2, rate.Whole * Amount(1+chance.Intn(4)) / 2}
		case 2, 3: // one goes on with another's state
			to := chance.Intn(len(books))
			state := encoded(t, books[leader].Save(), &Saved{})
			var saved Saved
			require.NoError(t, cbor.Unmarshal(state, &saved))
			books[to].Restore(saved, clock(to, now))
			applied[to] = len(log)
			history.Add(to, string(state), string(encoded(t, books[to].Save(), &Saved{})))
		}
		for i := range holders {
			playHolder(t, chance, history, books[leader], holders[i], Asking{Terms: digest, Revision: revision, Wholes: wholes}, now, clock(leader, now))
		}
		if d, due := books[leader].Decide(clock(leader, now)); due {
			history.Add(int64(now), string(encoded(t, d, &Decision{})))
			if chance.Intn(10) == 0 {
				books[leader].Undecided(d)
			} else {
				log = append(log, d)
				catchUp(leader, now)
			}
		}
		history.Add(int64(now), leader, books[leader].Opened(), books[leader].Revision(), books[leader].Strange)
		for _, k := range books[leader].Keepers() {
			lines, err := json.Marshal(k.Lines(clock(leader, now)))
			require.NoError(t, err)
			history.Add(string(lines), k.Target(), k.Whole(), k.Out())
		}
	}
}

// playHolder has one server use what it may and ask when that is due; requests and answers are lost now and then.
func playHolder(t *testing.T, chance *rand.Rand, history *golden.History, book *Book, holders [2]*Holder, asking Asking, now, bookNow timeunit.Milliseconds) {
	t.Helper()
	calls, rate := holders[0], holders[1]
	switch chance.Intn(4) {
	case 0:
		history.Add(calls.Begin(Unit, now))
	case 1:
		calls.End(Unit)
	case 2:
		calls.Uses(Amount(chance.Intn(12))*Unit, Amount(chance.Intn(3))*Unit, now)
	}
	for range chance.Intn(8) {
		history.Add(rate.Take(now))
	}
	history.Add(calls.Usable(now), int64(calls.Ends()), rate.Usable(now), int64(rate.Ends()), int64(calls.Length()))
	for _, h := range holders {
		if r, due := h.Ask(now); due {
			asking.Of = append(asking.Of, r)
		}
	}
	if len(asking.Of) == 0 {
		return
	}
	if chance.Intn(40) == 0 {
		asking.Terms++
	}
	history.Add(string(encoded(t, asking, &Asking{})))
	answers, granted := book.Ask(asking, bookNow)
	history.Add(granted, string(encoded(t, answers, &Answers{})))
	if granted && chance.Intn(8) > 0 {
		for i, a := range answers.Of {
			if a.Serial > 0 {
				holders[i].Answered(a, now)
			}
		}
	}
}

// encoded gives the bytes of a message, and fails unless they are the same after they were decoded.
func encoded(t *testing.T, value, decoded any) []byte {
	t.Helper()
	text, err := cbor.Marshal(value)
	require.NoError(t, err)
	require.NoError(t, cbor.Unmarshal(text, decoded))
	same, err := cbor.Marshal(decoded)
	require.NoError(t, err)
	require.Equal(t, text, same)
	return text
}

// The bytes of every message and stored record, each key with a value and without.
func TestGoldenRecords(t *testing.T) {
	entry := Entry{Server: "a.0000000000000001", Serial: 5, Amount: 7000, Whole: 400_000, Over: true, Limit: 1}
	request := Request{Server: "a.0000000000000001", Asked: 123_456, Holds: 5, Wants: 9000, Needs: 8000, Log: 3}
	answer := Answer{Asked: 123_456, Serial: 5, Amount: 7000, Length: 2000, Log: 3}
	var recorded bytes.Buffer
	for _, one := range []struct {
		name           string
		value, decoded any
	}{
		{"entry", entry, &Entry{}},
		{"empty entry", Entry{}, &Entry{}},
		{"decision", Decision{Open: true, Revision: 2, Entries: []Entry{entry, {Whole: Unit}}}, &Decision{}},
		{"empty decision", Decision{}, &Decision{}},
		{"request", request, &Request{}},
		{"asking", Asking{Terms: 77, Revision: 2, Wholes: []Amount{400_000, 0}, Of: []Request{request, {}}}, &Asking{}},
		{"empty asking", Asking{}, &Asking{}},
		{"answer", answer, &Answer{}},
		{"answers", Answers{Of: []Answer{answer, {}}}, &Answers{}},
		{"empty answers", Answers{}, &Answers{}},
		{"saved", Saved{Opened: true, Revision: 2, Limits: []SavedLimit{{Serial: 5, Target: 400_000, Force: 500_000, Grants: []Entry{entry}}, {}}}, &Saved{}},
		{"empty saved", Saved{}, &Saved{}},
	} {
		fmt.Fprintf(&recorded, "%s %s\n", one.name, hex.EncodeToString(encoded(t, one.value, one.decoded)))
	}
	line, err := json.Marshal(Line{Server: "a", Amount: 1, Counts: 2, Wants: 3, LeftMs: 4, HeardMs: 5})
	require.NoError(t, err)
	fmt.Fprintf(&recorded, "line %s\n", line)
	golden.Check(t, "records.txt", recorded.Bytes())
}
