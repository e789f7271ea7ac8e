package deployment

const (
	// MaxResultBytes is the maximum size of a result that is kept for repeats of its request.
	MaxResultBytes = 4 << 10

	maxEntryBytes      = MaxResultBytes + 1024 // upper bound on the memory of one idempotency entry
	entryMemoryDivisor = 3                     // one third of the memory is for entries
)

// MaxIdempotencyEntries returns the maximum number of idempotency entries of a process whose memory limit is
// memoryBytes, those restored from earlier processes included. A process that restores fewer than another may keep
// would have to reject requests that ran.
func MaxIdempotencyEntries(memoryBytes int) int {
	return max(1, memoryBytes/entryMemoryDivisor/maxEntryBytes)
}
