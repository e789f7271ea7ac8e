package chain

// Verdict is the decoded response of a plug-in. It has not yet been validated.
type Verdict struct {
	Reject   bool
	Status   int    // status of the response, if Reject is set
	Category int    // category to move the request to, or NoCategory
	Tag      string // new tag, if HasTag is set
	HasTag   bool
	Body     []byte // new result, if Replace is set
	Replace  bool
}

// NoCategory is the value of Verdict.Category that leaves the request in its category.
const NoCategory = -1

// Bounds that apply to every verdict, whatever the policy.
const (
	maxTagLength = 64 // bytes

	// A plug-in may reject a request with a client error, from minRejectStatus up to but not including endRejectStatus,
	// or with statusUnavailable. A fallback policy rejects requests with statusUnavailable too.
	minRejectStatus   = 400
	endRejectStatus   = 500
	statusUnavailable = 503
)

// Fault is the reason why a call gave no verdict or why its verdict was not accepted.
type Fault int

// The faults.
const (
	FaultTimeout      Fault = iota // the call exceeded its timeout
	FaultTrap                      // the plug-in crashed or failed
	FaultMalformed                 // the verdict cannot be decoded, or is invalid under any policy
	FaultNotPermitted              // the policy does not permit the verdict
	FaultProcessDied               // the plug-in process ended during the call
	FaultUnavailable               // the plug-in could not be called: it has no process, or its budget is used up

	faultCount = iota // number of kinds of faults
)

// faultNames are the names of the faults in logs.
var faultNames = [faultCount]string{"late", "trap", "nonsense", "beyond its grant", "its process died", "absent"}

// String returns the name of the fault in logs.
func (f Fault) String() string { return faultNames[f] }

// validate checks the verdict of a call in an evaluation against the bounds for every verdict and against the policy.
// If the verdict is not accepted, isFault is true and fault is the reason.
func (p *Policy) validate(evaluation *Evaluation, verdict *Verdict) (fault Fault, isFault bool) {
	switch {
	case !verdict.isWellFormed(len(p.TargetCategories)):
		return FaultMalformed, true
	case verdict.Replace && len(verdict.Body) >= len(evaluation.Body):
		// A replacement must be shorter than the result, so that size limits on results need not be checked again.
		return FaultMalformed, true
	case !p.permits(evaluation, verdict):
		return FaultNotPermitted, true
	}
	return 0, false
}

// isWellFormed reports whether the verdict is valid under any policy, given the number of categories.
func (v *Verdict) isWellFormed(categoryCount int) bool {
	if v.Reject && v.Status != statusUnavailable && (v.Status < minRejectStatus || v.Status >= endRejectStatus) {
		return false
	}
	return len(v.Tag) <= maxTagLength && v.Category < categoryCount
}

// permits reports whether the policy permits a verdict at the evaluation's hook. A request that has been started is
// never rejected. The category of a keyed or non-idempotent request is part of its identity and never changes.
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
