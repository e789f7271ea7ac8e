package main

// This file owns the platform's configuration: one JSON file, its limits and the settings in it. It must never pass over
// what it cannot mean.

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/zeebo/xxh3"

	"thistlequay/internal/deployment"
	"thistlequay/internal/diagnostics"
	"thistlequay/internal/server"
)

const (
	heapPart     = 0.6 // of the memory, what Go may use before it collects ever harder
	leastSockets = 48
	leastMemory  = 16 // MB
)

// configure reads the configuration. Its faults come all at once, each with its place.
func configure(path string) (p server.Config, err error) {
	if path == "" {
		return p, errors.New("PROXY_CONFIG names no configuration")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return p, err
	}
	var c struct {
		Name, Listen, VM, Lookup, Index, Seed string
		StopMs                                float64 `json:"stop_ms"`
		Limits                                struct {
			Cores    float64
			MemoryMb float64 `json:"memory_mb"`
			Sockets  int
		}
		Settings json.RawMessage
	}
	if err := diagnostics.DecodeJSON(text, &c); err != nil {
		return p, diagnostics.FromError(err).InFile(path)
	}
	var l diagnostics.List
	for _, a := range []struct{ key, address string }{{"listen", c.Listen}, {"vm", c.VM}, {"lookup", c.Lookup}, {"index", c.Index}} {
		if _, _, err := net.SplitHostPort(a.address); err != nil {
			l.Add(a.key, "an address such as 127.0.0.1:8443", "%q is none", a.address)
		}
	}
	if c.Name == "" {
		l.Add("name", "a name", "is missing or empty")
	}
	figure := func(key string, v, least, most float64) {
		if !(v >= least && v <= most) {
			l.Add(key, fmt.Sprintf("from %v to %v", least, most), "%v is out of range", v)
		}
	}
	figure("stop_ms", c.StopMs, 0, 1e9)
	figure("limits.cores", c.Limits.Cores, 1e-3, 1e4)
	figure("limits.memory_mb", c.Limits.MemoryMb, leastMemory, 1e7)
	figure("limits.sockets", float64(c.Limits.Sockets), leastSockets, 1<<20)
	var terms *deployment.Config
	if c.Settings == nil {
		l.Add("settings", "the deployment's settings", "is missing")
	} else if terms, err = deployment.Read(c.Settings); err != nil {
		for _, f := range diagnostics.FromError(err) {
			f.Path, f.Line = "settings."+f.Path, 0
			l = append(l, f)
		}
	}
	if len(l) > 0 {
		return p, diagnostics.LocateJSON(text, l).InFile(path)
	}
	return server.Config{Name: c.Name, Listen: c.Listen, Interpreter: c.VM, Index: c.Index, Directory: c.Lookup,
		ShutdownTimeout: deployment.RoundDown(c.StopMs), MaxSockets: descriptors(c.Limits.Sockets), MemoryBytes: int(c.Limits.MemoryMb) << 20,
		Cores: c.Limits.Cores, Settings: terms, Seed: int64(xxh3.HashString(c.Seed + c.Name))}, nil
}

// descriptors are those that the process may hold: the system's limit goes before the configuration's, as at the first one
// beyond it accepting ends.
func descriptors(told int) int {
	var l syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l); err != nil || l.Cur >= uint64(told) {
		return told
	}
	return int(l.Cur)
}

// apply has the process keep to its limits.
func apply(p server.Config) {
	procs := max(1, int(p.Cores))
	if p.Recovery != nil { // a write that waits for the disk must not keep the loop's
		procs++
	}
	runtime.GOMAXPROCS(procs)
	debug.SetMemoryLimit(int64(math.Round(float64(p.MemoryBytes) * heapPart)))
}
