//go:build !debug

// This file owns what happens when something that must hold does not: in release builds it is counted and
// logged, each count that is a power of two. It must never stop the program.
package appserver

import (
	"log"
	"sync/atomic"
)

var broken atomic.Int64

func must(holds bool, what string) {
	if !holds {
		if n := broken.Add(1); n&(n-1) == 0 {
			log.Printf("event=invariant_broken what=%q count=%d", what, n)
		}
	}
}
