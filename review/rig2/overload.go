package main

import (
	"sync"
	"time"

	"thistlequay/internal/emulator"
)

func init() { scenarios["refused"] = repeatAmongBadClients }

// badConnections times badRequests half requests are open at once, held by clients that never finish them.
const (
	badConnections = 20
	badRequests    = 30
)

// repeatAmongBadClients has five keyed items run, longer than their callers wait. Each comes again once, while
// bad clients hold six hundred half requests open.
func repeatAmongBadClients(r *rig) bool {
	plan := settings(1, 6, 5, category("look", "repeatable"), category("book", "by_key"))
	s := r.newServer("n1", plan, newIndex(20*time.Millisecond), newDirectory())
	s.platform["limits"] = object{"cores": 1.0, "memory_mb": 64, "sockets": 384}
	s.start()
	begin := time.Now()
	items := s.runLongerThanWaited(5)
	var clients sync.WaitGroup
	if r.trouble {
		for range badConnections {
			clients.Go(func() { s.holdHalfRequests() })
		}
		time.Sleep(500 * time.Millisecond)
	}
	refused, asked := 0, 0
	for _, item := range items {
		status, _ := s.send(item.repeat())
		asked++
		if isRefusal(status) && len(s.interpreter.runs(item.body)) > 0 {
			refused++
		}
		time.Sleep(50 * time.Millisecond)
	}
	clients.Wait()
	inTime(begin, window)
	return r.verdict(refused == 0, "of %d repeats of keyed items that had run %d were turned away", asked, refused)
}

// holdHalfRequests opens a connection, begins badRequests requests on it, sends a part of the parameters of each and
// then nothing. It reads all answers, until the app server closes the connection.
func (s *server) holdHalfRequests() {
	const beginRequest, params = 1, 4 // record types of FastCGI
	link, err := emulator.Dial(s.listen)
	check(err)
	defer closeQuietly(link)
	for slot := range uint16(badRequests) {
		records := append(emulator.FastCGIRecord(beginRequest, slot+1, "\x00\x01\x01\x00\x00\x00\x00\x00"),
			emulator.FastCGIRecord(params, slot+1, "\x0b\x09SCRIPT_NAME/rpc/look")...)
		if _, err := link.Write(records); err != nil {
			return
		}
	}
	s.rig.log.add("a bad client has %d half requests open", badRequests)
	check(link.SetReadDeadline(time.Now().Add(6 * time.Second)))
	for {
		status, body := readAnswer(link)
		if status == 0 {
			return // closed
		}
		s.rig.log.add("a bad client gets status=%d %q", status, body)
	}
}
