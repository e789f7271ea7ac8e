package chain

// Verdict is what a plug-in answered, decoded and not yet checked against anything.
type Verdict struct {
	Reject   bool
	Status   int    // of the answer, with Reject
	Category int    // to treat the request as; NoCategory leaves it as it is
	Tag      string // with HasTag
	HasTag   bool
	Body     []byte // the new result, with Replace
	Replace  bool
}

// NoCategory in Verdict.Category leaves a request in its category.
const NoCategory = -1

// Bounds that hold for every verdict, whatever the policy.
const (
	maxTagLength = 64

	// A plug-in rejects with a client error, minRejectStatus to below endRejectStatus, or with statusUnavailable. The
	// latter is also the status of requests rejected by a fallback policy.
	minRejectStatus   = 400
	endRejectStatus   = 500
	statusUnavailable = 503
)

// Fault is the reason why there is no verdict, or none that counts.
type Fault int

// The faults.
const (
	FaultTimeout      Fault = iota // the call exceeded its time
	FaultTrap                      // the plug-in failed by itself
	FaultMalformed                 // the verdict can't be read, or can't be meant by any plug-in
	FaultNotPermitted              // the verdict does what the policy does not permit
	FaultProcessDied               // the plug-in process ended during the call
	FaultUnavailable               // the plug-in could not be called: its process is absent, or its budget used up

	faultCount = iota // the number of faults
)

// faultNames are the faults' names in logs.
var faultNames = [faultCount]string{"late", "trap", "nonsense", "beyond its grant", "its process died", "absent"}

// String returns the fault's name in logs.
func (f Fault) String() string { return faultNames[f] }

// validate checks a verdict on an evaluation against the rules that hold for every plug-in and against the policy. It
// returns the fault if isFault.
func (p *Policy) validate(evaluation *Evaluation, verdict *Verdict) (fault Fault, isFault bool) {
	switch {
	case !verdict.isPlausible(len(p.TargetCategories)):
		return FaultMalformed, true
	case verdict.Replace && len(verdict.Body) >= len(evaluation.Body):
		// A result only becomes shorter, so that no limit on the size of results needs to be checked again.
		return FaultMalformed, true
	case !p.permits(evaluation, verdict):
		return FaultNotPermitted, true
	}
	return 0, false
}

// isPlausible reports whether any plug-in may give the verdict where there are so many categories.
func (v *Verdict) isPlausible(categories int) bool {
	if v.Reject && v.Status != statusUnavailable && (v.Status < minRejectStatus || v.Status >= endRejectStatus) {
		return false
	}
	return len(v.Tag) <= maxTagLength && v.Category < categories
}

// permits reports whether the policy permits a verdict at the evaluation's hook. A request that was started is never
// rejected; the category of an idempotency-keyed or non-idempotent request is part of its identity and stays.
func (p *Policy) permits(evaluation *Evaluation, verdict *Verdict) bool {
	if verdict.Reject && (!p.MayReject || evaluation.hook != HookRead) {
		return false
	}
	mayCategorize := evaluation.hook == HookRead && !evaluation.request.CategoryFixed
	if verdict.Category >= 0 && (!mayCategorize || !p.TargetCategories[verdict.Category]) {
		return false
	}
	if verdict.HasTag && !p.MayTag {
		return false
	}
	return !verdict.Replace || p.MayRewrite && evaluation.hook == HookResult
}
