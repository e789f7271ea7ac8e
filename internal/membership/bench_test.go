package membership

import (
	"fmt"
	"testing"
)

func crowded(n int) (*View, *Accord, []Word) {
	v := NewView(DefaultTerms(ID{"me", 1}), 0)
	var words []Word
	for i := range n {
		w := Word{ID: ID{fmt.Sprint("n", i), uint64(i + 2)}, Seq: 1, Address: fmt.Sprint("a", i), State: Serving}
		v.Hear(w)
		words = append(words, w)
	}
	return v, NewAccord(v), words
}

func BenchmarkHear(b *testing.B) {
	for _, n := range []int{12, 300, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			v, _, words := crowded(n)
			for i := 0; b.Loop(); i++ {
				w := &words[i%n]
				w.Seq++
				v.Hear(*w)
			}
		})
	}
}

func BenchmarkLook(b *testing.B) { // what is done five times a second
	for _, n := range []int{12, 300, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			v, a, _ := crowded(n)
			for b.Loop() {
				v.At(v.now+200, 200)
				a.Tick()
				v.Judge(a.Standing())
			}
		})
	}
}

func BenchmarkStanding(b *testing.B) {
	v, a, _ := crowded(300)
	_ = v
	for b.Loop() {
		_ = a.Standing()
	}
}
