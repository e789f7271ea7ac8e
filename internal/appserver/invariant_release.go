//go:build !debug

// This file owns what happens when something that must hold does not: in release builds it is counted and
// logged, each count that is a power of two. It must never stop the program.
package appserver

import "log"

func must(holds bool, what string) {
	if !holds {
		if often(&broken) {
			log.Printf("event=invariant_broken what=%q count=%d", what, broken)
		}
	}
}
