package emulator

import "encoding/json"

// Commands that the server sends to the interpreter. Any other command is ignored.
const (
	commandConnect = "CONNECT" // makes the connection the interpreter's link to the server
	commandGauges  = "TOP"     // requests the gauges of the cores
	commandRun     = "APPLY"   // starts a run
	commandStop    = "BREAK"   // stops a run
	commandResume  = "RESOLVE" // resumes a run that waits for its call
)

// command is one command of the server, a line of JSON.
type command struct {
	Type            string `json:"type"`
	Job             string `json:"job"`  // request ID of the run
	Ref             string `json:"ref"`  // of a TOP command, repeated in the reply
	ReceivedNotices int    `json:"n"`    // of a CONNECT command, the number of notices that the server has received
	Data            []byte `json:"data"` // of an APPLY command, the request body
}

// readCommands executes the commands that arrive on one link until the server closes the link or sends a line that
// cannot be decoded.
func (v *Interpreter) readCommands(link *Link) {
	defer link.drop()
	for {
		line, err := link.Reader.ReadBytes('\n')
		if err != nil {
			v.linkEnded(link)
			return
		}
		var c command
		if json.Unmarshal(line, &c) != nil {
			return
		}
		v.execute(link, &c)
		select {
		case v.wakeUp <- struct{}{}:
		default:
		}
	}
}

// execute executes one command.
func (v *Interpreter) execute(link *Link, command *command) {
	v.lock.Lock()
	defer v.lock.Unlock()
	v.Cores.AdvanceTo(v.elapsedSeconds())
	run := v.runs[command.Job]
	switch command.Type {
	case commandConnect:
		v.connect(link, command.ReceivedNotices)
	case commandGauges:
		utilization, runnable := v.Cores.Gauges()
		link.sendf(`{"type":"TOPS","ref":%q,"gauges":[%.3f,%.0f]}`+"\n", command.Ref, utilization, runnable)
	case commandRun:
		v.startRun(command.Job, command.Data)
	case commandStop:
		if run != nil {
			v.stop(run)
		}
	case commandResume:
		if run != nil {
			v.Cores.Resume(run.Job)
		}
	}
}

// connect replaces the current link to the server, if any, with the given one. It sends the banner and every notice
// after the first received ones, which the server already has.
func (v *Interpreter) connect(link *Link, received int) {
	v.dropLink()
	v.link = link
	state := "WARM"
	uptimeMs := 3_600_000
	if v.ReportsCold {
		state = "COLD"
		uptimeMs = 0
	}
	link.sendf(`{"type":"BANNER","state":%q,"took":%d}`+"\n", state, uptimeMs)
	for _, line := range v.notices[min(received, len(v.notices)):] {
		link.send(line)
	}
}

// linkEnded clears the current link if it is the one that the server closed.
func (v *Interpreter) linkEnded(link *Link) {
	v.lock.Lock()
	defer v.lock.Unlock()
	if v.link == link {
		v.link = nil
	}
}

// dropLink closes the link to the server, if there is one.
func (v *Interpreter) dropLink() {
	if v.link != nil {
		v.link.drop()
		v.link = nil
	}
}
