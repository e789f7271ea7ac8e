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

// Ranges of the numbers in the platform's configuration.
const (
	minSockets  = 48 // with fewer, the server's own connections leave no socket for a router
	minMemoryMB = 16
	maxStopMS   = 1e9
	minCores    = 1e-3
	maxCores    = 1e4
	maxMemoryMB = 1e7
	maxSockets  = 1 << 20
)

// softMemoryFraction is the fraction of the process's memory that is set as the soft memory limit of the Go runtime.
// Close to this limit, the garbage collector runs more often.
const softMemoryFraction = 0.6

// platformFile is the platform's configuration, a JSON object. The platform defines the JSON names.
type platformFile struct {
	Name      string  `json:"Name"`
	Listen    string  `json:"Listen"`
	VM        string  `json:"VM"`     // the interpreter's address
	Directory string  `json:"Lookup"` // the address of the directory, which lists the servers
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

// ReadPlatformConfig reads and validates the platform's configuration. If the file is not valid, the error is a
// diagnostics.List of all faults with their positions.
func ReadPlatformConfig(path string) (server.Config, error) {
	if path == "" {
		return server.Config{}, errors.New("PROXY_CONFIG does not name a configuration file")
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

// validate converts the deployment's settings in the file and returns all faults of the file.
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
	checkRange := func(key string, value, minimum, maximum float64) {
		if !(value >= minimum && value <= maximum) { // written so that NaN is out of range
			found.Add(key, fmt.Sprintf("from %v to %v", minimum, maximum), "%v is out of range", value)
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

// usableDescriptors returns the number of file descriptors that the process may open: the configured number or, if it
// is lower, the limit of the operating system. Beyond the operating system's limit, accepting connections would fail.
func usableDescriptors(configured int) int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur >= uint64(configured) {
		return configured
	}
	return int(limit.Cur)
}

// applyMemoryLimit sets the soft memory limit of the Go runtime from the memory limit of the process.
func applyMemoryLimit(serverConfig server.Config) {
	debug.SetMemoryLimit(int64(math.Round(float64(serverConfig.MemoryBytes) * softMemoryFraction)))
}

// applyProcessLimits sets the number of threads and the soft memory limit of the Go runtime from the limits of the
// process.
func applyProcessLimits(serverConfig server.Config) {
	threads := max(1, int(serverConfig.Cores))
	if serverConfig.Recovery != nil { // a write that waits for the disk must not occupy the event loop's thread
		threads++
	}
	runtime.GOMAXPROCS(threads)
	applyMemoryLimit(serverConfig)
}
