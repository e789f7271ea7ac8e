package deployment

import (
	"fmt"
	"slices"
	"strings"

	"thistlequay/internal/diagnostics"
)

// maxNumber is the upper limit of all numbers. No setting can reasonably exceed it: as a time in milliseconds, it is
// about 30 years.
const maxNumber = 1e12

// validator collects the diagnostics for settings.
type validator struct{ found diagnostics.List }

// Validate checks all values. The error is a diagnostics.List, sorted by path, of all numbers out of range, unknown
// names and contradictions.
func (s *settings) Validate() error {
	var v validator
	if len(s.Categories) == 0 {
		v.found.Add("Categories", "at least one category", "there is none")
	}
	seenCategories := map[string]bool{}
	for i := range s.Categories {
		path := fmt.Sprintf("Categories[%d]", i)
		v.checkCategory(path, &s.Categories[i])
		v.checkUnique(path+".Name", s.Categories[i].Name, s.Categories[i].Name != "", seenCategories)
	}
	v.checkServer(&s.Server)
	v.checkNumber("Servers", float64(s.Servers))
	v.checkNumber("Limits.MaxRetryAfter", s.Limits.MaxRetryAfter)
	v.checkNumber("Period", s.Period)
	v.checkNumber("Rules.Cold", s.Rules.WarmUpTime)
	v.checkNumber("Rules.ColdFrom", s.Rules.ColdSpeed)
	v.checkNumber("Rules.DrainGrace", s.Rules.DrainGrace)
	v.checkNumber("Rules.TipMultiple", s.Rules.OverloadThreshold)
	seenTenants := map[string]bool{}
	for i, tenant := range s.Tenants {
		path := fmt.Sprintf("Tenants[%d]", i)
		v.checkUnique(path+".Name", tenant.Name, true, seenTenants)
		v.checkNumber(path+".Share", tenant.Weight)
	}
	slices.SortStableFunc(v.found, func(a, b diagnostics.Diagnostic) int { return strings.Compare(a.Path, b.Path) })
	return v.found.Err()
}

// checkCategory checks one category, except that its name is unique.
func (v *validator) checkCategory(path string, category *categorySettings) {
	v.checkNumber(path+".HardLimit", category.Deadline)
	v.checkNumber(path+".LateWorth", category.LateValue)
	v.checkNumber(path+".OnTime", category.SoftDeadline)
	v.checkNumber(path+".Worth", category.Weight)
	v.checkNumber(path+".Window", category.window())
	if category.Idempotency == "" {
		v.found.Add(path+".Effect", oneOf(idempotencyNames), "is missing")
	} else {
		v.checkChoice(path+".Effect", category.Idempotency, idempotencyNames)
	}
	if category.SoftDeadline > category.Deadline && category.SoftDeadline <= maxNumber {
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

// checkServer checks the settings of the server.
func (v *validator) checkServer(server *serverSettings) {
	if server.Cores < 1 {
		v.found.Add("FamilyInfo.Cores", "at least one core", "%d", server.Cores)
	}
	v.checkNumber("FamilyInfo.CallShare", server.DownstreamLimit)
	v.checkNumber("FamilyInfo.Callers", float64(server.Routers))
	v.checkNumber("FamilyInfo.CallsOver", server.DownstreamWindow)
	v.checkNumber("FamilyInfo.Cores", float64(server.Cores))
	v.checkNumber("FamilyInfo.EntryKb", server.EntryKB)
	v.checkNumber("FamilyInfo.Fresh", server.ResultTTL)
	v.checkNumber("FamilyInfo.KeepaliveMax", server.MaxIdle)
	v.checkNumber("FamilyInfo.Linger", server.AbandonedCallTime)
	v.checkNumber("FamilyInfo.MemoryKb", server.MemoryKB)
	v.checkNumber("FamilyInfo.RunFactor", server.RunMemoryFactor)
	for i, value := range server.DegradedValues {
		if !(value >= 0 && value <= 1) {
			v.found.Add(fmt.Sprintf("FamilyInfo.ClassSkipWorth[%d]", i), "from 0 to 1", "%v is out of range", value)
		}
	}
	v.checkChoice("FamilyInfo.Halt", server.Stop, stopNames)
	v.checkChoice("FamilyInfo.Downstream", server.Downstream, downstreamNames)
	v.checkChoice("FamilyInfo.Say", server.LoadReport, loadReportNames)
}

// checkNumber checks that a number is in the range from 0 to maxNumber. The condition is written so that NaN is out of
// range.
func (v *validator) checkNumber(path string, value float64) {
	if !(value >= 0 && value <= maxNumber) {
		v.found.Add(path, "from 0 to 1e12", "%v is out of range", value)
	}
}

// checkChoice checks that a value is absent or one of the known values.
func (v *validator) checkChoice(path, choice string, known []string) {
	if choice != "" && !slices.Contains(known, choice) {
		v.found.Add(path, oneOf(known), "%q is not known", choice)
	}
}

// checkUnique checks that a name is not yet in seen, and adds it. A name that is not present may occur more than once.
func (v *validator) checkUnique(path, name string, present bool, seen map[string]bool) {
	if present && seen[name] {
		v.found.Add(path, "each name once", "%q stands twice", name)
	}
	seen[name] = true
}

// oneOf describes a choice among names, for diagnostics.
func oneOf(names []string) string { return "one of " + strings.Join(names, ", ") }
