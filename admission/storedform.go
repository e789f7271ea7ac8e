package admission

import (
	"fmt"
	"strings"
)

// StoredForm returns the settings as text, without Learnt. Stored warm-start records carry a hash of this text
// and are ignored once it differs, so it keeps the names and the order of its first version.
func (c *Deployment) StoredForm() string {
	var text strings.Builder
	text.WriteString("{Categories:[")
	for i, category := range c.Categories {
		if i > 0 {
			text.WriteByte(' ')
		}
		fmt.Fprintf(&text, "{Gain:%v LateShare:%v Poorer:%v Contract:%d Expiry:%d Window:%d Effect:%d}",
			category.Gain, category.LateShare, category.Poorer, category.Contract, category.Expiry,
			category.Window, category.Effect)
	}
	fmt.Fprintf(&text, "] Callers:%d Marked:%t Servers:%d Cores:%d", c.Callers, c.Marked, c.Servers, c.Cores)
	fmt.Fprintf(&text, " Memory:%v RunFactor:%v EntryKb:%v Entries:%d",
		c.Memory, c.RunFactor, c.EntryKb, c.Entries)
	fmt.Fprintf(&text, " Period:%d Grace:%d Fresh:%d", c.Period, c.Grace, c.Fresh)
	fmt.Fprintf(&text, " Cold:%t ColdFrom:%v ColdFor:%d Crowd:%v",
		c.Cold, c.ColdFrom, c.ColdFor, c.Crowd)
	fmt.Fprintf(&text, " SharedBelow:%t CallShare:%v CallsOver:%d Spread:%v Linger:%d",
		c.SharedBelow, c.CallShare, c.CallsOver, c.Spread, c.Linger)
	fmt.Fprintf(&text, " Tongue:%d MaxAway:%d IdleMost:%d Stops:%t Learnt:<nil>}",
		c.Tongue, c.MaxAway, c.IdleMost, c.Stops)
	return text.String()
}
