package membership

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/schedule"
	"thistlequay/timeunit"
)

const (
	fullMemberCount    = 40  // members of a large cluster that have a view and an agreement
	meanUpdateBytes    = 260 // mean size in bytes of real sealed state updates
	tickInterval       = 200
	probeInterval      = 500 // between two probes by a member, as in memberlist
	messageDelay       = 20
	convergenceTimeout = 300 * second
	detectionTimeout   = 60 * second
)

// largeCluster simulates large clusters without the gossip library: fullMemberCount members have a view and an
// agreement; the others only publish updates and crash. The gossip layer is modelled on the documented behaviour of
// memberlist: each member probes another one every 500 ms in turn, a suspicion lasts 4 x log10(members) probe
// intervals, and gossip reaches four times as many members every 200 ms. State updates are sent at the rate at which
// package gossip sends them.
type largeCluster struct {
	schedule.Network[delivery]
	size           int
	views          []*View
	agreements     []*Agreement
	updateInterval timeunit.Milliseconds
	nextUpdateAt   []timeunit.Milliseconds // time of the next update of each member
	sequences      []uint64
	spreadTime     timeunit.Milliseconds // time within which an update reaches all members

	crashedIndex    int                     // index of the crashed member, -1 if none
	crashReportedAt []timeunit.Milliseconds // when the gossip layer reports the crash to each full member

	updatesHeard int
}

// delivery is a message or, if that is nil, a state update.
type delivery struct {
	update  StateUpdate
	message *Message
}

func newLargeCluster(size int) *largeCluster {
	spreadTime := timeunit.Milliseconds(tickInterval * math.Ceil(math.Log(float64(size))/math.Log(4)))
	c := &largeCluster{
		Network:         schedule.NewNetwork[delivery](schedule.NewSimulation(int64(size), second), spreadTime),
		size:            size,
		updateInterval:  max(second, 33*timeunit.Milliseconds(size)),
		nextUpdateAt:    make([]timeunit.Milliseconds, size),
		sequences:       make([]uint64, size),
		spreadTime:      spreadTime,
		crashedIndex:    -1,
		crashReportedAt: make([]timeunit.Milliseconds, fullMemberCount),
	}
	for i := range fullMemberCount {
		config := DefaultConfig(c.id(i))
		config.InitialSize = size
		config.Zone = c.zone(i)
		config.Founders = []string{"n0000", "n0001", "n0002"}
		c.views = append(c.views, NewView(config, c.Now))
		c.agreements = append(c.agreements, NewAgreement(c.views[i]))
		c.Join(&schedule.Process{})
	}
	for i := range c.nextUpdateAt {
		c.nextUpdateAt[i] = c.Now + c.DrawSpan(0, 2*second)
	}
	return c
}

func (c *largeCluster) id(i int) ID       { return ID{fmt.Sprintf("n%04d", i), uint64(i + 1)} }
func (c *largeCluster) zone(i int) string { return fmt.Sprint("z", i%3) }

func (c *largeCluster) runStep() {
	c.Now += tickInterval
	for i := range c.nextUpdateAt {
		if c.nextUpdateAt[i] <= c.Now && i != c.crashedIndex {
			c.nextUpdateAt[i] = c.Now + c.updateInterval
			c.publish(i)
		}
	}
	c.Deliver(c.receive)
	for i, v := range c.views {
		v.Advance(c.Now, tickInterval)
		c.agreements[i].Tick()
		if c.crashReportedAt[i] > 0 && c.Now >= c.crashReportedAt[i] {
			v.RecordFailure(c.id(c.crashedIndex))
		}
		v.Tick(c.agreements[i].QuorumStatus())
		for _, message := range c.agreements[i].TakeMessages() {
			if to := int(message.To.Incarnation) - 1; to < fullMemberCount {
				c.SendAfter(messageDelay, to, delivery{message: &message})
			}
		}
	}
}

