package clustertest

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Only a pause between the sending of a request and its time limit allows a later response.
func TestTimeLimitIsExtendedByPausesOnly(t *testing.T) {
	start := time.Now()
	at := func(milliseconds int) time.Time { return start.Add(time.Duration(milliseconds) * time.Millisecond) }
	const slack = 50 * time.Millisecond
	for name, test := range map[string]struct {
		pauses []pause
		want   int // for a request sent at 1000 ms and due at 2000 ms
	}{
		"no pause":                      {nil, 2050},
		"pause before the request":      {[]pause{{at(100), at(900)}}, 2050},
		"pause after the time limit":    {[]pause{{at(2060), at(5000)}}, 2050},
		"pause that ends before it":     {[]pause{{at(1100), at(1900)}}, 2050},
		"pause across the time limit":   {[]pause{{at(1900), at(3000)}}, 3050},
		"pause that began before":       {[]pause{{at(500), at(3000)}}, 3050},
		"pause that goes on":            {[]pause{{from: at(1900)}}, 4050},
		"second pause soon after first": {[]pause{{at(1900), at(3000)}, {at(3040), at(3500)}}, 3550},
		"second pause too late":         {[]pause{{at(1900), at(3000)}, {at(3060), at(3500)}}, 3050},
	} {
		history := pauseHistory{pauses: test.pauses}
		require.Equal(t, at(test.want), history.timeLimit(at(1000), at(2000), slack, at(4000)), name)
	}
}
