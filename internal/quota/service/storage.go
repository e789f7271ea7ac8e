package service

import (
	"errors"

	"thistlequay/internal/consensus"
	"thistlequay/internal/quota/coordinator"
)

// ErrLocked means that another process uses the storage.
var ErrLocked = errors.New("coordinator storage is locked by another process")

// Storage stores the state that a named coordinator needs after a restart. It is used by one goroutine at a time.
type Storage interface {
	// Load returns the stored identity and state; saved is nil if there is none. A state that cannot be read is set
	// aside and counts as none.
	Load() (identity coordinator.Identity, saved *consensus.PersistentState, err error)
	// Reset replaces everything that is stored with the state of a new voter, which is durable on return.
	Reset(identity coordinator.Identity, state consensus.PersistentState) error
	// Save updates the stored state with the parts that are set in state, which are durable on return.
	Save(state consensus.PersistentState) error
	// SetAside moves the stored state to where Load does not find it, so that it can be inspected, and leaves the
	// storage empty.
	SetAside() error
	// Close releases the storage.
	Close() error
}
