// Package simadapter implements the protocol of the simulator: it decodes batches of lines into calls of
// admission.Server and its requests, and encodes the decisions of the servers as replies. It makes no decisions of its
// own.
//
// A batch begins with MARK, which carries the current time, and ends with EOF_BATCH. In between, FOR names the
// simulated server to which the events after it belong. The reply contains the lines of each server that has any, after
// a line AS that names the server, and ends with EOR. Everything runs on one goroutine, and time is the simulated time.
package simadapter

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"log"
	"strings"

	"thistlequay/internal/deployment"
	"thistlequay/timeunit"
)

// Kinds of the lines that delimit a batch and select the server.
const (
	lineMark     = "MARK"
	lineFor      = "FOR"
	lineEndBatch = "EOF_BATCH"
)

// readBufferBytes is the size of the buffer for the input. Lines may be longer.
const readBufferBytes = 1 << 16

// Serve replies to batches until the input ends, with one write for each batch. If a line is malformed, it returns an
// error with the line number and writes nothing for the batch of that line. Events of an unknown kind are logged and
// ignored.
func Serve(in io.Reader, out io.Writer) error {
	s := &session{
		in:        bufio.NewReaderSize(in, readBufferBytes),
		instances: map[string]*instance{},
	}
	for {
		s.reply.Reset()
		err := s.serveBatch()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("line %d: %w", s.lineNumber, err)
		}
		if _, err := out.Write(s.reply.Bytes()); err != nil {
			return err
		}
	}
}

// session holds the state of one connection with the simulator.
type session struct {
	in         *bufio.Reader
	lineNumber int // of the line that was read last; the first line is 1
	instances  map[string]*instance

	// State of the batch that is being read:
	now             timeunit.Ticks
	current         *instance   // selected by the last FOR; nil before the first one
	activeInstances []*instance // instances with an event in this batch, in the order of their first event
	reply           bytes.Buffer
}

// readLine reads a line and strips its line ending. It returns io.EOF only if the input ends between two lines.
func (s *session) readLine() (string, error) {
	text, err := s.in.ReadString('\n')
	if errors.Is(err, io.EOF) && text == "" {
		return "", io.EOF
	}
	s.lineNumber++
	if errors.Is(err, io.EOF) {
		return "", errors.New("unexpected end of input within a line")
	}
	return strings.TrimSuffix(strings.TrimSuffix(text, "\n"), "\r"), err
}

// serveBatch reads a batch and fills in its reply. It returns io.EOF if the input ends before a batch begins.
func (s *session) serveBatch() error {
	if err := s.beginBatch(); err != nil {
		return err
	}
	for {
		text, err := s.readLine()
		if errors.Is(err, io.EOF) {
			return errors.New("unexpected end of input within a batch")
		}
		if err != nil {
			return err
		}
		if text == lineEndBatch {
			break
		}
		if err := s.applyLine(text); err != nil {
			return err
		}
	}
	s.endBatch()
	return nil
}

// beginBatch reads the MARK line that begins a batch. Empty lines before it are skipped.
func (s *session) beginBatch() error {
	text, err := s.readLine()
	for err == nil && text == "" {
		text, err = s.readLine()
	}
	if err != nil {
		return err
	}
	mark, err := parseMessage(text)
	if err != nil {
		return err
	}
	if mark.kind != lineMark {
		return fmt.Errorf("batch begins with %q instead of MARK", mark.kind)
	}
	if !mark.has(keyTime) {
		return errors.New("MARK has no T")
	}
	s.now = mark.ticks(keyTime, deployment.RoundDown)
	s.current = nil
	s.activeInstances = s.activeInstances[:0]
	return mark.err
}

// endBatch makes each server that had an event dispatch requests, and collects the reply lines of these servers.
func (s *session) endBatch() {
	for _, instance := range s.activeInstances {
		instance.hasEvent = false
		if instance.server != nil {
			instance.server.Dispatch()
		}
		if instance.reply.Len() > 0 {
			fmt.Fprintf(&s.reply, "AS Server=%s\n", instance.name)
			s.reply.Write(instance.reply.Bytes())
			instance.reply.Reset()
		}
	}
	s.reply.WriteString("EOR\n")
}

// applyLine processes a line within a batch.
func (s *session) applyLine(text string) error {
	line, err := parseMessage(text)
	if err != nil {
		return err
	}
	switch line.kind {
	case lineMark, lineEndBatch:
		return fmt.Errorf("%s within a batch", line.kind)
	case lineFor:
		return s.selectInstance(line)
	default:
		return s.applyEvent(line)
	}
}

// selectInstance selects the server to which the following events belong. It adds an instance if the name is new.
func (s *session) selectInstance(line *message) error {
	name := line.values[keyServer]
	if name == "" {
		return errors.New("FOR has no Server")
	}
	s.current = s.instances[name]
	if s.current == nil {
		s.current = &instance{name: name}
		s.instances[name] = s.current
	}
	return nil
}

// applyEvent applies an event to the current server.
func (s *session) applyEvent(event *message) error {
	current := s.current
	if current == nil {
		return fmt.Errorf("%s before the first FOR", event.kind)
	}
	apply, isKnown := eventHandlers[event.kind]
	if !isKnown {
		log.Printf("line %d: ignoring event of unknown kind %q", s.lineNumber, event.kind)
		return nil
	}
	if current.server == nil && event.kind != eventCreate {
		return fmt.Errorf("%s for server %q, which was never created or was killed", event.kind, current.name)
	}
	if !current.hasEvent {
		current.hasEvent = true
		s.activeInstances = append(s.activeInstances, current)
	}
	current.now = s.now
	if current.server != nil {
		current.server.Advance(s.now)
	}
	if err := apply(current, event); err != nil {
		return err
	}
	return event.err
}
