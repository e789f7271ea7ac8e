package emulator

import (
	"bytes"
	"fmt"
)

// Corruption is what a script does to one notice on its way.
type Corruption int

const (
	// Intact leaves the notice as it is.
	Intact Corruption = iota
	// Duplicated sends the notice twice under one number.
	Duplicated
	// PrecededByTrace sends a TRACE notice before the notice.
	PrecededByTrace
	// LinkCutMidway closes the link after the first half of the notice.
	LinkCutMidway
	// SplitInTwo sends the notice in two writes.
	SplitInTwo
	// Withheld closes the link without sending the notice, which is sent over the next link.
	Withheld
)

// States of a VALUE notice.
const (
	stateOK      = "OK"
	stateStopped = "STOPPED"
)

// sendNotice numbers a notice, stores it, and sends it with the corruption of the script where there is a link. The
// format gives the JSON members after the number.
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

// transmit sends one notice over the link with a corruption.
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
