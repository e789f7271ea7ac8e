package daemon

import (
	"fmt"
	"reflect"
	"sync/atomic"

	"thistlequay/internal/config"
	"thistlequay/internal/segmentlog"
	"thistlequay/internal/server"
	"thistlequay/timeunit"
)

// storeSubsystem owns the open store and the section with which it was opened.
type storeSubsystem struct {
	section  *config.Store
	recovery *server.Recovery
}

// isBusy reports whether the store still waits for the disk after the server has closed it. The process then exits
// only once the disk has answered.
func (s *storeSubsystem) isBusy() bool {
	if s.recovery == nil {
		return false
	}
	select {
	case <-s.recovery.Store.Done():
		return false
	default:
		return true
	}
}

// configureStore opens the store at startup. While the server runs, the store stays as it is: if the section has
// changed, the result is nil, and the server then logs that this setting requires a restart.
func (d *daemon) configureStore(section *config.Store, serverConfig server.Config) (*server.Recovery, error) {
	isRunning := d.server != nil
	if isRunning {
		if reflect.DeepEqual(section, d.store.section) {
			return d.store.recovery, nil
		}
		return nil, nil
	}
	d.store.section = section
	if section == nil {
		return nil, nil // the store is optional, so a missing section is not an error
	}
	path := section.DirectoryPath(d.config.ServiceFile)
	files, err := segmentlog.OpenDirectory(path)
	if err != nil {
		return nil, fmt.Errorf("open the store in %s: %w", path, err)
	}
	// The log needs the callback for finished writes now, but the server that sets it does not exist yet.
	var onDurable atomic.Pointer[func([]segmentlog.WriteResult)]
	logConfig := section.LogConfig(serverConfig.Settings, serverConfig.MemoryBytes)
	logConfig.OnWritten = func(results []segmentlog.WriteResult) {
		if deliver := onDurable.Load(); deliver != nil {
			(*deliver)(results)
		}
	}
	applyMemoryLimit(serverConfig) // reading the log takes up much of the memory
	opened, err := segmentlog.Open(files, logConfig)
	if err != nil {
		return nil, fmt.Errorf("open the store in %s: %w", path, err)
	}
	d.logOpenedStore(path, opened, logConfig.Now().Wall)
	d.store.recovery = &server.Recovery{
		Store:     opened,
		OnDurable: func(deliver func([]segmentlog.WriteResult)) { onDurable.Store(&deliver) },
	}
	return d.store.recovery, nil
}

// logOpenedStore logs each corruption that was found when the store was opened, and a summary of its contents.
func (d *daemon) logOpenedStore(path string, opened *segmentlog.Log, now timeunit.Ticks) {
	for _, found := range opened.Findings {
		d.log.Event("store_corruption").Str("file", found.File).Int64("offset", found.Offset).
			Str("kind", found.Corruption.String()).Bool("lost", found.DataLoss).Send()
	}
	rejectsFor := timeunit.Ticks(0)
	if opened.RejectUntil != 0 {
		rejectsFor = max(0, opened.RejectUntil-now)
	}
	d.log.Event("store_open").Str("directory", path).Int("records", opened.RecordCount).
		Int("idempotency_entries", len(opened.Outcomes)).
		Int64("rejects_for_ms", rejectsFor.Milliseconds()).Send()
}
