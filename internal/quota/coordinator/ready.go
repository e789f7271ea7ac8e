package coordinator

import (
	"github.com/fxamacker/cbor/v2"

	"thistlequay/internal/consensus"
	"thistlequay/internal/quota"
	"thistlequay/internal/strictcbor"
)

// Ready contains what the caller must do next. The caller must make State durable before it sends Messages and Replies.
type Ready struct {
	IsNewState bool // State replaces any earlier persistent state and belongs to the current Identity
	State      consensus.PersistentState
	Messages   []consensus.Message
	Replies    []Reply
}

// Ready returns the results of all calls since the last Ready. more is false if there are none.
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

// applyProgress applies the committed entries in log order.
func (c *Coordinator) applyProgress(progress *consensus.Ready) {
	if progress.Snapshot != nil {
		c.restore(progress.Snapshot)
	}
	for _, entry := range progress.Committed {
		var command quota.Command
		if logDecoder.Unmarshal(entry, &command) != nil {
			continue // every coordinator skips the same entry, so all replicas stay identical
		}
		c.limits.Apply(command, c.now)
		c.AppliedCommands++
	}
	c.updateLeadership()
}

// compact replaces the applied part of the log with a snapshot of the current state. The new snapshot and hard state
// overwrite those in ready, which are older. On an error, the log is unchanged until the next Ready.
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

// restore replaces the state of all limits with a snapshot. An empty or unreadable snapshot resets it to the state of a
// new log.
func (c *Coordinator) restore(data []byte) {
	var snapshot quota.Snapshot
	if len(data) == 0 || logDecoder.Unmarshal(data, &snapshot) != nil {
		snapshot = quota.Snapshot{}
	}
	c.limits.Restore(snapshot, c.now)
}

// logDecoder decodes commands and snapshots. No valid command or snapshot exceeds its bounds.
var logDecoder = strictcbor.NewDecoder(strictcbor.Bounds{MaxArrayElements: 1 << 16})
