package kit

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"math/rand"
	"strings"
	"sync"
	"time"

	"thistlequay/internal/emulator"
)

// Interpreter is a stand-in of the interpreter whose runs make several calls, one after another. It carries out the
// commands that have arrived once a period, loses none, and checks that each reply belongs to the call that its run
// waits for. The result of a run is made of its body and the replies that it got.
type Interpreter struct {
	*emulator.Listener
	// Calls is the number of calls of each run. Work is the longest time between two calls.
	Calls int
	Work  time.Duration
	// Foreign is called for a reply that is not that of the call that the run waits for.
	Foreign func(id string, call int, reply string)
	// Note records what is run; it may be nil.
	Note func(format string, args ...any) string

	period  time.Duration
	lock    sync.Mutex
	random  *rand.Rand
	link    *emulator.Link
	notices []string
	runs    map[string]*interpreterRun
	queue   []queuedCommand
	cores   int

	counters InterpreterCounters
}

// InterpreterCounters are the counters for the record.
type InterpreterCounters struct{ Runs, UnaskedReplies, Links, Breaks int }

// Counters returns the counters.
func (v *Interpreter) Counters() InterpreterCounters {
	v.lock.Lock()
	defer v.lock.Unlock()
	return v.counters
}

// note records what is run.
func (v *Interpreter) note(format string, args ...any) {
	if v.Note != nil {
		v.Note("interpreter: "+format, args...)
	}
}

// interpreterRun is one run.
type interpreterRun struct {
	body    string
	call    int // number of the call that it waits for or made last
	waits   bool
	ended   bool
	over    bool // its request was answered or given up
	replies []string
}

// queuedCommand is a command that waits for the next period.
type queuedCommand struct {
	link    *emulator.Link
	command interpreterCommand
}

// interpreterCommand is one line from the app server.
type interpreterCommand struct {
	Type, Job, Ref string
	N              int
	Data           []byte
}

// NewInterpreter starts an interpreter for a server with the given number of cores.
func NewInterpreter(cores int, seed int64, period time.Duration) (*Interpreter, error) {
	listener, err := emulator.Listen()
	if err != nil {
		return nil, err
	}
	v := &Interpreter{Listener: listener, period: period, random: rand.New(rand.NewSource(seed)), cores: cores,
		runs: map[string]*interpreterRun{}}
	go func() {
		for link := range listener.Links {
			go v.read(link)
		}
	}()
	go func() { // runs until the process ends
		for range time.Tick(period) {
			v.lock.Lock()
			commands := v.queue
			v.queue = nil
			for _, queued := range commands {
				v.execute(queued.link, queued.command)
			}
			v.lock.Unlock()
		}
	}()
	return v, nil
}

// read queues the commands of one link.
func (v *Interpreter) read(link *emulator.Link) {
	defer link.Close() //nolint:errcheck // the app server may have closed it
	for {
		line, err := link.Reader.ReadBytes('\n')
		if err != nil {
			return
		}
		var command interpreterCommand
		if json.Unmarshal(line, &command) != nil {
			return
		}
		v.lock.Lock()
		v.queue = append(v.queue, queuedCommand{link, command})
		v.lock.Unlock()
	}
}

// execute carries out one command.
func (v *Interpreter) execute(link *emulator.Link, command interpreterCommand) {
	run := v.runs[command.Job]
	switch command.Type {
	case "CONNECT":
		v.connect(link, command.N)
	case "TOP":
		runnable := 0
		for _, other := range v.runs {
			if !other.ended && !other.waits {
				runnable++
			}
		}
		v.write(link, fmt.Sprintf(`{"type":"TOPS","ref":%q,"gauges":[%.2f,%d,0.1,3]}`, command.Ref,
			min(1, float64(runnable)/float64(v.cores)), runnable))
	case "APPLY":
		switch {
		case run == nil:
			v.counters.Runs++
			v.note("runs %s", command.Job)
			run = &interpreterRun{body: string(command.Data)}
			v.runs[command.Job] = run
			v.work(command.Job, run)
		case run.ended:
			v.notify(`"type":"VALUE","job":%q,"state":"MOOT","took":0,"data":""`, command.Job)
		}
	case "BREAK":
		if run != nil && !run.ended {
			v.end(command.Job, run, "STOPPED")
		}
	case "RESOLVE":
		v.resolve(command.Job, run, string(command.Data))
	}
}

