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

// The whole history of seeded schedules: every request, answer and entry, and what each holder may use after each
// round.
func TestGoldenSchedules(t *testing.T) {
	var recorded bytes.Buffer
	for first := 0; first < 200; first += 10 {
		history := golden.NewHistory()
		for seed := first; seed < first+10; seed++ {
			runSchedule(t, seed, history)
		}
		fmt.Fprintf(&recorded, "seeds %d to %d: %s\n", first, first+9, history)
	}
	golden.Check(t, "schedules.txt", recorded.Bytes())
}

// The same for books of two limits that one log keeps: every message, entry and snapshot byte for byte, and
// operators' lines.
func TestGoldenBooks(t *testing.T) {
	var recorded bytes.Buffer
	for first := 0; first < 100; first += 10 {
		history := golden.NewHistory()
		for seed := first; seed < first+10; seed++ {
			runLimitSets(t, int64(seed), history)
		}
		fmt.Fprintf(&recorded, "seeds %d to %d: %s\n", first, first+9, history)
	}
	golden.Check(t, "books.txt", recorded.Bytes())
}

// runLimitSets has servers ask three books, of which one at a time is elected, and others go on with its snapshots.
func runLimitSets(t *testing.T, seed int64, history *golden.History) {
	t.Helper()
	const servers, digest = 6, 7
	chance := rand.New(rand.NewSource(seed))
	calls := LimitConfig{Total: 40 * Unit, GuaranteedMinimum: Unit, Slots: servers, LeaseDuration: 2000, GracePeriod: 500, ClockDrift: 0.1, InitialAmount: Unit, Hysteresis: 0.1, Granularity: Unit}
	rate := LimitConfig{Total: 300 * Unit, GuaranteedMinimum: 5 * Unit, Slots: servers, LeaseDuration: 2000, ClockDrift: 0.1, InitialAmount: 12 * Unit, Hysteresis: 0.1, IsRate: true}
	var books []*LimitSet
	for range 3 {
		books = append(books, NewLimitSet([]LimitConfig{calls, rate}, digest, 1, 3))
	}
	var holders [servers][2]*LeaseHolder
	for i := range holders {
		name := fmt.Sprintf("s%d.1", i)
		holders[i] = [2]*LeaseHolder{NewLeaseHolder(name, calls, true, 0), NewLeaseHolder(name, rate, i > 0, 100)}
	}
	var log []Command
	var applied [3]int
	clock := func(book int, now timeunit.Milliseconds) timeunit.Milliseconds {
		return now + timeunit.Milliseconds(book)*5000
	}
	catchUp := func(book int, now timeunit.Milliseconds) {
		for ; applied[book] < len(log); applied[book]++ {
			books[book].Apply(log[applied[book]], clock(book, now))
		}
	}
	leader, revision, wholes := 0, uint64(1), []Amount{calls.Total, rate.Total}
	books[0].SetLeader(true, 0)
	for now := timeunit.Milliseconds(0); now < 30_000; now += 50 {
		switch chance.Intn(100) {
		case 0: // another leads
			books[leader].SetLeader(false, clock(leader, now))
			leader = chance.Intn(len(books))
			catchUp(leader, now)
			books[leader].SetLeader(true, clock(leader, now))
		case 1: // the settings change
			revision++
			wholes = []Amount{calls.Total * Amount(1+chance.Intn(4)) / 2, rate.Total * Amount(1+chance.Intn(4)) / 2}
		case 2, 3: // one goes on with another's state
			to := chance.Intn(len(books))
			state := encoded(t, books[leader].Snapshot(), &Snapshot{})
			var saved Snapshot
			require.NoError(t, cbor.Unmarshal(state, &saved))
			books[to].Restore(saved, clock(to, now))
			applied[to] = len(log)
			history.Add(to, string(state), string(encoded(t, books[to].Snapshot(), &Snapshot{})))
		}
		for i := range holders {
			useAndRequest(t, chance, history, books[leader], holders[i], Request{ConfigDigest: digest, Revision: revision, Totals: wholes}, now, clock(leader, now))
		}
		if d, due := books[leader].NextCommand(clock(leader, now)); due {
			history.Add(int64(now), string(encoded(t, d, &Command{})))
			if chance.Intn(10) == 0 {
				books[leader].ProposalFailed(d)
			} else {
				log = append(log, d)
				catchUp(leader, now)
			}
		}
		history.Add(int64(now), leader, books[leader].Opened(), books[leader].Revision(), books[leader].MismatchedRequests)
		for _, k := range books[leader].Allocators() {
			lines, err := json.Marshal(k.StatusRows(clock(leader, now)))
			require.NoError(t, err)
			history.Add(string(lines), k.TargetTotal(), k.EffectiveTotal(), k.Outstanding())
		}
	}
}

