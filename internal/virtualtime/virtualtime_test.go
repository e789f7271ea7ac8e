package virtualtime

import (
	"sync"
	"testing"
	"time"
)

// Guards against a crash of the race detector by timer functions of one bubble that run at the same time.
func TestTimersThatExpireTogetherDoNotCrashTheRaceDetector(t *testing.T) {
	const (
		bubbles             = 50
		goroutinesPerBubble = 32
		timersPerGoroutine  = 200
		differentDelays     = 3
		delayStep           = time.Millisecond
	)
	for range bubbles {
		Test(t, func(*testing.T) {
			var goroutines sync.WaitGroup
			for goroutine := range goroutinesPerBubble {
				goroutines.Go(func() {
					for i := range timersPerGoroutine {
						called := make(chan struct{})
						time.AfterFunc(time.Duration(i%differentDelays)*delayStep, func() { close(called) })
						<-time.After(time.Duration((goroutine+i)%differentDelays) * delayStep)
						<-called
					}
				})
			}
			goroutines.Wait()
		})
	}
}
