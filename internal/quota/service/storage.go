package service

import (
	"errors"

	"thistlequay/internal/consensus"
	"thistlequay/internal/quota/coordinator"
)

// ErrLocked means that another process uses the storage.
var ErrLocked = errors.New("another process uses this coordinator's storage")

// Storage keeps what a named coordinator must find again after a restart. It is used by one goroutine at a time.
type Storage interface {
	// Load returns the state, or nil if there is none. A state that cannot be read is set aside and counts as none.
	Load() (identity coordinator.Identity, saved *consensus.PersistentState, err error)
	// Begin replaces all that is stored with the state of a new voter. It is durable on return.
	Begin(identity coordinator.Identity, state consensus.PersistentState) error
	// Save adds to the state what is set in state. It is durable on return.
	Save(state consensus.PersistentState) error
	// SetAside keeps the stored state for inspection where Load does not find it, and begins an empty storage.
	SetAside() error
	// Close releases the storage.
	Close() error
}