// connect makes a link the current one, in place of the one before.
func (v *Interpreter) connect(link *emulator.Link, received int) {
	if v.link != nil && v.link != link {
		_ = v.link.Close() // it may be closed already
	}
	v.link = link
	v.counters.Links++
	v.note("link %d, after notice %d", v.counters.Links, received)
	v.write(link, `{"type":"BANNER","state":"WARM","took":3600000}`)
	for _, line := range v.notices[min(received, len(v.notices)):] {
		v.write(link, line)
	}
}

// resolve gives a reply to the run that waits for it.
func (v *Interpreter) resolve(id string, run *interpreterRun, reply string) {
	if run == nil || run.ended || !run.waits {
		v.counters.UnaskedReplies++
		v.note("%s waits for no call and was given %q, which is ignored", id, reply)
		return
	}
	if reply != ReplyTo(CallBody(id, run.call)) && v.Foreign != nil {
		v.Foreign(id, run.call, reply)
	}
	run.waits = false
	run.replies = append(run.replies, reply)
	v.work(id, run)
}

// work lets a run work until its next call or its end.
func (v *Interpreter) work(id string, run *interpreterRun) {
	time.AfterFunc(time.Duration(v.random.Int63n(int64(v.Work))), func() {
		v.lock.Lock()
		defer v.lock.Unlock()
		switch {
		case run.ended:
		case run.call == v.Calls:
			v.end(id, run, "OK")
		case run.over:
			v.end(id, run, "STOPPED")
		default:
			run.call++
			run.waits = true
			data := base64.StdEncoding.EncodeToString([]byte(CallBody(id, run.call)))
			v.notify(`"type":"AWAIT","job":%q,"data":%q`, id, data)
		}
	})
}

// end ends a run.
func (v *Interpreter) end(id string, run *interpreterRun, state string) {
	run.ended = true
	run.waits = false
	data := ""
	if state == "OK" {
		data = base64.StdEncoding.EncodeToString([]byte(run.body + ": " + strings.Join(run.replies, ", ")))
	}
	v.notify(`"type":"VALUE","job":%q,"state":%q,"took":12.5,"data":%q`, id, state, data)
}

// notify numbers, keeps and sends a notice.
func (v *Interpreter) notify(format string, args ...any) {
	line := fmt.Sprintf(`{"n":%d,`, len(v.notices)+1) + fmt.Sprintf(format, args...) + "}"
	v.notices = append(v.notices, line)
	if v.link != nil {
		v.write(v.link, line)
	}
}

// write writes a line. An error means that the link is broken; the notice comes again on the next one.
func (v *Interpreter) write(link *emulator.Link, line string) { _, _ = link.Write([]byte(line + "\n")) }

// BreakLink breaks the link to the app server. Runs go on.
func (v *Interpreter) BreakLink() {
	v.lock.Lock()
	defer v.lock.Unlock()
	if v.link != nil {
		_ = v.link.Close() // the app server may have closed it
		v.link = nil
		v.counters.Breaks++
		v.note("the link breaks")
	}
}

// RequestOver tells the interpreter that a request was answered or given up: its run ends at its next call.
func (v *Interpreter) RequestOver(id string) {
	v.lock.Lock()
	defer v.lock.Unlock()
	run := v.runs[id]
	if run == nil || run.ended {
		return
	}
	run.over = true
	if run.waits {
		v.end(id, run, "STOPPED")
	}
}

// Waits reports whether a run waits for the call with the given body.
func (v *Interpreter) Waits(id, body string) bool {
	v.lock.Lock()
	defer v.lock.Unlock()
	run := v.runs[id]
	return run != nil && run.waits && CallBody(id, run.call) == body
}

// CallBody returns the body of a call of a run.
func CallBody(id string, call int) string { return fmt.Sprintf("call %d of %s", call, id) }

// ReplyTo returns the index's reply to a call.
func ReplyTo(body string) string { return "reply to " + body }
