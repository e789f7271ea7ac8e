package admission

import (
	"fmt"
	"strings"
)

// StoredForm returns the settings as text, without Learnt. Stored warm-start records carry a hash of this text
// and are ignored once it differs, so it keeps the names and the order of its first version.
func (c *Config) StoredForm() string {
	var text strings.Builder
	text.WriteString("{Categories:[")
	for i, category := range c.Categories {
		if i > 0 {
			text.WriteByte(' ')
		}
		fmt.Fprintf(&text, "{Gain:%v LateShare:%v Poorer:%v Contract:%d Expiry:%d Window:%d Effect:%d}",
			category.Weight, category.LateValue, category.DegradedValue, category.SoftDeadline, category.Deadline,
			category.DeduplicationWindow, category.Idempotency)
	}
	fmt.Fprintf(&text, "] Callers:%d Marked:%t Servers:%d Cores:%d", c.Routers, c.RetriesMarked, c.Servers, c.Cores)
	fmt.Fprintf(&text, " Memory:%v RunFactor:%v EntryKb:%v Entries:%d",
		c.MemoryKB, c.RunMemoryFactor, c.EntryKB, c.MaxEntries)
	fmt.Fprintf(&text, " Period:%d Grace:%d Fresh:%d", c.BatchInterval, c.DrainGrace, c.ResultTTL)
	fmt.Fprintf(&text, " Cold:%t ColdFrom:%v ColdFor:%d Crowd:%v",
		c.StartsCold, c.ColdSpeed, c.WarmUpTime, c.OverloadThreshold)
	fmt.Fprintf(&text, " SharedBelow:%t CallShare:%v CallsOver:%d Spread:%v Linger:%d",
		c.SharedDependency, c.DownstreamLimit, c.DownstreamWindow, c.TurnOffset, c.AbandonedCallTime)
	fmt.Fprintf(&text, " Tongue:%d MaxAway:%d IdleMost:%d Stops:%t Learnt:<nil>}",
		c.LoadReportMode, c.MaxRetryAfter, c.MaxIdleTime, c.CanStopRuns)
	return text.String()
}
