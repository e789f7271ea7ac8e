// This file owns the words of the engine in the log. It must never log for each item.
package appserver

import (
	"fmt"
	"log"

	gerrors "github.com/panjf2000/gnet/v2/pkg/errors"
)

var errEnd = gerrors.ErrEngineShutdown

// engineLog passes on what gnet has to say that matters.
type engineLog struct{}

func (engineLog) Debugf(string, ...any) {}
func (engineLog) Infof(string, ...any)  {}
func (engineLog) Warnf(f string, args ...any) {
	log.Printf("event=engine_warning text=%q", fmt.Sprintf(f, args...))
}
func (engineLog) Errorf(f string, args ...any) {
	log.Printf("event=engine_error text=%q", fmt.Sprintf(f, args...))
}
func (engineLog) Fatalf(f string, args ...any) {
	log.Fatalf("event=engine_fatal text=%q", fmt.Sprintf(f, args...))
}
