package deployment

import (
	"fmt"
	"slices"
	"strings"

	"thistlequay/internal/diagnostics"
)

// maxFigure is the upper limit of all numbers: as a time in milliseconds, it is about 30 years.
const maxFigure = 1e12

// validation collects the diagnostics for settings.
type validation struct{ found diagnostics.List }

// Validate checks all values. The error is a diagnostics.List, sorted by path, of all numbers out of range, unknown
// names and contradictions.
func (s *settings) Validate() error {
	var v validation
	if len(s.Categories) == 0 {
		v.found.Add("Categories", "at least one category", "there is none")
	}
	names := map[string]bool{}
	for i := range s.Categories {
		path := fmt.Sprintf("Categories[%d]", i)
		v.category(path, &s.Categories[i])
		v.unique(path+".Name", s.Categories[i].Name, s.Categories[i].Name != "", names)
	}
	v.server(&s.Server)
	v.figure("Servers", float64(s.Servers))
	v.figure("Limits.MaxRetryAfter", s.Limits.MaxRetryAfter)
	v.figure("Period", s.Period)
	v.figure("Rules.Cold", s.Rules.WarmUpTime)
	v.figure("Rules.ColdFrom", s.Rules.ColdSpeed)
	v.figure("Rules.DrainGrace", s.Rules.DrainGrace)
	v.figure("Rules.TipMultiple", s.Rules.OverloadThreshold)
	tenants := map[string]bool{}
	for i, tenant := range s.Tenants {
		path := fmt.Sprintf("Tenants[%d]", i)
		v.unique(path+".Name", tenant.Name, true, tenants)
		v.figure(path+".Share", tenant.Weight)
	}
	slices.SortStableFunc(v.found, func(a, b diagnostics.Diagnostic) int { return strings.Compare(a.Path, b.Path) })
	return v.found.Err()
}

// category checks one category, except that its name is unique.
func (v *validation) category(path string, category *categorySettings) {
	v.figure(path+".HardLimit", category.Deadline)
	v.figure(path+".LateWorth", category.LateValue)
	v.figure(path+".OnTime", category.SoftDeadline)
	v.figure(path+".Worth", category.Weight)
	v.figure(path+".Window", category.window())
	if category.Idempotency == "" {
		v.found.Add(path+".Effect", oneOf(idempotencyNames), "is missing")
	} else {
		v.word(path+".Effect", category.Idempotency, idempotencyNames)
	}
	if category.SoftDeadline > category.Deadline && category.SoftDeadline <= maxFigure {
		v.found.Add(path+".OnTime", fmt.Sprintf("at most HardLimit, %v", category.Deadline),
			"%v: the answer is wanted within more than its caller waits", category.SoftDeadline)
	}
	if category.LateValue > 1 {
		v.found.Add(path+".LateWorth", "from 0 to 1", "%v is out of range", category.LateValue)
	}
	// A window of 0 is valid and means that requests are not repeated, so only an absent window is a fault.
	if category.Idempotency == idempotencyByKey && category.Window == nil {
		v.found.Add(path+".Window", "how long a repeat may come", "by_key without a window")
	}
}

// server checks the settings of the server.
func (v *validation) server(server *serverSettings) {
	if server.Cores < 1 {
		v.found.Add("FamilyInfo.Cores", "at least one core", "%d", server.Cores)
	}
	v.figure("FamilyInfo.CallShare", server.DownstreamLimit)
	v.figure("FamilyInfo.Callers", float64(server.Routers))
	v.figure("FamilyInfo.CallsOver", server.DownstreamWindow)
	v.figure("FamilyInfo.Cores", float64(server.Cores))
	v.figure("FamilyInfo.EntryKb", server.EntryKB)
	v.figure("FamilyInfo.Fresh", server.ResultTTL)
	v.figure("FamilyInfo.KeepaliveMax", server.MaxIdle)
	v.figure("FamilyInfo.Linger", server.AbandonedCallTime)
	v.figure("FamilyInfo.MemoryKb", server.MemoryKB)
	v.figure("FamilyInfo.RunFactor", server.RunMemoryFactor)
	for i, value := range server.DegradedValues {
		if !(value >= 0 && value <= 1) {
			v.found.Add(fmt.Sprintf("FamilyInfo.ClassSkipWorth[%d]", i), "from 0 to 1", "%v is out of range", value)
		}
	}
	v.word("FamilyInfo.Halt", server.Stop, stopNames)
	v.word("FamilyInfo.Downstream", server.Downstream, downstreamNames)
	v.word("FamilyInfo.Say", server.LoadReport, loadReportNames)
}

// figure checks that a number is in the range from 0 to maxFigure. The condition is written so that NaN is out of
// range.
func (v *validation) figure(path string, value float64) {
	if !(value >= 0 && value <= maxFigure) {
		v.found.Add(path, "from 0 to 1e12", "%v is out of range", value)
	}
}

// word checks that a value is absent or one of the known values.
func (v *validation) word(path, word string, known []string) {
	if word != "" && !slices.Contains(known, word) {
		v.found.Add(path, oneOf(known), "%q is not known", word)
	}
}

// unique checks that a name is not yet in seen, and adds it. A name that is not present may occur more than once.
func (v *validation) unique(path, name string, present bool, seen map[string]bool) {
	if present && seen[name] {
		v.found.Add(path, "each name once", "%q stands twice", name)
	}
	seen[name] = true
}

// oneOf describes a choice among words, for diagnostics.
func oneOf(words []string) string { return "one of " + strings.Join(words, ", ") }
