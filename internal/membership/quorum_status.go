package membership

// QuorumStatus says how much of the cluster a server may speak for.
type QuorumStatus int

// The quorum statuses. Two parts of a cluster that are cut off from each other are never both in the majority.
const (
	Isolated QuorumStatus = iota // it hears nobody
	Minority                     // it hears some, but less than a majority, or it cannot tell
	Majority                     // it holds the quorum lease and hears more than half of the configured members
)

// QuorumStatusNames are the names that operators see in the log and in the status page, by number.
var QuorumStatusNames = []string{"alone", "part", "whole"}

// String returns the name that operators see.
func (s QuorumStatus) String() string { return QuorumStatusNames[s] }

// Operation is something that servers do together and that must be safe in every quorum status.
type Operation int

// The operations.
const (
	SizeOperation        Operation = iota // the number of servers that each reckons with
	QuotaOperation                        // quotas: parts of a limit of the whole cluster
	ExclusiveOperation                    // turns at what must not happen on two servers at once
	EntitlementOperation                  // tenants' parts over the cluster
	RolloutOperation                      // steps of a rolling change
)

// Permission says how much of an operation is allowed.
type Permission int

// The permissions, from the least to the most.
const (
	NotPermitted      Permission = iota // the server does only what is safe alone
	GuaranteedMinimum                   // what is reserved for every member, and what it holds until that expires
	ConfiguredMinimum                   // no fewer servers than were agreed on
	Unrestricted                        // as the whole cluster
)

// permissions has a row for each operation: for Isolated, Minority, Majority. docs/membership/design.md has the
// reasons.
var permissions = map[Operation][3]Permission{
	SizeOperation:        {ConfiguredMinimum, ConfiguredMinimum, Unrestricted},
	QuotaOperation:       {GuaranteedMinimum, GuaranteedMinimum, Unrestricted},
	ExclusiveOperation:   {NotPermitted, NotPermitted, Unrestricted},
	EntitlementOperation: {GuaranteedMinimum, GuaranteedMinimum, Unrestricted},
	RolloutOperation:     {NotPermitted, NotPermitted, Unrestricted},
}

// Permits returns how much of an operation a server with this status may do.
func (s QuorumStatus) Permits(operation Operation) Permission { return permissions[operation][s] }
