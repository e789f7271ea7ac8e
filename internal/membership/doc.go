// Package membership decides, from the messages that a server receives, which servers of its cluster are alive, which
// have failed and why, and whether this server may act for the cluster during a network partition.
//
// It contains two state machines:
//
//   - View holds a Member for each incarnation of each server. Its inputs are the state updates that members publish
//     about themselves (ApplyUpdate) and the reports of the failure detector (ProbeSucceeded, RecordProbeFailure,
//     RecordSuspicion, Refuted, RecordFailure, RecordLeave, DialFinished). The terminology follows SWIM and Serf.
//   - Agreement lets a small set of voters agree on the Configuration of the cluster by single-decree Paxos and obtains
//     a quorum lease on it. QuorumStatus reports whether this server belongs to the majority.
//
// Neither performs I/O, reads a clock or starts a goroutine. The host (package gossip) passes in the time and the
// messages received, and sends the messages that Agreement.TakeMessages returns. Neither is safe for concurrent use;
// the host calls both from one goroutine.
//
// The package maintains these invariants:
//
//   - An older state update never overrides a newer one.
//   - A statement that only a member itself can make is accepted from no other member.
//   - Two sides of a network partition never both belong to the majority.
package membership
