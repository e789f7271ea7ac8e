package main

import (
	"fmt"
	"os"
	"time"

	"github.com/zeebo/xxh3"

	"thistlequay/internal/config"
	"thistlequay/internal/gossip"
	"thistlequay/internal/membership"
	"thistlequay/internal/server"
)

// gossipSubsystem owns the gossip of this process. It is started once; of a section that changes while the server runs
// only the keys take effect.
type gossipSubsystem struct {
	node     *gossip.Node
	onServer *server.Gossip
}

// close leaves the fleet and stops gossip, where it was started.
func (g *gossipSubsystem) close() {
	if g.node != nil {
		g.node.Close()
	}
}

// messageHandlers deliver what other servers send, by the kind of message.
type messageHandlers map[byte]func(from membership.ID, text []byte)

// configureGossip starts gossip where a section asks for it, or gives what runs its new keys. The handlers are those of
// subsystems that are started with it.
func (s *serveCommand) configureGossip(section *config.Gossip, c server.Config, handlers messageHandlers) (*server.Gossip, error) {
	if section == nil {
		return nil, nil // without a section there is no gossip, which is no error
	}
	keys, err := section.LoadKeys(s.Service)
	if err != nil {
		return nil, err
	}
	if s.gossip.node != nil {
		if err := s.gossip.node.RotateKeys(keys); err != nil {
			return nil, err
		}
		return s.gossip.onServer, nil
	}
	onServer := &server.Gossip{}
	gossipConfig := s.gossipConfig(section, c, onServer)
	gossipConfig.Keys = keys
	gossipConfig.Handlers = handlers
	node, err := gossip.Start(gossipConfig)
	if err != nil {
		return nil, fmt.Errorf("start gossip: %w", err)
	}
	onServer.Node = node
	s.gossip.node = node
	s.gossip.onServer = onServer
	return onServer, nil
}

// gossipConfig makes the configuration of gossip from its section.
func (s *serveCommand) gossipConfig(section *config.Gossip, c server.Config, onServer *server.Gossip) gossip.Config {
	startedAt := time.Now().Add(s.ClockShift)
	self := membership.ID{Name: c.Name, Incarnation: uint64(startedAt.UnixMicro())}
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
		SettingsDigest:   digestOfFiles(s.Config, s.Service),
		OnChange:         onServer.ClusterChanged,
		OnUsage:          onServer.UsageReported,
		OnMemberEvent:    s.logMemberEvent,
		OnQuorumChange:   s.logQuorumChange,
	}
}

func (s *serveCommand) logMemberEvent(event string, id membership.ID, from, to membership.State, cause membership.Cause) {
	s.log.Event(event).Str("member", id.Name).Str("incarnation", fmt.Sprintf("%016x", id.Incarnation)).
		Stringer("from", from).Stringer("to", to).Stringer("cause", cause).Send()
}

func (s *serveCommand) logQuorumChange(status membership.QuorumStatus, members int, epoch uint64) {
	s.log.Event("quorum_status").Stringer("status", status).Int("servers", members).Uint64("epoch", epoch).Send()
}

// serveStatus has the process answer the verbs members and shares at an address.
func (s *serveCommand) serveStatus(address string) error {
	more := map[string]func() (any, error){}
	if s.quota.service != nil {
		more[quotaStatusPath] = s.quota.status
	}
	return s.gossip.node.ServeStatus(address, more)
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
