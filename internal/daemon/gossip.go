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

// gossipSubsystem owns the gossip node of this process. The node is started once. If the section changes while the
// server runs, only new keys take effect.
type gossipSubsystem struct {
	node         *gossip.Node
	serverGossip *server.Gossip
}

// maxGossipCloseTime limits how long the end of the process waits for the gossip node. The server has announced its
// leave before, so that only sockets remain to be closed.
const maxGossipCloseTime = 50 * time.Millisecond

// close stops the node within timeToKill and maxGossipCloseTime, if it was started.
func (g *gossipSubsystem) close(timeToKill time.Duration) {
	if g.node != nil {
		g.node.CloseWithin(min(timeToKill, maxGossipCloseTime))
	}
}

// messageHandlers maps the kinds of messages from other servers to the functions that handle them.
type messageHandlers map[byte]func(from membership.ID, text []byte)

// configureGossip starts the gossip node if the section is present. If the node is already running, it only replaces
// the keys. handlers receive the messages for subsystems that are started together with the node.
func (d *daemon) configureGossip(
	section *config.Gossip, serverConfig server.Config, handlers messageHandlers,
) (*server.Gossip, error) {
	if section == nil {
		return nil, nil // gossip is optional, so a missing section is not an error
	}
	keys, err := section.LoadKeys(d.config.ServiceFile)
	if err != nil {
		return nil, err
	}
	if d.gossip.node != nil {
		if err := d.gossip.node.RotateKeys(keys); err != nil {
			return nil, err
		}
		return d.gossip.serverGossip, nil
	}
	serverGossip := &server.Gossip{}
	gossipConfig := d.gossipConfig(section, serverConfig, serverGossip)
	gossipConfig.Keys = keys
	gossipConfig.Handlers = handlers
	node, err := gossip.Start(gossipConfig)
	if err != nil {
		return nil, fmt.Errorf("start gossip: %w", err)
	}
	serverGossip.Node = node
	d.gossip.node = node
	d.gossip.serverGossip = serverGossip
	return serverGossip, nil
}

// gossipConfig returns the configuration of the gossip node, except its keys and handlers.
func (d *daemon) gossipConfig(section *config.Gossip, serverConfig server.Config,
	serverGossip *server.Gossip) gossip.Config {
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
		SettingsDigest:   digestFiles(d.config.PlatformFile, d.config.ServiceFile),
		OnChange:         serverGossip.ClusterChanged,
		OnUsage:          serverGossip.UsageReported,
		OnMemberEvent:    d.logMemberEvent,
		OnQuorumChange:   d.logQuorumChange,
		OnReconnect:      func(address string) { d.log.Event("reconnected").Str("address", address).Send() },
	}
}

// logMemberEvent logs a change of a member's state. The member may be this server itself.
func (d *daemon) logMemberEvent(
	event string, id membership.ID, from, to membership.State, cause membership.Cause,
) {
	d.log.Event(event).Str("member", id.Name).Str("incarnation", fmt.Sprintf("%016x", id.Incarnation)).
		Stringer("from", from).Stringer("to", to).Stringer("cause", cause).Send()
}

// logQuorumChange logs a change of the quorum status.
func (d *daemon) logQuorumChange(status membership.QuorumStatus, members int, epoch uint64) {
	d.log.Event("quorum_status").Stringer("status", status).Int("servers", members).Uint64("epoch", epoch).Send()
}

// serveStatus serves the status at an address, where the subcommands members and shares query it.
func (d *daemon) serveStatus(address string) error {
	extraPaths := map[string]func() (any, error){}
	if d.quota.service != nil {
		extraPaths[service.StatusPath] = d.quota.status
	}
	return d.gossip.node.ServeStatus(address, extraPaths)
}

// digestFiles returns a hash of the contents of files, by which operators see which servers run with different
// settings. A file that cannot be read counts as empty.
func digestFiles(files ...string) uint32 {
	hash := xxh3.New()
	for _, file := range files {
		if text, err := os.ReadFile(file); err == nil {
			_, _ = hash.Write(text) // Write of a hash never returns an error
		}
	}
	return uint32(hash.Sum64())
}
