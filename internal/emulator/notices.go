package emulator

import (
	"bytes"
	"fmt"
)

// Corruption is the fault that a script applies to the transmission of one notice.
type Corruption int

const (
	// Intact sends the notice unchanged.
	Intact Corruption = iota
	// Duplicated sends the notice twice with the same number.
	Duplicated
	// PrecededByTrace sends a TRACE notice before the notice.
	PrecededByTrace
	// LinkCutMidway closes the link after the first half of the notice.
	LinkCutMidway
	// SplitInTwo sends the notice in two writes.
	SplitInTwo
	// Withheld closes the link without sending the notice. The notice is sent over the next link.
	Withheld
)

// States in a VALUE notice.
const (
	stateOK      = "OK"
	stateStopped = "STOPPED"
)

// sendNotice numbers and stores a notice. If there is a link, it sends the notice with the corruption that the script
// returns. The format gives the JSON members that follow the number.
func (v *Interpreter) sendNotice(format string, args ...any) {
	n := len(v.notices) + 1
	line := fmt.Appendf(nil, `{"n":%d,`, n)
	line = fmt.Appendf(line, format, args...)
	line = append(line, "}\n"...)
	v.notices = append(v.notices, line)
	if v.link == nil {
		return
	}
	corruption := Intact
	if v.NoticeScript != nil {
		corruption = v.NoticeScript(n)
	}
	v.transmit(line, corruption)
}

// transmit sends one notice over the link and applies the corruption to it.
func (v *Interpreter) transmit(line []byte, corruption Corruption) {
	half := len(line) / 2
	switch corruption {
	case Duplicated:
		v.link.send(append(bytes.Clone(line), line...))
	case PrecededByTrace:
		trace := []byte(`{"type":"TRACE","n":0,"state":"a remark"}` + "\n")
		v.link.send(append(trace, line...))
	case LinkCutMidway:
		v.link.send(line[:half])
		v.dropLink()
	case SplitInTwo:
		v.link.send(line[:half])
		v.link.send(line[half:])
	case Withheld:
		v.dropLink()
	default:
		v.link.send(line)
	}
}
