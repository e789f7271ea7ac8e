// Package membership concludes, from what a server hears of the other servers of its cluster, which of them are
// alive, which have failed and why, and whether this server may act for the cluster while servers are cut off from
// each other.
//
// It holds two state machines:
//
//   - View keeps a Member for each incarnation of each server. It takes the state updates that members publish
//     about themselves (ApplyUpdate) and the reports of the failure detector (ProbeSucceeded, RecordProbeFailure,
//     RecordSuspicion, Refuted, RecordFailure, RecordLeave,
//     DialFinished). The terms are those of SWIM and Serf.
//   - Agreement lets a few voters agree on the Configuration of the cluster by single-decree Paxos, and obtains a
//     quorum lease on it. QuorumStatus says whether this server belongs to the majority.
//
// Both are pure: they do no I/O, read no clock and start no goroutine. The host (package gossip) passes in the time
// and what was heard, and sends the messages that Agreement.TakeMessages returns. Neither is safe for concurrent use;
// the host calls both from one goroutine.
//
// What must always hold: an older state update never overrides a newer one; what only a member itself can say is
// taken from nobody else; two parts of a cluster that are cut off from each other never both belong to the majority.
package membership
