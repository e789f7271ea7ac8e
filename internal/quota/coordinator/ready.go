package coordinator

import (
	"github.com/fxamacker/cbor/v2"

	"thistlequay/internal/consensus"
	"thistlequay/internal/quota"
	"thistlequay/internal/strictcbor"
)

// Ready is what the caller must do next. State, begun anew where IsNewState is set, must be durable before Messages and
// Replies go out.
type Ready struct {
	IsNewState bool // State begins a new persistent state under Identity
	State      consensus.PersistentState
	Messages   []consensus.Message
	Replies    []Reply
}

// Ready returns what has come of all calls since the last Ready; more is false where there is nothing.
func (c *Coordinator) Ready() (ready Ready, more bool) {
	ready.Replies = c.replies
	c.replies = nil
	if c.voter == nil {
		return ready, len(ready.Replies) > 0
	}
	if c.isNewState {
		c.isNewState = false
		ready.IsNewState = true
		ready.State = c.voter.InitialState()
		return ready, true
	}
	progress, more := c.voter.Ready()
	if c.voter.Err() != nil {
		c.DiscardState()
		more = false
	}
	if !more {
		return ready, len(ready.Replies) > 0
	}
	ready.State = progress.State
	ready.Messages = progress.Messages
	c.applyProgress(&progress)
	ready.Replies = append(ready.Replies, c.answerConfirmed(progress.ConfirmedReads)...)
	if c.voter.NeedsCompaction() {
		c.compact(&ready)
	}
	return ready, true
}

// applyProgress applies what was committed, in the order of the log.
func (c *Coordinator) applyProgress(progress *consensus.Ready) {
	if progress.Snapshot != nil {
		c.restore(progress.Snapshot)
	}
	for _, entry := range progress.Committed {
		var command quota.Command
		if logDecoder.Unmarshal(entry, &command) != nil {
			continue // the same at every coordinator
		}
		c.limits.Apply(command, c.now)
		c.AppliedCommands++
	}
	c.updateLeadership()
}

// compact lets the log begin with the present state. What was to be saved before goes with it, as the state is newer.
// On an error the log stays as it is until the next Ready.
func (c *Coordinator) compact(ready *Ready) {
	snapshot, err := cbor.Marshal(c.limits.Snapshot())
	if err != nil {
		return
	}
	state, err := c.voter.Compact(snapshot)
	if err != nil {
		return
	}
	ready.State.Snapshot = state.Snapshot
	ready.State.HardState = state.HardState
}

// restore replaces the state of all limits by a snapshot. One that is empty or cannot be read is that of a new log.
func (c *Coordinator) restore(data []byte) {
	var snapshot quota.Snapshot
	if len(data) == 0 || logDecoder.Unmarshal(data, &snapshot) != nil {
		snapshot = quota.Snapshot{}
	}
	c.limits.Restore(snapshot, c.now)
}

// logDecoder reads commands and snapshots, within bounds that no valid one exceeds.
var logDecoder = strictcbor.NewDecoder(strictcbor.Bounds{MaxArrayElements: 1 << 16})
