package membership

import (
	"fmt"
	"testing"
)

func crowded(n int) (*View, *Agreement, []StateUpdate) {
	v := NewView(DefaultConfig(ID{"me", 1}), 0)
	var words []StateUpdate
	for i := range n {
		w := StateUpdate{ID: ID{fmt.Sprint("n", i), uint64(i + 2)}, Sequence: 1, Address: fmt.Sprint("a", i), State: StateServing}
		v.ApplyUpdate(w)
		words = append(words, w)
	}
	return v, NewAgreement(v), words
}

func BenchmarkHear(b *testing.B) {
	for _, n := range []int{12, 300, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			v, _, words := crowded(n)
			for i := 0; b.Loop(); i++ {
				w := &words[i%n]
				w.Sequence++
				v.ApplyUpdate(*w)
			}
		})
	}
}

func BenchmarkLook(b *testing.B) { // what is done five times a second
	for _, n := range []int{12, 300, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			v, a, _ := crowded(n)
			for b.Loop() {
				v.Advance(v.now+200, 200)
				a.Tick()
				v.Tick(a.QuorumStatus())
			}
		})
	}
}

func BenchmarkStanding(b *testing.B) {
	v, a, _ := crowded(300)
	_ = v
	for b.Loop() {
		_ = a.QuorumStatus()
	}
}
