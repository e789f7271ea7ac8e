// Command thistlequay is one app server. This file owns its configuration, signals, log and exit codes: 0 after
// a notice to leave, 1 where it could not start. It must never serve with a configuration it did not understand.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"log"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"thistlequay/internal/appserver"
	"thistlequay/internal/deployment"
)

const (
	heapPart     = 0.6 // of the memory, what Go may use before it collects ever harder
	leastSockets = 48
)

func main() {
	log.SetFlags(log.LUTC | log.Ldate | log.Ltime | log.Lmicroseconds)
	place, err := configure(os.Getenv("PROXY_CONFIG"))
	if err != nil {
		fail(err)
	}
	app := appserver.New(place)
	leave, again := make(chan os.Signal, 1), make(chan os.Signal, 1) // apart: many of one never crowd out the other
	signal.Notify(leave, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(again, syscall.SIGHUP)
	go func() {
		for range leave {
			app.Leave()
		}
	}()
	go func() {
		for range again {
			if place, err := configure(os.Getenv("PROXY_CONFIG")); err != nil {
				log.Printf("event=configuration_kept reason=%q", err)
			} else {
				app.Move(place)
			}
		}
	}()
	if err := app.Run(); errors.Is(err, appserver.ErrLoop) {
		log.Fatalf("event=failed reason=%q", err)
	} else if err != nil {
		fail(err)
	}
}

func fail(err error) {
	log.Printf("event=cannot_start reason=%q", err)
	os.Exit(1)
}

// configure reads the configuration and applies its limits to the process.
func configure(path string) (p appserver.Place, err error) {
	if path == "" {
		return p, errors.New("PROXY_CONFIG names no configuration")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return p, err
	}
	var c struct {
		Name, Listen, VM, Lookup, Index string
		StopMs                          float64 `json:"stop_ms"`
		Limits                          struct {
			Cores    float64
			MemoryMb float64 `json:"memory_mb"`
			Sockets  int
		}
		Settings json.RawMessage
	}
	if err := json.Unmarshal(text, &c); err != nil {
		return p, fmt.Errorf("the configuration can't be read: %w", err)
	}
	for key, address := range map[string]string{"listen": c.Listen, "vm": c.VM, "lookup": c.Lookup, "index": c.Index} {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return p, fmt.Errorf("the configuration's %s is no address: %q", key, address)
		}
	}
	switch {
	case c.Name == "":
		return p, errors.New("the configuration gives no name")
	case !(c.StopMs >= 0 && c.StopMs < 1e9):
		return p, errors.New("the configuration's stop_ms is out of range")
	case !(c.Limits.Cores > 0 && c.Limits.Cores < 1e4 && c.Limits.MemoryMb >= 16 && c.Limits.MemoryMb < 1e7):
		return p, errors.New("the configuration's limits on cores and memory are out of range")
	case c.Limits.Sockets < leastSockets:
		return p, fmt.Errorf("the configuration allows %d sockets, at least %d are needed", c.Limits.Sockets, leastSockets)
	case c.Settings == nil:
		return p, errors.New("the configuration holds no settings")
	}
	terms, err := deployment.Read(c.Settings)
	if err != nil {
		return p, err
	}
	runtime.GOMAXPROCS(max(1, int(c.Limits.Cores)))
	debug.SetMemoryLimit(int64(math.Round(c.Limits.MemoryMb * heapPart * (1 << 20))))
	return appserver.Place{Name: c.Name, Listen: c.Listen, Interpreter: c.VM, Index: c.Index, Directory: c.Lookup,
		StopIn: deployment.Down(c.StopMs), Sockets: c.Limits.Sockets, Memory: int(c.Limits.MemoryMb) << 20,
		Terms: terms}, nil
}
