package plugin

// This file owns the trial of one module in this process, for those who write plug-ins.

import (
	"context"
	"time"

	"thistlequay/internal/plugin/abi"
)

// Tried is what became of it.
type Tried struct {
	SHA256   string
	Ready    time.Duration
	Took     time.Duration // the longest call
	MemoryKB int           // of an instance after it
	Verdict  abi.Verdict   // of the last call
	Says     []string      // its log
}

// Try loads a module and asks it so often, each time within the time given.
func Try(one One, q *abi.Request, times int, within ...time.Duration) (t Tried, err error) {
	ctx := context.Background()
	begun := time.Now()
	g, err := load(ctx, one, 1, func(kind byte, payload []byte) {
		if kind == frameLog {
			t.Says = append(t.Says, string(payload))
		}
	})
	if err != nil {
		return t, err
	}
	defer g.close()
	t.Ready = time.Since(begun)
	t.SHA256 = g.SHA256
	for range times {
		out, took, err := g.ask(ctx, q.Hook, q.Append(nil), within[0])
		if err != nil {
			return t, err
		}
		if t.Verdict, err = abi.ReadVerdict(out); err != nil {
			return t, err
		}
		t.Took = max(t.Took, took)
	}
	select {
	case i := <-g.idle:
		t.MemoryKB = int(i.module.Memory().Size() >> 10)
		g.idle <- i
	default:
	}
	return t, nil
}
