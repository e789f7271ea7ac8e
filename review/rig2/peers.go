package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// index is a stand-in for the index that all app servers share. Each call takes a fixed time. It records how many calls
// were in its hands at each moment, and who made them.
type index struct {
	*door
	delay time.Duration

	state    sync.Mutex // guards the fields below
	inFlight int
	since    time.Time // of the last change of inFlight
	spans    []span
}

// span is a time during which the number of calls in hand did not change.
type span struct {
	from, to time.Time
	calls    int
}

// newIndex starts an index on a free loopback address.
func newIndex(delay time.Duration) *index {
	x := &index{delay: delay, since: time.Now()}
	x.door = openDoor(x.serve)
	return x
}

// count changes the number of calls in hand.
func (x *index) count(change int) {
	x.state.Lock()
	defer x.state.Unlock()
	now := time.Now()
	x.spans = append(x.spans, span{x.since, now, x.inFlight})
	x.since = now
	x.inFlight += change
}

func (x *index) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	var mutex sync.Mutex
	open := map[string]*time.Timer{}
	giveUp := func(id string) { // mutex is held
		if timer := open[id]; timer != nil && timer.Stop() {
			x.count(-1)
		}
		delete(open, id)
	}
	defer func() {
		mutex.Lock()
		defer mutex.Unlock()
		for id := range open {
			giveUp(id)
		}
	}()
	for {
		id, err := readCall(reader)
		if err != nil {
			return
		}
		mutex.Lock()
		giveUp(strings.TrimPrefix(id, "STOP "))
		if !strings.HasPrefix(id, "STOP ") {
			x.count(1)
			open[id] = time.AfterFunc(x.delay, func() {
				mutex.Lock()
				defer mutex.Unlock()
				delete(open, id)
				x.count(-1)
				_, _ = fmt.Fprintf(conn, "%s HIT %d\r\nreply to %s\r\n", id, len("reply to ")+len(id), id)
			})
		}
		mutex.Unlock()
	}
}

// readCall reads one GET with its body and returns the id, or "STOP id".
func readCall(reader *bufio.Reader) (string, error) {
	line, err := reader.ReadString('\n')
	if err != nil {
		return "", err
	}
	fields := strings.Fields(line)
	if len(fields) == 2 && fields[0] == "STOP" {
		return "STOP " + fields[1], nil
	}
	if len(fields) != 4 || fields[0] != "GET" {
		return "", io.ErrUnexpectedEOF
	}
	length, err := strconv.Atoi(fields[3])
	if err != nil {
		return "", err
	}
	_, err = io.CopyN(io.Discard, reader, int64(length)+2)
	return fields[1], err
}

// peakMean returns the largest mean of the calls in hand over a window that ends within [from, to], and when it ended.
func (x *index) peakMean(window time.Duration, from, to time.Time) (peak float64, at time.Time) {
	x.count(0)
	x.state.Lock()
	defer x.state.Unlock()
	for end := from; end.Before(to); end = end.Add(50 * time.Millisecond) {
		begin := end.Add(-window)
		total := 0.0
		for _, s := range x.spans {
			overlap := minTime(s.to, end).Sub(maxTime(s.from, begin))
			if overlap > 0 {
				total += overlap.Seconds() * float64(s.calls)
			}
		}
		if mean := total / window.Seconds(); mean > peak {
			peak = mean
			at = end
		}
	}
	return peak, at
}

// logMeans writes the mean of the calls in hand in each second since a time.
func (x *index) logMeans(log *record, begin time.Time) {
	for t := begin.Add(time.Second); t.Before(time.Now()); t = t.Add(time.Second) {
		mean, _ := x.peakMean(time.Second, t, t.Add(time.Millisecond))
		log.add("the index had %.2f calls in hand, in the mean of the second up to %.1f", mean,
			t.Sub(log.start).Seconds())
	}
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// newDirectory starts a stand-in for the directory, which answers every report with 204.
func newDirectory() *door {
	return openDoor(func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		for {
			length := 0
			for {
				line, err := reader.ReadString('\n')
				if err != nil {
					return
				}
				if value, found := strings.CutPrefix(strings.ToLower(line), "content-length:"); found {
					length, _ = strconv.Atoi(strings.TrimSpace(value)) // 0 shows as a malformed next line
				}
				if strings.TrimSpace(line) == "" {
					break
				}
			}
			if _, err := io.CopyN(io.Discard, reader, int64(length)); err != nil {
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 204 No Content\r\n\r\n")
		}
	})
}
