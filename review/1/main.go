// Command 1 shows that after a break of the link to the interpreter, a run gets the reply to its call before in place
// of the reply to the call that it waits for.
package main

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"thistlequay/internal/emulator"
	"thistlequay/review/kit"
)

const (
	folder = "review/1"

	cores        = 6
	period       = 2 * time.Millisecond // of the settings
	sendFor      = 90 * time.Second
	gap          = 5300 * time.Microsecond // between two requests: 190 a second
	breakEvery   = 1500 * time.Millisecond
	routers      = 12
	callsOfRun   = 2
	longestWork  = 40 * time.Millisecond // between two calls
	indexDelay   = 3 * time.Millisecond
	maxRecorded  = 20
	answersAtEnd = 8 * time.Second
)

func main() { kit.Main(folder, run) }

// counts are what the case saw.
type counts struct {
	lock                            sync.Mutex
	served, refused, failed, broken int
}

func run(c *kit.Case) error {
	interpreter, err := kit.NewInterpreter(cores, 1, period)
	if err != nil {
		return err
	}
	interpreter.Calls = callsOfRun
	interpreter.Work = longestWork
	interpreter.Note = c.RecordQuietly
	index, err := kit.NewIndex(interpreter, indexDelay)
	if err != nil {
		return err
	}
	directory, err := emulator.NewDirectory()
	if err != nil {
		return err
	}
	server, err := c.NewServer("n1")
	if err != nil {
		return err
	}
	server.Interpreter, server.Index, server.Directory = interpreter.Address, index.Address, directory.Address
	server.Settings = kit.Settings(cores, 12)
	seen := &counts{}
	interpreter.Foreign = func(id string, call int, reply string) {
		seen.lock.Lock()
		defer seen.lock.Unlock()
		seen.broken++
		if seen.broken <= maxRecorded {
			c.Broken("the run of %s waits for the reply to its call %d and was given %q", id, call, reply)
		}
	}
	if err := server.Start(); err != nil {
		return err
	}
	stop := make(chan struct{})
	if c.Trouble {
		go func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(breakEvery):
					interpreter.BreakLink()
				}
			}
		}()
	}
	err = send(c, server, interpreter, seen)
	close(stop)
	c.Record("served %d, refused %d, failed %d", seen.served, seen.refused, seen.failed)
	total := interpreter.Counters()
	c.Record("runs %d, links %d, breaks %d, replies while no call waited %d", total.Runs, total.Links, total.Breaks,
		total.UnaskedReplies)
	c.Record("the index carried out %d calls and had nobody wait for %d; replies to the wrong call: %d",
		index.Calls.Load(), index.Nobody.Load(), seen.broken)
	return err
}

// send sends requests of all classes at an even rate and waits for their answers.
func send(c *kit.Case, server *kit.Server, interpreter *kit.Interpreter, seen *counts) error {
	var links []*kit.Router
	for range routers {
		router, err := c.Connect(server.Address)
		if err != nil {
			return err
		}
		router.Quiet = true
		defer router.Close()
		links = append(links, router)
	}
	var waiting sync.WaitGroup
	ticker := time.NewTicker(gap)
	defer ticker.Stop()
	start := time.Now()
	for n := 0; time.Since(start) < sendFor; n++ {
		<-ticker.C
		router := links[n%routers]
		if !router.HasRoom() {
			continue // its client waits
		}
		request := kit.Request{Class: kit.ClassCount, Tenant: kit.Tenant, Budget: 4 * time.Second, Sender: "router",
			Body: fmt.Sprintf("delivery %d", n)}
		if n%2 == 0 {
			request.Class = kit.ClassWrite
			request.Budget = 7 * time.Second
			request.Key = fmt.Sprintf("%032x", n)
		}
		pending := router.Send(request)
		waiting.Go(func() {
			answer := pending.Wait()
			interpreter.RequestOver(answer.ID)
			seen.judge(c, request, &answer)
		})
	}
	waiting.Wait()
	return nil
}

// judge checks that a result is made of the replies to its own calls, in order.
func (s *counts) judge(c *kit.Case, request kit.Request, answer *kit.Answer) {
	var replies []string
	for call := range callsOfRun {
		replies = append(replies, kit.ReplyTo(kit.CallBody(answer.ID, call+1)))
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	switch {
	case answer.Served():
		s.served++
		if want := request.Body + ": " + strings.Join(replies, ", "); answer.Body != want && s.broken <= maxRecorded {
			c.Broken("the client of %s (%s) was served %q, where its calls got %q", answer.ID, request.Class,
				answer.Body, want)
		}
	case answer.Refused():
		s.refused++
	default:
		s.failed++
	}
}
