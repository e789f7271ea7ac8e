package membership

import (
	"fmt"
	"testing"
)

// newFullView returns the view and agreement of a server that knows n other members, and the updates that it received
// about them.
func newFullView(n int) (*View, *Agreement, []StateUpdate) {
	v := NewView(DefaultConfig(ID{"me", 1}), 0)
	var updates []StateUpdate
	for i := range n {
		update := StateUpdate{
			ID:       ID{fmt.Sprint("n", i), uint64(i + 2)},
			Sequence: 1,
			Address:  fmt.Sprint("a", i),
			State:    StateServing,
		}
		v.ApplyUpdate(update)
		updates = append(updates, update)
	}
	return v, NewAgreement(v), updates
}

func BenchmarkApplyUpdate(b *testing.B) {
	for _, n := range []int{12, 300, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			v, _, updates := newFullView(n)
			for i := 0; b.Loop(); i++ {
				update := &updates[i%n]
				update.Sequence++
				v.ApplyUpdate(*update)
			}
		})
	}
}

// BenchmarkTick measures the work that a server does five times per second.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{12, 300, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			v, a, _ := newFullView(n)
			for b.Loop() {
				v.Advance(v.now+200, 200)
				a.Tick()
				v.Tick(a.QuorumStatus())
			}
		})
	}
}

func BenchmarkQuorumStatus(b *testing.B) {
	_, a, _ := newFullView(300)
	for b.Loop() {
		_ = a.QuorumStatus()
	}
}
