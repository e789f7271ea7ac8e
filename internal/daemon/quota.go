package daemon

import (
	"fmt"
	"reflect"

	"thistlequay/internal/config"
	"thistlequay/internal/gossip"
	"thistlequay/internal/logs"
	"thistlequay/internal/quota"
	"thistlequay/internal/quota/service"
	"thistlequay/internal/server"
)

// quotaSubsystem owns the quota service of this process. The service is started once, together with gossip. If the
// section changes while the server runs, only new totals take effect, and only under a later revision.
type quotaSubsystem struct {
	service     *service.Service
	serverQuota *server.Quota
	section     *config.Quota // the section in effect; nil if there are no quotas
}

// close stops the quota service, if it was created.
func (q *quotaSubsystem) close() {
	if q.service != nil {
		q.service.Close()
	}
}

// createQuotaService creates the quota service. quotaSubsystem.start starts it once gossip runs.
func (d *daemon) createQuotaService(section *config.Quota, gossipSection *config.Gossip,
	serverConfig server.Config) error {
	serverQuota := &server.Quota{}
	limits := section.Limits()
	serviceConfig := service.Config{
		LimitNames:   config.LimitNames[:len(limits)],
		Limits:       limits,
		ConfigDigest: section.Digest(),
		Revision:     uint64(section.Revision),
		Coordinators: section.Coordinators,
		ServerName:   serverConfig.Name,
		BootstrapLog: section.StartFresh,
		ClusterName:  gossipSection.FleetName,
		Seed:         serverConfig.Seed,
		OnResponse:   serverQuota.DeliverResponse,
		Log:          func(event string, keys ...any) { d.log.Event(event).Fields(keys).Send() },
	}
	if section.Directory != "" {
		path := section.DirectoryPath(d.config.ServiceFile)
		storage, err := service.OpenFileStorage(path)
		if err != nil {
			return fmt.Errorf("open the coordinator's state in %s: %w", path, err)
		}
		serviceConfig.Storage = storage
	}
	d.quota.service = service.New(serviceConfig)
	serverQuota.Service = d.quota.service
	d.quota.serverQuota = serverQuota
	return nil
}

// start creates a lease holder for each limit and starts the service. A holder does not use its guaranteed minimum
// before the grace period has passed, because work of an earlier incarnation of this server may still be running.
func (q *quotaSubsystem) start(section *config.Quota, node *gossip.Node) error {
	limits := section.Limits()
	minimumUsableFrom := node.Now() + limits[0].GracePeriod
	name := service.HolderName(node.LocalID())
	for _, limit := range limits {
		holder := quota.NewLeaseHolder(name, limit, true, minimumUsableFrom)
		q.serverQuota.LeaseHolders = append(q.serverQuota.LeaseHolders, holder)
	}
	if err := q.service.Start(node); err != nil {
		return err
	}
	q.section = section
	return nil
}

// updateTotals applies the totals of a section that has a later revision and is otherwise equal.
func (q *quotaSubsystem) updateTotals(section *config.Quota) {
	if q.service == nil || section == nil {
		return
	}
	isLater := section.Revision > q.section.Revision
	if isLater && section.Digest() == q.section.Digest() {
		q.service.UpdateTotals(uint64(section.Revision), section.Totals())
		q.section = section
	}
}

// logIgnoredChange logs an event if the section was changed in a way that does not take effect while the server runs.
func (q *quotaSubsystem) logIgnoredChange(section *config.Quota, log logs.Logger) {
	if q.section == nil || q.isInEffect(section) {
		return
	}
	const reason = "while the server runs, only the totals can change, and only under a later revision"
	log.Event("quota_settings_unchanged").Str("reason", reason).Send()
}

// isInEffect reports whether the settings of a section are those that the service uses.
func (q *quotaSubsystem) isInEffect(section *config.Quota) bool {
	if section == nil || section.Digest() != q.section.Digest() {
		return false
	}
	return section.Revision != q.section.Revision || reflect.DeepEqual(section.Totals(), q.section.Totals())
}

// status returns the status that the subcommand shares prints.
func (q *quotaSubsystem) status() (any, error) {
	return q.service.Status(q.serverQuota.LocalState())
}
