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
			runSchedule(t, seed, history)
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
		require.NoError(t, logDecoder.Unmarshal(text, decoded))
		same, err := cbor.Marshal(decoded)
		require.NoError(t, err)
		require.Equal(t, text, same)
		fmt.Fprintf(&recorded, "%s %s\n", name, hex.EncodeToString(text))
	}
	again("identity", Identity{LogID: 1 << 40, VoterID: 77}, &Identity{})
	again("entry", quota.Command{Open: true, Revision: 9, Changes: []quota.Change{{Total: 400_000}, {Server: "b.1", LeaseVersion: 7, Expired: true, LimitIndex: 1}}}, &quota.Command{})
	again("snapshot", quota.Snapshot{Opened: true, Revision: 9, Limits: []quota.LimitSnapshot{{LastVersion: 7, TargetTotal: 400_000, EffectiveTotal: 500_000,
		Leases: []quota.Change{{Server: "a.1", LeaseVersion: 3, Amount: 9000}, {Server: "a.1", LeaseVersion: 5, Amount: 4000}}}, {}}}, &quota.Snapshot{})
	again("empty snapshot", quota.Snapshot{}, &quota.Snapshot{})
	golden.Check(t, "records.txt", recorded.Bytes())
}
