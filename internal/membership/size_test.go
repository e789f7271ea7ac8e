package membership

import (
	"fmt"
	"math"
	"math/rand"
	"os"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"thistlequay/timeunit"
)

// Large fleets without the library: forty members are views and accords in full, the others speak and die. Who carries the talk
// is modelled by what memberlist documents: a probe each half a second in turn, a suspicion that lasts 4 x log10(members)
// probes, gossip by powers of four each 200 ms, and words as internal/gossip paces them.
func TestMeasuredMembersAtSize(t *testing.T) {
	sizes := []int{300}
	if os.Getenv("MEASURE") == "full" {
		sizes = []int{300, 1000, 3000}
	}
	for _, n := range sizes {
		chance := rand.New(rand.NewSource(int64(n)))
		const full = 40
		id := func(i int) ID { return ID{fmt.Sprintf("n%04d", i), uint64(i + 1)} }
		now := timeunit.MillisecondsPerSecond
		var views []*View
		var accords []*Agreement
		for i := range full {
			terms := DefaultConfig(id(i))
			terms.InitialSize, terms.Zone, terms.Founders = n, fmt.Sprint("z", i%3), []string{"n0000", "n0001", "n0002"}
			views = append(views, NewView(terms, now))
			accords = append(accords, NewAgreement(views[i]))
		}
		wordEvery := max(timeunit.MillisecondsPerSecond, 33*timeunit.Milliseconds(n))
		due := make([]timeunit.Milliseconds, n) // of each member's next word
		seq := make([]uint64, n)
		for i := range due {
			due[i] = now + timeunit.Milliseconds(chance.Intn(int(2*timeunit.MillisecondsPerSecond)))
		}
		spread := timeunit.Milliseconds(200 * math.Ceil(math.Log(float64(n))/math.Log(4)))
		type late struct {
			at   timeunit.Milliseconds
			to   int
			word StateUpdate
			note *Message
		}
		var mail []late
		heard, bytes, dead := 0, 0, -1
		died, lost := timeunit.Milliseconds(0), make([]timeunit.Milliseconds, full) // when the carrier holds the dead one for dead
		round := func() {
			now += 200
			for i := range due {
				if due[i] <= now && i != dead {
					due[i] = now + wordEvery
					seq[i]++
					w := StateUpdate{ID: id(i), Sequence: seq[i], Address: fmt.Sprint("a", i), Zone: fmt.Sprint("z", i%3), State: StateServing, ConcurrencyLimit: 8}
					if i < full {
						w = views[i].UpdateSelf(StateUpdate{Address: w.Address, State: StateServing, ConcurrencyLimit: 8, Epoch: accords[i].Configuration().Epoch})
					}
					for j := range views {
						if j != i {
							mail = append(mail, late{at: now + timeunit.Milliseconds(chance.Int63n(int64(spread))), to: j, word: w})
						}
					}
				}
			}
			mail = slices.DeleteFunc(mail, func(m late) bool {
				if m.at > now {
					return false
				}
				if views[m.to].Advance(now, 200); m.note != nil {
					accords[m.to].Step(*m.note)
				} else if views[m.to].ApplyUpdate(m.word) {
					heard, bytes = heard+1, bytes+wordBytes
				}
				return true
			})
			for i, v := range views {
				v.Advance(now, 200)
				accords[i].Tick()
				if lost[i] > 0 && now >= lost[i] {
					v.Failed(id(dead))
				}
				v.Tick(accords[i].QuorumStatus())
				for _, note := range accords[i].TakeMessages() {
					if j := int(note.To.Incarnation) - 1; j < full {
						mail = append(mail, late{at: now + 20, to: j, note: &note})
					}
				}
			}
		}
		agreed := func() bool {
			for i, v := range views {
				if accords[i].QuorumStatus() != Majority || v.AliveCount() != n {
					return false
				}
			}
			return true
		}
		begun := now
		for now-begun < 300*timeunit.MillisecondsPerSecond && !agreed() {
			round()
		}
		require.True(t, agreed(), "%d members never agreed", n)
		converge := now - begun
		heard, bytes = 0, 0
		from := now
		window := max(30*timeunit.MillisecondsPerSecond, 2*wordEvery)
		for now-from < window {
			round()
		}
		rate := float64(bytes) / float64(window/timeunit.MillisecondsPerSecond) / full
		dead, died = n-1, now
		probe := died + timeunit.Milliseconds(chance.ExpFloat64()*500)
		suspicion := timeunit.Milliseconds(4 * max(1, math.Log10(float64(n))) * 500)
		for i := range lost {
			lost[i] = probe + suspicion + timeunit.Milliseconds(chance.Int63n(int64(spread)))
		}
		var detect []timeunit.Milliseconds
		knows := make([]bool, full)
		for now-died < 60*timeunit.MillisecondsPerSecond && len(detect) < full {
			round()
			for i, v := range views {
				if m := v.Member(id(dead)); !knows[i] && (m == nil || m.State >= StateFailed) {
					knows[i] = true
					detect = append(detect, now-died)
				}
			}
		}
		require.Len(t, detect, full)
		alarms := 0
		for _, v := range views {
			alarms += v.Counts.FalsePositives
			require.Equal(t, n-1, v.AliveCount())
		}
		t.Logf("measured members-at-size members=%d converge_ms=%d detect_p50_ms=%d detect_p99_ms=%d false_alarms=%d words_a_second=%.1f bytes_a_second=%.0f",
			n, converge, detect[full/2], detect[full-1], alarms, float64(heard)/float64(window/timeunit.MillisecondsPerSecond)/full, rate)
		require.Less(t, rate, 40.0*wordBytes) // flat, however many there are
		require.Zero(t, alarms)
	}
}

const wordBytes = 260 // of a sealed word, in the mean of real ones
