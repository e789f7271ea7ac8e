package membership

// QuorumStatus describes how much of the cluster a server may act for.
type QuorumStatus int

// The quorum statuses. Two sides of a network partition are never both in the majority.
const (
	Isolated QuorumStatus = iota // the server sees no other member alive
	Minority                     // it sees others, but either no majority or no proof of one
	Majority                     // it holds the quorum lease and sees more than half of the configured members alive
)

// QuorumStatusNames are the names shown to operators in the log and on the status page, indexed by QuorumStatus.
var QuorumStatusNames = []string{"alone", "part", "whole"}

// String returns the name shown to operators.
func (s QuorumStatus) String() string { return QuorumStatusNames[s] }

// Operation is a kind of joint operation of the servers that must be safe in every quorum status.
type Operation int

// The operations.
const (
	SizeOperation        Operation = iota // determining the number of servers in the cluster
	QuotaOperation                        // distributing quotas, which are shares of a cluster-wide limit
	ExclusiveOperation                    // taking turns at work that must not happen on two servers at once
	EntitlementOperation                  // dividing tenants' entitlements across the cluster
	RolloutOperation                      // advancing the steps of a rolling change
)

// Permission is the extent to which an operation is allowed.
type Permission int

// The permissions, from the least to the most.
const (
	NotPermitted      Permission = iota // only what is safe on a server alone
	GuaranteedMinimum                   // what is reserved for each member, and what the server holds until it expires
	ConfiguredMinimum                   // the number of servers does not fall below the configured one
	Unrestricted                        // no restriction, as in the whole cluster
)

// permissions lists, for each operation, the permission in the statuses Isolated, Minority and Majority, in this order.
// docs/membership/design.md gives the reasons.
var permissions = map[Operation][3]Permission{
	SizeOperation:        {ConfiguredMinimum, ConfiguredMinimum, Unrestricted},
	QuotaOperation:       {GuaranteedMinimum, GuaranteedMinimum, Unrestricted},
	ExclusiveOperation:   {NotPermitted, NotPermitted, Unrestricted},
	EntitlementOperation: {GuaranteedMinimum, GuaranteedMinimum, Unrestricted},
	RolloutOperation:     {NotPermitted, NotPermitted, Unrestricted},
}

// Permits returns the extent to which a server with this status may perform an operation.
func (s QuorumStatus) Permits(operation Operation) Permission { return permissions[operation][s] }