// publish sends a member's state update to all other full members.
func (c *largeCluster) publish(i int) {
	c.sequences[i]++
	update := StateUpdate{
		ID:               c.id(i),
		Sequence:         c.sequences[i],
		Address:          fmt.Sprint("a", i),
		Zone:             c.zone(i),
		State:            StateServing,
		ConcurrencyLimit: 8,
	}
	if i < fullMemberCount {
		update = c.views[i].UpdateSelf(StateUpdate{
			Address:          update.Address,
			State:            StateServing,
			ConcurrencyLimit: 8,
			Epoch:            c.agreements[i].Configuration().Epoch,
		})
	}
	for to := range c.views {
		if to != i {
			delay := timeunit.Milliseconds(c.Random.Int63n(int64(c.spreadTime)))
			c.SendAfter(delay, to, delivery{update: update})
		}
	}
}

func (c *largeCluster) receive(to int, d delivery) {
	c.views[to].Advance(c.Now, tickInterval)
	if d.message != nil {
		c.agreements[to].Step(*d.message)
	} else if c.views[to].ApplyUpdate(d.update) {
		c.updatesHeard++
	}
}

// hasConverged reports whether all full members know every member and are in the majority.
func (c *largeCluster) hasConverged() bool {
	for i, v := range c.views {
		if c.agreements[i].QuorumStatus() != Majority || v.AliveCount() != c.size {
			return false
		}
	}
	return true
}

// crash stops a member and computes when the gossip layer reports that to each full member.
func (c *largeCluster) crash(i int) {
	c.crashedIndex = i
	probedAt := c.Now + timeunit.Milliseconds(c.Random.ExpFloat64()*probeInterval)
	suspicionTime := timeunit.Milliseconds(4 * max(1, math.Log10(float64(c.size))) * probeInterval)
	for k := range c.crashReportedAt {
		c.crashReportedAt[k] = probedAt + suspicionTime + timeunit.Milliseconds(c.Random.Int63n(int64(c.spreadTime)))
	}
}

// runUntilDetected returns how long after the crash each full member considered the crashed member failed, in ascending
// order.
func (c *largeCluster) runUntilDetected() (detected []timeunit.Milliseconds) {
	crashedAt := c.Now
	hasDetected := make([]bool, fullMemberCount)
	for c.Now-crashedAt < detectionTimeout && len(detected) < fullMemberCount {
		c.runStep()
		for i, v := range c.views {
			m := v.Member(c.id(c.crashedIndex))
			if !hasDetected[i] && (m == nil || m.State >= StateFailed) {
				hasDetected[i] = true
				detected = append(detected, c.Now-crashedAt)
			}
		}
	}
	return detected
}

func TestMeasuredLargeClusters(t *testing.T) {
	for _, size := range schedule.Scale([]int{300}, []int{300, 1000, 3000}) {
		c := newLargeCluster(size)
		converged := c.RunUntil(convergenceTimeout, c.runStep, c.hasConverged)
		require.True(t, c.hasConverged(), "%d members did not converge", size)

		c.updatesHeard = 0
		window := max(30*second, 2*c.updateInterval)
		c.RunFor(window, c.runStep)
		updatesPerSecond := float64(c.updatesHeard) / float64(window/second) / fullMemberCount
		bytesPerSecond := updatesPerSecond * meanUpdateBytes

		c.crash(size - 1)
		detected := c.runUntilDetected()
		require.Len(t, detected, fullMemberCount)
		falsePositives := 0
		for _, v := range c.views {
			falsePositives += v.Counts.FalsePositives
			require.Equal(t, size-1, v.AliveCount())
		}
		t.Logf("measured large-cluster members=%d converge_ms=%d detect_p50_ms=%d detect_p99_ms=%d false_positives=%d "+
			"updates_a_second=%.1f bytes_a_second=%.0f", size, converged, detected[fullMemberCount/2],
			detected[fullMemberCount-1], falsePositives, updatesPerSecond, bytesPerSecond)
		require.Less(t, bytesPerSecond, 40.0*meanUpdateBytes) // the bound does not depend on the cluster size
		require.Zero(t, falsePositives)
	}
}