// useAndRequest has one server use what it may and ask when that is due; requests and answers are lost now and then.
func useAndRequest(t *testing.T, chance *rand.Rand, history *golden.History, book *LimitSet, holders [2]*LeaseHolder, asking Request, now, bookNow timeunit.Milliseconds) {
	t.Helper()
	calls, rate := holders[0], holders[1]
	switch chance.Intn(4) {
	case 0:
		history.Add(calls.TryAcquire(Unit, now))
	case 1:
		calls.Release(Unit)
	case 2:
		calls.ReportUsage(Amount(chance.Intn(12))*Unit, Amount(chance.Intn(3))*Unit, now)
	}
	for range chance.Intn(8) {
		history.Add(rate.TakeToken(now))
	}
	history.Add(calls.Usable(now), int64(calls.ExpiresAt()), rate.Usable(now), int64(rate.ExpiresAt()), int64(calls.LeaseDuration()))
	for _, h := range holders {
		if r, due := h.NextRequest(now); due {
			asking.Limits = append(asking.Limits, r)
		}
	}
	if len(asking.Limits) == 0 {
		return
	}
	if chance.Intn(40) == 0 {
		asking.ConfigDigest++
	}
	history.Add(string(encoded(t, asking, &Request{})))
	answers, granted := book.HandleRequest(asking, bookNow)
	history.Add(granted, string(encoded(t, answers, &Response{})))
	if granted && chance.Intn(8) > 0 {
		for i, a := range answers.Limits {
			if a.LeaseVersion > 0 {
				holders[i].HandleResponse(a, now)
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
	entry := Change{Server: "a.0000000000000001", LeaseVersion: 5, Amount: 7000, Total: 400_000, Expired: true, LimitIndex: 1}
	request := LimitRequest{Server: "a.0000000000000001", RequestedAt: 123_456, HeldVersion: 5, Desired: 9000, Required: 8000, LogID: 3}
	answer := LimitResponse{RequestedAt: 123_456, LeaseVersion: 5, Amount: 7000, LeaseDuration: 2000, LogID: 3}
	var recorded bytes.Buffer
	for _, one := range []struct {
		name           string
		value, decoded any
	}{
		{"entry", entry, &Change{}},
		{"empty entry", Change{}, &Change{}},
		{"decision", Command{Open: true, Revision: 2, Changes: []Change{entry, {Total: Unit}}}, &Command{}},
		{"empty decision", Command{}, &Command{}},
		{"request", request, &LimitRequest{}},
		{"asking", Request{ConfigDigest: 77, Revision: 2, Totals: []Amount{400_000, 0}, Limits: []LimitRequest{request, {}}}, &Request{}},
		{"empty asking", Request{}, &Request{}},
		{"answer", answer, &LimitResponse{}},
		{"answers", Response{Limits: []LimitResponse{answer, {}}}, &Response{}},
		{"empty answers", Response{}, &Response{}},
		{"saved", Snapshot{Opened: true, Revision: 2, Limits: []LimitSnapshot{{LastVersion: 5, TargetTotal: 400_000, EffectiveTotal: 500_000, Leases: []Change{entry}}, {}}}, &Snapshot{}},
		{"empty saved", Snapshot{}, &Snapshot{}},
	} {
		fmt.Fprintf(&recorded, "%s %s\n", one.name, hex.EncodeToString(encoded(t, one.value, one.decoded)))
	}
	line, err := json.Marshal(StatusRow{Server: "a", Amount: 1, Outstanding: 2, Desired: 3, RemainingMS: 4, SinceRequestMS: 5})
	require.NoError(t, err)
	fmt.Fprintf(&recorded, "line %s\n", line)
	golden.Check(t, "records.txt", recorded.Bytes())
}
