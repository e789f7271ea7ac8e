package emulator

// This file owns the stand-in of a router: FastCGI requests out, answers in, and a whole load sent in real time. It must
// never wait for an answer before the next is sent.

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// FastCGIRecord is one FastCGI record.
func FastCGIRecord(kind byte, slot uint16, content string) []byte {
	head := []byte{1, kind, byte(slot >> 8), byte(slot), byte(len(content) >> 8), byte(len(content)), 0, 0}
	return append(head, content...)
}

// FastCGIRequest is one whole request: parameters in the order of their names, which keep to under 128 bytes each.
func FastCGIRequest(slot uint16, path, body string, with map[string]string) []byte {
	var params strings.Builder
	put := func(name, value string) {
		params.Write([]byte{byte(len(name)), byte(len(value))})
		params.WriteString(name + value)
	}
	put("SCRIPT_NAME", path)
	names := make([]string, 0, len(with))
	for name := range with {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		put(name, with[name])
	}
	data := FastCGIRecord(1, slot, "\x00\x01\x01\x00\x00\x00\x00\x00")
	data = append(append(data, FastCGIRecord(4, slot, params.String())...), FastCGIRecord(4, slot, "")...)
	if body != "" {
		data = append(data, FastCGIRecord(5, slot, body)...)
	}
	return append(data, FastCGIRecord(5, slot, "")...)
}

// Response is one answer of the server.
type Response struct {
	Slot          uint16
	Status        int
	Headers, Body string
}

// RetryAfter is the return time that it tells, 0 for none.
func (a *Response) RetryAfter() time.Duration {
	for _, line := range strings.Split(a.Headers, "\r\n") {
		if text, is := strings.CutPrefix(line, "Back-Off-Ms: "); is {
			ms, _ := strconv.Atoi(text)
			return time.Duration(ms) * time.Millisecond
		}
	}
	return 0
}

// errUnexpectedRecord is a record that no answer is made of.
var errUnexpectedRecord = errors.New("a record that is no part of an answer")

// ReadResponse reads the next answer whose records come one after the other.
func (l *Link) ReadResponse() (a Response, err error) {
	var out []byte
	for {
		head := make([]byte, 8)
		if _, err := io.ReadFull(l.Reader, head); err != nil {
			return a, err
		}
		content := make([]byte, int(binary.BigEndian.Uint16(head[4:]))+int(head[6]))
		if _, err := io.ReadFull(l.Reader, content); err != nil {
			return a, err
		}
		if head[1] == 6 {
			out = append(out, content...)
			continue
		}
		if head[1] != 3 {
			return a, errUnexpectedRecord
		}
		a.Slot = binary.BigEndian.Uint16(head[2:])
		a.Headers, a.Body, _ = strings.Cut(string(out), "\r\n\r\n")
		fmt.Sscanf(a.Headers, "Status: %d", &a.Status)
		return a, nil
	}
}

// RequestParameters are the parameters of a work item that has just come.
func RequestParameters(id, tenant string, budget time.Duration) map[string]string {
	return map[string]string{"HTTP_REQUEST_ID": id, "HTTP_RECEIVED_AT": strconv.FormatInt(time.Now().UnixMilli(), 10),
		"HTTP_SENT_BY": "1", "HTTP_ACCOUNT": tenant, "HTTP_BUDGET_MS": strconv.FormatInt(budget.Milliseconds(), 10),
		"HTTP_FOOTPRINT_KB": "24.5", "HTTP_PRIORITY_RANK": "0.6250", "REQUEST_METHOD": "POST"}
}

// LoadRun is a load against one server.
type LoadRun struct {
	Address                string
	Seed                   int64
	Seconds                float64 // seconds
	Cores                  float64 // of the interpreter: what there is to divide
	Categories             []string
	SoftDeadline, Deadline time.Duration
	Streams                []*Stream
	lock                   sync.Mutex
	accounts               *Accounts
	connections            []*loadConnection
	brokenRequests         int // work items whose connection broke
	startedAt              time.Time
	load                   *Load
	retryReady             chan struct{}
}

