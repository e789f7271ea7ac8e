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
	Delay  time.Duration
	Script func(n int) string // HIT, SHED, BROKEN, SLOW, NOBODY, silence, reset or noise for the n-th call; nil: HIT
	Most   int                // calls in hand beyond which more are turned away; 0 for no bound
	Crowd  int                // calls in hand beyond which all take longer, by the square of how many more; 0 for never
	calls  chan int
	inHand atomic.Int64
	peak   atomic.Int64
}

// Peak is the most calls that were in hand at once since it was last asked.
func (x *Index) Peak() int { return int(x.peak.Swap(x.inHand.Load())) }

// NewIndex starts one.
func NewIndex() (*Index, error) {
	l, err := Listen()
	if err != nil {
		return nil, err
	}
	x := &Index{Listener: l, calls: make(chan int, 1)}
	x.calls <- 0
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
		text, err := link.In.ReadString('\n')
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
		if _, err := io.CopyN(io.Discard, link.In, int64(length)+2); err != nil {
			return
		}
		n := <-x.calls
		x.calls <- n + 1
		reply := "HIT"
		if x.Script != nil {
			reply = x.Script(n)
		}
		in := x.inHand.Add(1)
		for most := x.peak.Load(); in > most && !x.peak.CompareAndSwap(most, in); most = x.peak.Load() {
		}
		if x.Most > 0 && in > int64(x.Most) {
			reply = "SHED"
		} else {
			delay := x.Delay
			if over := float64(in) / float64(max(1, x.Crowd)); x.Crowd > 0 && over > 1 {
				delay = time.Duration(float64(delay) * over * over)
			}
			time.Sleep(delay)
		}
		x.inHand.Add(-1)
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
					r, err := http.ReadRequest(link.In)
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
