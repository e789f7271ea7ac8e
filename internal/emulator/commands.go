package emulator

import "encoding/json"

// Commands of the server to the interpreter. Any other command is ignored.
const (
	commandConnect = "CONNECT"
	commandTop     = "TOP"
	commandApply   = "APPLY"
	commandBreak   = "BREAK"
	commandResolve = "RESOLVE"
)

// command is one line of the server.
type command struct {
	Type string `json:"type"`
	Job  string `json:"job"`
	Ref  string `json:"ref"`
	N    int    `json:"n"`
	Data []byte `json:"data"`
}

// readCommands carries out the commands of one link until it ends.
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

// execute carries out one command.
func (v *Interpreter) execute(link *Link, command *command) {
	v.lock.Lock()
	defer v.lock.Unlock()
	v.Cores.AdvanceTo(v.seconds())
	run := v.jobs[command.Job]
	switch command.Type {
	case commandConnect:
		v.connect(link, command.N)
	case commandTop:
		utilization, runnable := v.Cores.Gauges()
		link.sendf(`{"type":"TOPS","ref":%q,"gauges":[%.3f,%.0f]}`+"\n", command.Ref, utilization, runnable)
	case commandApply:
		v.startRun(command.Job, command.Data)
	case commandBreak:
		if run != nil {
			v.stop(run)
		}
	case commandResolve:
		if run != nil {
			v.Cores.Resume(run.Job)
		}
	}
}

// connect makes this the link of the server, in place of any other, and sends the banner and the notices that the
// server has not received.
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

// linkEnded drops a link that the server closed.
func (v *Interpreter) linkEnded(link *Link) {
	v.lock.Lock()
	defer v.lock.Unlock()
	if v.link == link {
		v.link = nil
	}
}

// dropLink closes the link where there is one.
func (v *Interpreter) dropLink() {
	if v.link != nil {
		v.link.drop()
		v.link = nil
	}
}