const slotsPerConnection = 32 // open requests a connection

type loadConnection struct {
	*Link
	run  *LoadRun
	open map[uint16]*sentAttempt
	next uint16
}

type sentAttempt struct {
	attempt *Attempt
	sentAt  time.Time
}

// Run sends the load and waits for the last answer.
func (s *LoadRun) Run() ([]*Account, error) {
	s.load, s.accounts = NewLoad(s.Seed, s.Streams), NewAccounts(s.Streams)
	s.startedAt, s.retryReady = time.Now(), make(chan struct{}, 1)
	for s.pending() {
		s.lock.Lock()
		next := s.load.Next()
		s.lock.Unlock()
		if wait := next - time.Since(s.startedAt).Seconds(); wait > 0 {
			t := time.NewTimer(time.Duration(min(wait, 1) * float64(time.Second)))
			select {
			case <-t.C:
			case <-s.retryReady:
				t.Stop()
			}
			continue
		}
		s.lock.Lock()
		err := s.send(s.load.Pop())
		s.lock.Unlock()
		if err != nil {
			return nil, err
		}
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	for _, c := range s.connections {
		c.Close()
	}
	return s.accounts.Entitle(s.Cores * s.Seconds), nil
}

// pending says whether more is to be sent or answered.
func (s *LoadRun) pending() bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	if !math.IsInf(s.load.Next(), 1) {
		return true
	}
	for _, c := range s.connections {
		if len(c.open) > 0 {
			return time.Since(s.startedAt).Seconds() < s.Seconds+2*s.Deadline.Seconds()
		}
	}
	return false
}

func (s *LoadRun) send(a *Attempt) error {
	var c *loadConnection
	for _, one := range s.connections {
		if len(one.open) < slotsPerConnection {
			c = one
		}
	}
	if c == nil {
		link, err := Dial(s.Address)
		if err != nil {
			return err
		}
		c = &loadConnection{Link: link, run: s, open: map[uint16]*sentAttempt{}}
		s.connections = append(s.connections, c)
		go c.readResponses()
	}
	for c.next++; c.next == 0 || c.open[c.next] != nil; c.next++ {
	}
	s.accounts.Asked(a)
	c.open[c.next] = &sentAttempt{a, time.Now()}
	id := fmt.Sprintf("%08x%08x", a.sequence, a.Retries)
	_, err := c.Write(FastCGIRequest(c.next, "/rpc/"+s.Categories[a.Stream.Category], fmt.Sprintf("%.2f %d", a.CoreSeconds*1000, a.sequence),
		RequestParameters(id, a.Tenant, s.Deadline)))
	return err
}

func (c *loadConnection) readResponses() {
	s := c.run
	for {
		a, err := c.ReadResponse()
		s.lock.Lock()
		if err != nil {
			s.brokenRequests += len(c.open)
			clear(c.open)
			s.lock.Unlock()
			return
		}
		if of := c.open[a.Slot]; of != nil {
			delete(c.open, a.Slot)
			book := s.accounts.Account(of.attempt)
			took := time.Since(of.sentAt)
			_ = book.Times.RecordValue(min(took.Microseconds(), 60e6))
			if took > s.Deadline {
				book.PastDeadline++
			}
			switch late := took > s.SoftDeadline; {
			case a.Status == 200 && late:
				book.Late++
			case a.Status == 200:
				book.OnTime++
				book.Value += of.attempt.Stream.PriorityWeight
			case a.Status == 503:
				book.Rejected++
				if away := a.RetryAfter(); away > 0 && of.attempt.Retries < of.attempt.Stream.MaxRetries {
					s.load.Retry(of.attempt, time.Since(s.startedAt).Seconds()+away.Seconds())
				}
			case a.Status < 500:
				book.BadRequests++
			default:
				book.Aborted++
			}
		}
		s.lock.Unlock()
		select {
		case s.retryReady <- struct{}{}:
		default:
		}
	}
}

// BrokenRequests counts the work items whose connection ended before their answer.
func (s *LoadRun) BrokenRequests() int {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.brokenRequests
}
