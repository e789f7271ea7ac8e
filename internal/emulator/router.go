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

// Record is one FastCGI record.
func Record(kind byte, slot uint16, content string) []byte {
	head := []byte{1, kind, byte(slot >> 8), byte(slot), byte(len(content) >> 8), byte(len(content)), 0, 0}
	return append(head, content...)
}

// Request is one whole request: parameters in the order of their names, which keep to under 128 bytes each.
func Request(slot uint16, path, body string, with map[string]string) []byte {
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
	data := Record(1, slot, "\x00\x01\x01\x00\x00\x00\x00\x00")
	data = append(append(data, Record(4, slot, params.String())...), Record(4, slot, "")...)
	if body != "" {
		data = append(data, Record(5, slot, body)...)
	}
	return append(data, Record(5, slot, "")...)
}

// Answer is one answer of the server.
type Answer struct {
	Slot          uint16
	Status        int
	Headers, Body string
}

// Away is the return time that it tells, 0 for none.
func (a *Answer) Away() time.Duration {
	for _, line := range strings.Split(a.Headers, "\r\n") {
		if text, is := strings.CutPrefix(line, "Back-Off-Ms: "); is {
			ms, _ := strconv.Atoi(text)
			return time.Duration(ms) * time.Millisecond
		}
	}
	return 0
}

// errRecord is a record that no answer is made of.
var errRecord = errors.New("a record that is no part of an answer")

// Answer reads the next answer whose records come one after the other.
func (l *Link) Answer() (a Answer, err error) {
	var out []byte
	for {
		head := make([]byte, 8)
		if _, err := io.ReadFull(l.In, head); err != nil {
			return a, err
		}
		content := make([]byte, int(binary.BigEndian.Uint16(head[4:]))+int(head[6]))
		if _, err := io.ReadFull(l.In, content); err != nil {
			return a, err
		}
		if head[1] == 6 {
			out = append(out, content...)
			continue
		}
		if head[1] != 3 {
			return a, errRecord
		}
		a.Slot = binary.BigEndian.Uint16(head[2:])
		a.Headers, a.Body, _ = strings.Cut(string(out), "\r\n\r\n")
		fmt.Sscanf(a.Headers, "Status: %d", &a.Status)
		return a, nil
	}
}

// Fields are the parameters of a work item that has just come.
func Fields(id, tenant string, budget time.Duration) map[string]string {
	return map[string]string{"HTTP_REQUEST_ID": id, "HTTP_RECEIVED_AT": strconv.FormatInt(time.Now().UnixMilli(), 10),
		"HTTP_SENT_BY": "1", "HTTP_ACCOUNT": tenant, "HTTP_BUDGET_MS": strconv.FormatInt(budget.Milliseconds(), 10),
		"HTTP_FOOTPRINT_KB": "24.5", "HTTP_PRIORITY_RANK": "0.6250", "REQUEST_METHOD": "POST"}
}

// Send is a load against one server.
type Send struct {
	Address          string
	Seed             int64
	Length           float64 // seconds
	Cores            float64 // of the interpreter: what there is to divide
	Categories       []string
	Contract, Expiry time.Duration
	Streams          []*Stream
	lock             sync.Mutex
	books            *Accounts
	conns            []*sender
	broken           int // work items whose connection broke
	begun            time.Time
	load             *Load
	again            chan struct{}
}

const slots = 32 // open requests a connection

type sender struct {
	*Link
	s    *Send
	open map[uint16]*sent
	next uint16
}

type sent struct {
	ask *Ask
	at  time.Time
}

// Play sends the load and waits for the last answer.
func (s *Send) Play() ([]*Account, error) {
	s.load, s.books = NewLoad(s.Seed, s.Streams), NewAccounts(s.Streams)
	s.begun, s.again = time.Now(), make(chan struct{}, 1)
	for s.pending() {
		s.lock.Lock()
		next := s.load.Next()
		s.lock.Unlock()
		if wait := next - time.Since(s.begun).Seconds(); wait > 0 {
			t := time.NewTimer(time.Duration(min(wait, 1) * float64(time.Second)))
			select {
			case <-t.C:
			case <-s.again:
				t.Stop()
			}
			continue
		}
		s.lock.Lock()
		err := s.send(s.load.Take())
		s.lock.Unlock()
		if err != nil {
			return nil, err
		}
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	for _, c := range s.conns {
		c.Close()
	}
	return s.books.Entitle(s.Cores * s.Length), nil
}

// pending says whether more is to be sent or answered.
func (s *Send) pending() bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	if !math.IsInf(s.load.Next(), 1) {
		return true
	}
	for _, c := range s.conns {
		if len(c.open) > 0 {
			return time.Since(s.begun).Seconds() < s.Length+2*s.Expiry.Seconds()
		}
	}
	return false
}

func (s *Send) send(a *Ask) error {
	var c *sender
	for _, one := range s.conns {
		if len(one.open) < slots {
			c = one
		}
	}
	if c == nil {
		link, err := Dial(s.Address)
		if err != nil {
			return err
		}
		c = &sender{Link: link, s: s, open: map[uint16]*sent{}}
		s.conns = append(s.conns, c)
		go c.answers()
	}
	for c.next++; c.next == 0 || c.open[c.next] != nil; c.next++ {
	}
	s.books.Asked(a)
	c.open[c.next] = &sent{a, time.Now()}
	id := fmt.Sprintf("%08x%08x", a.n, a.Try)
	_, err := c.Write(Request(c.next, "/rpc/"+s.Categories[a.Stream.Category], fmt.Sprintf("%.2f %d", a.Work*1000, a.n),
		Fields(id, a.Tenant, s.Expiry)))
	return err
}

func (c *sender) answers() {
	s := c.s
	for {
		a, err := c.Answer()
		s.lock.Lock()
		if err != nil {
			s.broken += len(c.open)
			clear(c.open)
			s.lock.Unlock()
			return
		}
		if of := c.open[a.Slot]; of != nil {
			delete(c.open, a.Slot)
			book := s.books.Of(of.ask)
			took := time.Since(of.at)
			_ = book.Times.RecordValue(min(took.Microseconds(), 60e6))
			if took > s.Expiry {
				book.Overdue++
			}
			switch late := took > s.Contract; {
			case a.Status == 200 && late:
				book.Late++
			case a.Status == 200:
				book.Fulfilled++
				book.Gain += of.ask.Stream.Gain
			case a.Status == 503:
				book.Declined++
				if away := a.Away(); away > 0 && of.ask.Try < of.ask.Stream.Returns {
					s.load.Again(of.ask, time.Since(s.begun).Seconds()+away.Seconds())
				}
			case a.Status < 500:
				book.Refused++
			default:
				book.Lost++
			}
		}
		s.lock.Unlock()
		select {
		case s.again <- struct{}{}:
		default:
		}
	}
}

// Broken counts the work items whose connection ended before their answer.
func (s *Send) Broken() int {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.broken
}
