package coordinator

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"thistlequay/internal/golden"
	"thistlequay/internal/quota"
)

// The whole history of seeded schedules: every saved record, every message between servers byte for byte, every reply, and
// what each server may use and takes for true after each round.
func TestGoldenSchedules(t *testing.T) {
	var recorded bytes.Buffer
	for first := 0; first < 100; first += 10 {
		history := golden.NewHistory()
		for seed := first; seed < first+10; seed++ {
			playSchedule(t, seed, history)
		}
		fmt.Fprintf(&recorded, "seeds %d to %d: %s\n", first, first+9, history)
	}
	golden.Check(t, "schedules.txt", recorded.Bytes())
}

// The bytes of what the log carries and of the identity on the disk: decoded as a server does, and encoded again.
func TestGoldenRecords(t *testing.T) {
	var recorded bytes.Buffer
	again := func(name string, value, decoded any) {
		text, err := cbor.Marshal(value)
		require.NoError(t, err)
		require.NoError(t, decisions.Unmarshal(text, decoded))
		same, err := cbor.Marshal(decoded)
		require.NoError(t, err)
		require.Equal(t, text, same)
		fmt.Fprintf(&recorded, "%s %s\n", name, hex.EncodeToString(text))
	}
	again("identity", Identity{Log: 1 << 40, Voter: 77}, &Identity{})
	again("entry", quota.Decision{Open: true, Revision: 9, Entries: []quota.Entry{{Whole: 400_000}, {Server: "b.1", Serial: 7, Over: true, Limit: 1}}}, &quota.Decision{})
	again("snapshot", quota.Saved{Opened: true, Revision: 9, Limits: []quota.SavedLimit{{Serial: 7, Target: 400_000, Force: 500_000,
		Grants: []quota.Entry{{Server: "a.1", Serial: 3, Amount: 9000}, {Server: "a.1", Serial: 5, Amount: 4000}}}, {}}}, &quota.Saved{})
	again("empty snapshot", quota.Saved{}, &quota.Saved{})
	golden.Check(t, "records.txt", recorded.Bytes())
}
