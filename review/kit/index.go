package kit

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"thistlequay/internal/emulator"
)

// Index is a stand-in of the index whose replies tell the calls that they belong to.
type Index struct {
	*emulator.Listener
	// Calls counts the calls that were carried out, Nobody those for which no run waited.
	Calls, Nobody atomic.Int64

	delay       time.Duration
	interpreter *Interpreter
}

// NewIndex starts an index whose calls take the given time.
func NewIndex(interpreter *Interpreter, delay time.Duration) (*Index, error) {
	listener, err := emulator.Listen()
	if err != nil {
		return nil, err
	}
	x := &Index{Listener: listener, delay: delay, interpreter: interpreter}
	go func() {
		for link := range listener.Links {
			go x.serve(link)
		}
	}()
	return x, nil
}

// serve answers the calls of one connection, one after another.
func (x *Index) serve(link *emulator.Link) {
	defer link.Close() //nolint:errcheck // the app server may have closed it
	for {
		line, err := link.Reader.ReadString('\n')
		if err != nil {
			return
		}
		fields := strings.Fields(line)
		if len(fields) != 4 || fields[0] != "GET" {
			continue // STOP gets no reply
		}
		length, err := strconv.Atoi(fields[3])
		if err != nil {
			return
		}
		body := make([]byte, length+2)
		if _, err := io.ReadFull(link.Reader, body); err != nil {
			return
		}
		if _, err := io.WriteString(link, x.reply(fields[1], string(body[:length]))); err != nil {
			return
		}
	}
}

// reply carries out a call and returns its reply.
func (x *Index) reply(id, body string) string {
	if !x.interpreter.Waits(id, body) {
		x.Nobody.Add(1)
		return id + " NOBODY\r\n"
	}
	x.Calls.Add(1)
	time.Sleep(x.delay)
	text := ReplyTo(body)
	return fmt.Sprintf("%s HIT %d\r\n%s\r\n", id, len(text), text)
}
