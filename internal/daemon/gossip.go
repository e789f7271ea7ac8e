package daemon

import (
	"fmt"
	"os"
	"time"

	"github.com/zeebo/xxh3"

	"thistlequay/internal/config"
	"thistlequay/internal/gossip"
	"thistlequay/internal/membership"
	"thistlequay/internal/quota/service"
	"thistlequay/internal/server"
)

// gossipSubsystem owns the gossip of this process. It is started once; of a section that changes while the server runs
// only the keys take effect.
type gossipSubsystem struct {
	node     *gossip.Node
	onServer *server.Gossip
}

// close leaves the cluster within timeout and stops gossip, where it was started.
func (g *gossipSubsystem) close(timeout time.Duration) {
	if g.node != nil {
		g.node.CloseWithin(timeout)
	}
}

// messageHandlers deliver what other servers send, by the kind of message.
type messageHandlers map[byte]func(from membership.ID, text []byte)

// configureGossip starts gossip where a section asks for it, or gives what runs its new keys. The handlers are those of
// subsystems that are started with it.
func (d *daemon) configureGossip(
	section *config.Gossip, serverConfig server.Config, handlers messageHandlers,
) (*server.Gossip, error) {
	if section == nil {
		return nil, nil // without a section there is no gossip, which is no error
	}
	keys, err := section.LoadKeys(d.config.ServiceFile)
	if err != nil {
		return nil, err
	}
	if d.gossip.node != nil {
		if err := d.gossip.node.RotateKeys(keys); err != nil {
			return nil, err
		}
		return d.gossip.onServer, nil
	}
	onServer := &server.Gossip{}
	gossipConfig := d.gossipConfig(section, serverConfig, onServer)
	gossipConfig.Keys = keys
	gossipConfig.Handlers = handlers
	node, err := gossip.Start(gossipConfig)
	if err != nil {
		return nil, fmt.Errorf("start gossip: %w", err)
	}
	onServer.Node = node
	d.gossip.node = node
	d.gossip.onServer = onServer
	return onServer, nil
}

// gossipConfig makes the configuration of gossip from its section.
func (d *daemon) gossipConfig(section *config.Gossip, serverConfig server.Config,
	onServer *server.Gossip) gossip.Config {
	startedAt := time.Now().Add(d.config.ClockShift)
	self := membership.ID{Name: serverConfig.Name, Incarnation: uint64(startedAt.UnixMicro())}
	members := membership.DefaultConfig(self)
	members.Zone = section.Zone
	members.Founders = section.InitialVoters
	members.InitialSize = section.ExpectedServers
	return gossip.Config{
		Membership:       members,
		ListenAddress:    section.Listen,
		AdvertiseAddress: section.Advertise,
		SeedAddresses:    section.SeedAddresses,
		ClusterName:      section.FleetName,
		Version:          shortRevision(),
		SettingsDigest:   digestOfFiles(d.config.PlatformFile, d.config.ServiceFile),
		OnChange:         onServer.ClusterChanged,
		OnUsage:          onServer.UsageReported,
		OnMemberEvent:    d.logMemberEvent,
		OnQuorumChange:   d.logQuorumChange,
	}
}

func (d *daemon) logMemberEvent(
	event string, id membership.ID, from, to membership.State, cause membership.Cause,
) {
	d.log.Event(event).Str("member", id.Name).Str("incarnation", fmt.Sprintf("%016x", id.Incarnation)).
		Stringer("from", from).Stringer("to", to).Stringer("cause", cause).Send()
}

func (d *daemon) logQuorumChange(status membership.QuorumStatus, members int, epoch uint64) {
	d.log.Event("quorum_status").Stringer("status", status).Int("servers", members).Uint64("epoch", epoch).Send()
}

// serveStatus has the process answer the verbs members and shares at an address.
func (d *daemon) serveStatus(address string) error {
	more := map[string]func() (any, error){}
	if d.quota.service != nil {
		more[service.StatusPath] = d.quota.status
	}
	return d.gossip.node.ServeStatus(address, more)
}

// digestOfFiles tells configurations apart by the bytes of their files. A file that cannot be read counts as empty.
func digestOfFiles(files ...string) uint32 {
	hash := xxh3.New()
	for _, file := range files {
		if text, err := os.ReadFile(file); err == nil {
			_, _ = hash.Write(text) // a hash never fails to take bytes
		}
	}
	return uint32(hash.Sum64())
}
