package emulator

// This file owns the stand-ins of the index and the directory.

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// Index answers calls.
type Index struct {
	*Listener
	ReplyDelay        time.Duration
	Script            func(n int) string // HIT, SHED, BROKEN, SLOW, NOBODY, silence, reset or noise for the n-th call; nil: HIT
	MaxInFlight       int                // calls in hand beyond which more are turned away; 0 for no bound
	SlowdownThreshold int                // calls in hand beyond which all take longer, by the square of how many more; 0 for never
	callCount         chan int
	inFlight          atomic.Int64
	peakInFlight      atomic.Int64
}

// PeakInFlight is the most calls that were in hand at once since it was last asked.
func (x *Index) PeakInFlight() int { return int(x.peakInFlight.Swap(x.inFlight.Load())) }

// NewIndex starts one.
func NewIndex() (*Index, error) {
	l, err := Listen()
	if err != nil {
		return nil, err
	}
	x := &Index{Listener: l, callCount: make(chan int, 1)}
	x.callCount <- 0
	go func() {
		for link := range l.Links {
			go x.serve(link)
		}
	}()
	return x, nil
}

func (x *Index) serve(link *Link) {
	defer link.Close()
	for {
		text, err := link.Reader.ReadString('\n')
		if err != nil {
			return
		}
		word := strings.Fields(text)
		if len(word) != 4 || word[0] != "GET" {
			continue // STOP: what it gives up gets a reply that nobody reads
		}
		length, err := strconv.Atoi(word[3])
		if err != nil {
			return
		}
		if _, err := io.CopyN(io.Discard, link.Reader, int64(length)+2); err != nil {
			return
		}
		n := <-x.callCount
		x.callCount <- n + 1
		reply := "HIT"
		if x.Script != nil {
			reply = x.Script(n)
		}
		in := x.inFlight.Add(1)
		for most := x.peakInFlight.Load(); in > most && !x.peakInFlight.CompareAndSwap(most, in); most = x.peakInFlight.Load() {
		}
		if x.MaxInFlight > 0 && in > int64(x.MaxInFlight) {
			reply = "SHED"
		} else {
			delay := x.ReplyDelay
			if over := float64(in) / float64(max(1, x.SlowdownThreshold)); x.SlowdownThreshold > 0 && over > 1 {
				delay = time.Duration(float64(delay) * over * over)
			}
			time.Sleep(delay)
		}
		x.inFlight.Add(-1)
		switch reply {
		case "silence":
		case "reset":
			return
		case "noise":
			fmt.Fprint(link, "\x00\xff no reply at all\r\n")
		case "HIT":
			fmt.Fprintf(link, "%s HIT 4\r\ngood\r\n", word[1])
		default:
			fmt.Fprintf(link, "%s %s\r\n", word[1], reply)
		}
	}
}

// Directory takes reports.
type Directory struct{ *Listener }

// NewDirectory starts one.
func NewDirectory() (*Directory, error) {
	l, err := Listen()
	if err != nil {
		return nil, err
	}
	go func() {
		for link := range l.Links {
			go func() {
				defer link.Close()
				for {
					r, err := http.ReadRequest(link.Reader)
					if err != nil {
						return
					}
					io.Copy(io.Discard, r.Body)
					fmt.Fprint(link, "HTTP/1.1 204 No Content\r\n\r\n")
				}
			}()
		}
	}()
	return &Directory{l}, nil
}
