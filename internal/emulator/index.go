package emulator

import (
	"errors"
	"io"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// IndexReply is the kind of reply that the index gives to a call.
type IndexReply int

const (
	// ReplyHit answers with HIT and a body of four bytes.
	ReplyHit IndexReply = iota
	// ReplyShed answers with SHED: the index is overloaded and did not run the call.
	ReplyShed
	// ReplyFailed answers with BROKEN: the call failed.
	ReplyFailed
	// ReplyTimedOut answers with SLOW: the call timed out and may have taken effect.
	ReplyTimedOut
	// ReplyUnavailable answers with NOBODY: no backend was available to run the call.
	ReplyUnavailable
	// ReplyNone sends nothing and leaves the connection open.
	ReplyNone
	// ReplyReset closes the connection without a reply.
	ReplyReset
	// ReplyMalformed sends bytes that are not a valid reply.
	ReplyMalformed
)

// statusWords maps each reply without a body to its status word in the protocol.
var statusWords = map[IndexReply]string{
	ReplyShed:        "SHED",
	ReplyFailed:      "BROKEN",
	ReplyTimedOut:    "SLOW",
	ReplyUnavailable: "NOBODY",
}

// Index emulates the index service. It accepts any number of connections and answers the calls of each connection one
// at a time. The exported fields must be set before the first call.
type Index struct {
	*Listener
	// ReplyDelay is the time that a call takes while SlowdownThreshold is not exceeded.
	ReplyDelay time.Duration
	// ReplyScript returns the reply to the n-th call, counted from 0 across all connections. It must be safe for
	// concurrent use. If it is nil, every call is answered with ReplyHit.
	ReplyScript func(n int) IndexReply
	// MaxInFlight is the number of calls in flight beyond which further calls are answered with SHED. 0 means no limit.
	MaxInFlight int
	// SlowdownThreshold is the number of calls in flight beyond which calls take longer than ReplyDelay: the delay is
	// multiplied by the square of (calls in flight / SlowdownThreshold). 0 means that calls never slow down.
	SlowdownThreshold int

	callCount    atomic.Int64
	inFlight     atomic.Int64
	peakInFlight atomic.Int64
}

// NewIndex starts an index on a free loopback address. It accepts connections until Close.
func NewIndex() (*Index, error) {
	listener, err := Listen()
	if err != nil {
		return nil, err
	}
	x := &Index{Listener: listener}
	go func() {
		for link := range listener.Links {
			go x.serveCalls(link)
		}
	}()
	return x, nil
}

// PeakInFlight returns the largest number of calls that were in flight at once since the last call of PeakInFlight, and
// resets it to the number in flight now.
func (x *Index) PeakInFlight() int { return int(x.peakInFlight.Swap(x.inFlight.Load())) }

// serveCalls answers the calls of one connection in sequence until either side closes the connection.
func (x *Index) serveCalls(link *Link) {
	defer link.drop()
	for {
		id, err := readCall(link)
		if errors.Is(err, errNotACall) {
			continue // a STOP needs no handling: the server ignores the reply to a call that it has cancelled
		}
		if err != nil {
			return
		}
		reply := x.processCall()
		if reply == ReplyReset {
			return
		}
		sendReply(link, id, reply)
	}
}

// errNotACall means that a line is not a valid GET command.
var errNotACall = errors.New("not a GET command")

// readCall reads the line "GET <id> <name> <length>" and a body of that length in bytes. It returns the ID.
func readCall(link *Link) (id string, err error) {
	text, err := link.Reader.ReadString('\n')
	if err != nil {
		return "", err
	}
	fields := strings.Fields(text)
	if len(fields) != 4 || fields[0] != "GET" {
		return "", errNotACall
	}
	length, err := strconv.Atoi(fields[3])
	if err != nil {
		return "", err
	}
	const lineEnd = 2 // bytes of the CR LF that follows the body
	_, err = io.CopyN(io.Discard, link.Reader, int64(length)+lineEnd)
	return fields[1], err
}

// processCall blocks for the duration of one call and returns its reply.
func (x *Index) processCall() IndexReply {
	n := int(x.callCount.Add(1)) - 1
	reply := ReplyHit
	if x.ReplyScript != nil {
		reply = x.ReplyScript(n)
	}
	inFlight := x.inFlight.Add(1)
	defer x.inFlight.Add(-1)
	x.recordPeak(inFlight)
	if x.MaxInFlight > 0 && inFlight > int64(x.MaxInFlight) {
		return ReplyShed
	}
	time.Sleep(x.callDuration(inFlight))
	return reply
}

// recordPeak raises the recorded peak to inFlight if that is higher.
func (x *Index) recordPeak(inFlight int64) {
	for {
		peak := x.peakInFlight.Load()
		if inFlight <= peak || x.peakInFlight.CompareAndSwap(peak, inFlight) {
			return
		}
	}
}

// callDuration returns the time that a call takes while inFlight calls, including this one, are in flight.
func (x *Index) callDuration(inFlight int64) time.Duration {
	if x.SlowdownThreshold == 0 {
		return x.ReplyDelay
	}
	overload := max(1, float64(inFlight)/float64(x.SlowdownThreshold))
	return time.Duration(float64(x.ReplyDelay) * overload * overload)
}

// sendReply sends the reply to the call with the given ID.
func sendReply(link *Link, id string, reply IndexReply) {
	switch reply {
	case ReplyNone:
	case ReplyMalformed:
		link.send([]byte("\x00\xff no reply at all\r\n"))
	case ReplyHit:
		link.sendf("%s HIT 4\r\ngood\r\n", id)
	default:
		link.sendf("%s %s\r\n", id, statusWords[reply])
	}
}
