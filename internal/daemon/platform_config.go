package daemon

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

// Bounds of the platform's configuration.
const (
	minSockets  = 48 // below that no router fits beside the server's own connections
	minMemoryMB = 16
	maxStopMS   = 1e9
	minCores    = 1e-3
	maxCores    = 1e4
	maxMemoryMB = 1e7
	maxSockets  = 1 << 20
)

// softMemoryFraction of the memory limit is what Go may use before it collects ever harder.
const softMemoryFraction = 0.6

// platformFile is the platform's configuration, one JSON object. The names are the platform's.
type platformFile struct {
	Name      string  `json:"Name"`
	Listen    string  `json:"Listen"`
	VM        string  `json:"VM"`     // the interpreter
	Directory string  `json:"Lookup"` // the directory that lists servers
	Index     string  `json:"Index"`
	Seed      string  `json:"Seed"`
	StopMS    float64 `json:"stop_ms"`
	Limits    struct {
		Cores    float64
		MemoryMB float64 `json:"memory_mb"`
		Sockets  int
	}
	Settings json.RawMessage
}

// ReadPlatformConfig reads the platform's configuration. Its faults are a diagnostics.List, all at once, each with its
// position.
func ReadPlatformConfig(path string) (server.Config, error) {
	if path == "" {
		return server.Config{}, errors.New("PROXY_CONFIG names no configuration")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return server.Config{}, err
	}
	var file platformFile
	if err := diagnostics.DecodeJSON(text, &file); err != nil {
		return server.Config{}, diagnostics.FromError(err).InFile(path)
	}
	settings, found := file.validate()
	if len(found) > 0 {
		return server.Config{}, diagnostics.LocateJSON(text, found).InFile(path)
	}
	return server.Config{
		Name:            file.Name,
		Listen:          file.Listen,
		Interpreter:     file.VM,
		Index:           file.Index,
		Directory:       file.Directory,
		ShutdownTimeout: deployment.RoundDown(file.StopMS),
		MaxSockets:      usableDescriptors(file.Limits.Sockets),
		MemoryBytes:     int(file.Limits.MemoryMB) << 20,
		Cores:           file.Limits.Cores,
		Settings:        settings,
		Seed:            int64(xxh3.HashString(file.Seed + file.Name)),
	}, nil
}

// validate reads the deployment's settings in the file and collects every fault of the file.
func (f *platformFile) validate() (*deployment.Config, diagnostics.List) {
	var found diagnostics.List
	addresses := []struct{ key, address string }{
		{"listen", f.Listen}, {"vm", f.VM}, {"lookup", f.Directory}, {"index", f.Index},
	}
	for _, a := range addresses {
		if _, _, err := net.SplitHostPort(a.address); err != nil {
			found.Add(a.key, "an address such as 127.0.0.1:8443", "%q is none", a.address)
		}
	}
	if f.Name == "" {
		found.Add("name", "a name", "is missing or empty")
	}
	checkRange := func(key string, value, least, most float64) {
		if !(value >= least && value <= most) { // also where the value is no number
			found.Add(key, fmt.Sprintf("from %v to %v", least, most), "%v is out of range", value)
		}
	}
	checkRange("stop_ms", f.StopMS, 0, maxStopMS)
	checkRange("limits.cores", f.Limits.Cores, minCores, maxCores)
	checkRange("limits.memory_mb", f.Limits.MemoryMB, minMemoryMB, maxMemoryMB)
	checkRange("limits.sockets", float64(f.Limits.Sockets), minSockets, maxSockets)
	if f.Settings == nil {
		found.Add("settings", "the deployment's settings", "is missing")
		return nil, found
	}
	settings, err := deployment.Read(f.Settings)
	if err != nil {
		for _, d := range diagnostics.FromError(err) {
			d.Path = "settings." + d.Path
			d.Line = 0
			found = append(found, d)
		}
	}
	return settings, found
}

// usableDescriptors returns how many descriptors the process may hold: where the system's limit is lower than the
// configuration's it goes first, as accepting ends at the first one beyond it.
func usableDescriptors(configured int) int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur >= uint64(configured) {
		return configured
	}
	return int(limit.Cur)
}

// applyProcessLimits has the Go runtime keep to the limits of the process.
func applyProcessLimits(serverConfig server.Config) {
	threads := max(1, int(serverConfig.Cores))
	if serverConfig.Recovery != nil { // a write that waits for the disk must not keep the event loop's thread
		threads++
	}
	runtime.GOMAXPROCS(threads)
	debug.SetMemoryLimit(int64(math.Round(float64(serverConfig.MemoryBytes) * softMemoryFraction)))
}
