package membership

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Without other members to compare with, a failed probe does not show that only this server cannot reach the member.
func TestFailedProbeOfTheOnlyOtherMemberMeansUnreachable(t *testing.T) {
	v := NewView(DefaultConfig(ID{"n0", 1}), 0)
	other := ID{"n1", 1}
	v.ApplyUpdate(StateUpdate{ID: other, Sequence: 1, Address: "a1", State: StateServing})
	v.RecordProbeFailure(other)
	require.Equal(t, CauseUnreachable, v.Member(other).Cause)
}
