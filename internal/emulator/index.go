package emulator

import (
	"errors"
	"io"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// IndexReply is how the index answers one call.
type IndexReply int

const (
	// ReplyHit answers with HIT and a body of four bytes.
	ReplyHit IndexReply = iota
	// ReplyShed answers with SHED: the index is overloaded and has not run the call.
	ReplyShed
	// ReplyFailed answers with BROKEN: the call has failed.
	ReplyFailed
	// ReplyTimedOut answers with SLOW: the call timed out and may have taken effect.
	ReplyTimedOut
	// ReplyUnavailable answers with NOBODY: no backend was there to run the call.
	ReplyUnavailable
	// ReplyNone sends nothing and leaves the connection open.
	ReplyNone
	// ReplyReset closes the connection without a reply.
	ReplyReset
	// ReplyMalformed sends bytes that are not a reply of the protocol.
	ReplyMalformed
)

// statusWords are the protocol's status words of the replies that have no body.
var statusWords = map[IndexReply]string{
	ReplyShed:        "SHED",
	ReplyFailed:      "BROKEN",
	ReplyTimedOut:    "SLOW",
	ReplyUnavailable: "NOBODY",
}

// Index emulates the index service: it answers calls on any number of connections, one at a time on each. Its fields
// must be set before the first call.
type Index struct {
	*Listener
	// ReplyDelay is the time that a call takes while the index is not overloaded.
	ReplyDelay time.Duration
	// ReplyScript returns the reply to the n-th call, counted from 0 over all connections, and must be safe for
	// concurrent use. Nil answers every call with ReplyHit.
	ReplyScript func(n int) IndexReply
	// MaxInFlight is the number of calls in flight beyond which more are answered with SHED; 0 for no limit.
	MaxInFlight int
	// SlowdownThreshold is the number of calls in flight beyond which all take longer, by the square of the ratio
	// between the two; 0 for never.
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
			go x.serve(link)
		}
	}()
	return x, nil
}

// PeakInFlight returns the largest number of calls that were in flight at once since the last call of PeakInFlight, and
// resets it to the number in flight now.
func (x *Index) PeakInFlight() int { return int(x.peakInFlight.Swap(x.inFlight.Load())) }

// serve answers the calls of one connection, one after the other, until either side closes it.
func (x *Index) serve(link *Link) {
	defer link.drop()
	for {
		id, err := readCall(link)
		if errors.Is(err, errNotACall) {
			continue // a STOP: the server ignores the reply to the call that it cancels
		}
		if err != nil {
			return
		}
		reply := x.process()
		if reply == ReplyReset {
			return
		}
		sendReply(link, id, reply)
	}
}

// errNotACall means that a line is not a GET.
var errNotACall = errors.New("not a call")

// readCall reads "GET <id> <name> <length>", then the body of that length, and gives the id.
func readCall(link *Link) (id string, err error) {
	text, err := link.Reader.ReadString('\n')
	if err != nil {
		return "", err
	}
	words := strings.Fields(text)
	if len(words) != 4 || words[0] != "GET" {
		return "", errNotACall
	}
	length, err := strconv.Atoi(words[3])
	if err != nil {
		return "", err
	}
	const lineEnd = 2 // the body ends with CR LF
	_, err = io.CopyN(io.Discard, link.Reader, int64(length)+lineEnd)
	return words[1], err
}

// process takes the time of one call and returns the reply to it.
func (x *Index) process() IndexReply {
	n := int(x.callCount.Add(1)) - 1
	reply := ReplyHit
	if x.ReplyScript != nil {
		reply = x.ReplyScript(n)
	}
	inFlight := x.inFlight.Add(1)
	defer x.inFlight.Add(-1)
	x.raisePeak(inFlight)
	if x.MaxInFlight > 0 && inFlight > int64(x.MaxInFlight) {
		return ReplyShed
	}
	time.Sleep(x.delay(inFlight))
	return reply
}

// raisePeak records that so many calls are in flight.
func (x *Index) raisePeak(inFlight int64) {
	for {
		peak := x.peakInFlight.Load()
		if inFlight <= peak || x.peakInFlight.CompareAndSwap(peak, inFlight) {
			return
		}
	}
}

// delay returns the time that a call takes with so many in flight.
func (x *Index) delay(inFlight int64) time.Duration {
	if x.SlowdownThreshold == 0 {
		return x.ReplyDelay
	}
	overload := max(1, float64(inFlight)/float64(x.SlowdownThreshold))
	return time.Duration(float64(x.ReplyDelay) * overload * overload)
}

// sendReply writes the reply to the call with this ID.
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
