package plugin

// This file owns the trial of one module in this process, for those who write plug-ins.

import (
	"context"
	"time"

	"thistlequay/internal/plugin/abi"
)

// TrialResult is what became of it.
type TrialResult struct {
	SHA256      string
	StartupTime time.Duration
	LongestCall time.Duration // the longest call
	MemoryKB    int           // of an instance after it
	Verdict     abi.Verdict   // of the last call
	LogLines    []string      // its log
}

// Try loads a module and asks it so often, each time within the time given.
func Try(one ModuleConfig, q *abi.Request, times int, within ...time.Duration) (t TrialResult, err error) {
	ctx := context.Background()
	begun := time.Now()
	g, err := loadModule(ctx, one, 1, func(kind byte, payload []byte) {
		if kind == frameLog {
			t.LogLines = append(t.LogLines, string(payload))
		}
	})
	if err != nil {
		return t, err
	}
	defer g.close()
	t.StartupTime = time.Since(begun)
	t.SHA256 = g.SHA256
	for range times {
		out, took, err := g.call(ctx, q.Hook, q.Append(nil), within[0])
		if err != nil {
			return t, err
		}
		if t.Verdict, err = abi.ParseVerdict(out); err != nil {
			return t, err
		}
		t.LongestCall = max(t.LongestCall, took)
	}
	select {
	case i := <-g.idleInstances:
		t.MemoryKB = int(i.module.Memory().Size() >> 10)
		g.idleInstances <- i
	default:
	}
	return t, nil
}
