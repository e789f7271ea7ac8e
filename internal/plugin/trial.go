package plugin

import (
	"context"
	"time"

	"thistlequay/internal/plugin/abi"
)

// TrialResult describes the trial run of one module.
type TrialResult struct {
	SHA256      string
	StartupTime time.Duration
	LongestCall time.Duration
	MemoryKB    int         // linear memory of an instance after the calls
	Verdict     abi.Verdict // verdict of the last call
	LogLines    []string
}

// Check loads a module in this process and calls no hook. It lets plug-in authors check a module.
func Check(config ModuleConfig) (TrialResult, error) { return Try(config, nil, 0, 0) }

// Try loads a module in this process and calls it the given number of times for a request, each time with the given
// timeout. It lets plug-in authors run a module.
func Try(
	config ModuleConfig, request *abi.Request, callCount int, timeout time.Duration,
) (result TrialResult, err error) {
	ctx := context.Background()
	start := time.Now()
	m, err := loadModule(ctx, config, 1, func(kind byte, payload []byte) {
		if kind == FrameLog {
			result.LogLines = append(result.LogLines, string(payload))
		}
	})
	if err != nil {
		return result, err
	}
	defer m.close()
	result.StartupTime = time.Since(start)
	result.SHA256 = m.SHA256
	for range callCount {
		encoded, elapsed, err := m.call(ctx, request.Hook, request.Append(nil), timeout)
		if err != nil {
			return result, err
		}
		verdict, err := abi.ParseVerdict(encoded)
		if err != nil {
			return result, err
		}
		result.Verdict = verdict
		result.LongestCall = max(result.LongestCall, elapsed)
	}
	select {
	case i := <-m.idleInstances:
		result.MemoryKB = int(i.module.Memory().Size() >> 10)
		m.idleInstances <- i
	default:
	}
	return result, nil
}
