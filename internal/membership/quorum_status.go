package membership

// QuorumStatus is what a server says of its own view.
type QuorumStatus int

const (
	Isolated QuorumStatus = iota // it hears nobody
	Minority                     // it hears some, a minority of the fleet that was agreed on, or cannot tell
	Majority                     // a majority of the voters supports it and it hears more than half of that fleet
)

// QuorumStatusNames as operators read them.
var QuorumStatusNames = []string{"alone", "part", "whole"}

func (s QuorumStatus) String() string { return QuorumStatusNames[s] }

// Operation is something that servers do together.
type Operation int

const (
	SizeOperation        Operation = iota // the figure of servers that the module reckons with
	QuotaOperation                        // parts of a limit of the whole fleet
	ExclusiveOperation                    // turns at what must not come together
	EntitlementOperation                  // tenants' parts over the fleet
	RolloutOperation                      // steps of a rolling change
)

// Permission is how much of a use is allowed.
type Permission int

const (
	NotPermitted      Permission = iota // none of it: the server does what is safe alone
	GuaranteedMinimum                   // what is kept for each who may exist, and what it holds until that ends
	ConfiguredMinimum                   // no less than was agreed on
	Unrestricted                        // as the whole
)

var permissions = map[Operation][3]Permission{ // alone, part, whole
	SizeOperation:        {ConfiguredMinimum, ConfiguredMinimum, Unrestricted},
	QuotaOperation:       {GuaranteedMinimum, GuaranteedMinimum, Unrestricted},
	ExclusiveOperation:   {NotPermitted, NotPermitted, Unrestricted},
	EntitlementOperation: {GuaranteedMinimum, GuaranteedMinimum, Unrestricted},
	RolloutOperation:     {NotPermitted, NotPermitted, Unrestricted},
}

// Permits says how much of a use is allowed to a server that stands so. Docs/peers/design.md has the reasons.
func (s QuorumStatus) Permits(u Operation) Permission { return permissions[u][s] }
