package gossip

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"slices"
	"strconv"
	"time"

	"github.com/hashicorp/memberlist"

	"thistlequay/internal/membership"
)

// Intervals and timeouts that are passed to memberlist. All are shorter than in its configuration for local networks
// (1, 10, 30 and 30 seconds), so that failures are detected and partitions heal within seconds.
const (
	defaultProbeInterval = 500 * time.Millisecond // the probe timeout is half of this
	streamTimeout        = 2 * time.Second        // for connecting, reading and writing
	pushPullInterval     = 15 * time.Second       // between two full state exchanges with a random member
	gossipToDeadTime     = 10 * time.Second       // how long updates are still sent to a failed member
)

const (
	// maxQueuedTasks limits the messages and tasks that wait for the worker, both in memberlist's queue and in the
	// Node's own. Further ones are dropped.
	maxQueuedTasks = 1024
	// retransmitMultiplier times the logarithm of the number of members is the number of members to which each member
	// passes an update on.
	retransmitMultiplier = 1
	// In a cluster of fewer than smallClusterMembers, each member would pass an update on to one other, often to its
	// sender. There an update is passed on as often as in a cluster of smallClusterRetransmitMembers: four times, which
	// is what memberlist does in small clusters by default.
	smallClusterMembers           = 10
	smallClusterRetransmitMembers = 1000
	// delegateProtocolVersion is the version of the delegate's messages. All members must use the same version.
	delegateProtocolVersion = 1
)

// Config configures a Node.
type Config struct {
	// Membership configures the cluster view and identifies this server. It is required.
	Membership membership.Config
	// ListenAddress is the host and port to listen on, for both packets and streams. The host must be an IP address.
	ListenAddress string
	// AdvertiseAddress is the host and port at which other members reach this server. If it is empty, ListenAddress is
	// advertised.
	AdvertiseAddress string
	// SeedAddresses are the addresses at which the node looks for other members while it knows none.
	SeedAddresses []string
	// ClusterName labels every packet and stream. Packets and streams with the label of another cluster are ignored.
	ClusterName string
	// Keys are the cluster's encryption keys, each 16, 24 or 32 bytes long. The first key encrypts, and all of them
	// decrypt. Without keys, nothing is encrypted.
	Keys [][]byte
	// Transport replaces the network in tests. If it is nil, the node listens on ListenAddress.
	Transport memberlist.Transport
	// Version is the program version, which is shown to operators.
	Version string
	// SettingsDigest is a digest of the settings in use. It lets operators see which servers run with different
	// settings.
	SettingsDigest uint32
	// ProbeInterval is the time between two probes of memberlist's failure detector. 0 means half a second.
	ProbeInterval time.Duration
	// Now returns the current time. If it is nil, time.Now is used.
	Now func() time.Time

	// The functions below may be nil. Except for OnReconnect, they are called on the worker goroutine. They must not
	// block.

	// OnChange is called when the effective size of the cluster or the quorum status has changed.
	OnChange func(size int, status membership.QuorumStatus)
	// OnMemberEvent is called for each change of a member's state. event is the name of the event to log.
	OnMemberEvent func(event string, id membership.ID, from, to membership.State, cause membership.Cause)
	// OnQuorumChange is called when the quorum status has changed.
	OnQuorumChange func(status membership.QuorumStatus, size int, epoch uint64)
	// OnReconnect is called, on a goroutine of the node, when the node has reconnected to a failed member or to a seed.
	OnReconnect func(address string)
	// OnUsage is called with the tenant usage that another server reported. age is the age of the report.
	OnUsage func(reporter membership.ID, age time.Duration, usage []membership.TenantUsage)
	// Handlers handle the envelopes that are sent to this server, by the kind of envelope. Kinds start at
	// FirstEnvelopeKind. Envelopes of a kind without a handler are ignored.
	Handlers map[byte]func(from membership.ID, payload []byte)
}

// advertisedAddress returns the address at which other members reach this server.
func (c *Config) advertisedAddress() string {
	if c.AdvertiseAddress != "" {
		return c.AdvertiseAddress
	}
	return c.ListenAddress
}

// probeInterval returns the time between two probes of memberlist's failure detector.
func (c *Config) probeInterval() time.Duration {
	if c.ProbeInterval > 0 {
		return c.ProbeInterval
	}
	return defaultProbeInterval
}

// memberlistConfig returns memberlist's configuration for this node. Unless Config.Transport is set, it opens the
// listening sockets.
func (n *Node) memberlistConfig() (*memberlist.Config, error) {
	listConfig := memberlist.DefaultLANConfig()
	listConfig.Name = nodeName(n.config.Membership.Self)
	listConfig.Label = n.config.ClusterName
	listConfig.ProbeInterval = n.config.probeInterval()
	listConfig.ProbeTimeout = listConfig.ProbeInterval / 2
	listConfig.TCPTimeout = streamTimeout
	listConfig.PushPullInterval = pushPullInterval
	listConfig.GossipToTheDeadTime = gossipToDeadTime
	listConfig.RequireNodeNames = false
	listConfig.HandoffQueueDepth = maxQueuedTasks
	listConfig.EnableCompression = false // updates are small, and a decompression bomb would be expanded
	listConfig.LogOutput = nil
	listConfig.Logger = log.New(io.Discard, "", 0)
	callbacks := delegate{n}
	listConfig.Delegate = callbacks
	listConfig.Events = callbacks
	listConfig.Ping = callbacks
	listConfig.Alive = callbacks
	listConfig.DelegateProtocolMin = delegateProtocolVersion
	listConfig.DelegateProtocolMax = delegateProtocolVersion
	listConfig.DelegateProtocolVersion = delegateProtocolVersion
	if n.keyring != nil {
		listConfig.Keyring = n.keyring
	}
	if err := n.setAddresses(listConfig); err != nil {
		return nil, err
	}
	return listConfig, n.setTransport(listConfig)
}

// setAddresses sets the addresses to listen on and to advertise in memberlist's configuration.
func (n *Node) setAddresses(listConfig *memberlist.Config) error {
	var err error
	listConfig.BindAddr, listConfig.BindPort, err = splitAddress(n.config.ListenAddress)
	if err != nil {
		return fmt.Errorf("parse listen address: %w", err)
	}
	listConfig.AdvertiseAddr, listConfig.AdvertisePort, err = splitAddress(n.config.advertisedAddress())
	if err != nil {
		return fmt.Errorf("parse advertise address: %w", err)
	}
	return nil
}

// setTransport sets Config.Transport as memberlist's transport or, if that is nil, a new one that listens on the
// network.
func (n *Node) setTransport(listConfig *memberlist.Config) error {
	listConfig.Transport = n.config.Transport
	if listConfig.Transport != nil {
		return nil
	}
	transport, err := newTransport(listConfig.BindAddr, listConfig.BindPort, &n.SentBytes)
	if err != nil {
		return err
	}
	listConfig.Transport = transport
	return nil
}

// splitAddress splits an address into its host and its numeric port.
func splitAddress(address string) (host string, port int, err error) {
	host, portText, err := net.SplitHostPort(address)
	if err != nil {
		return "", 0, err
	}
	port, err = strconv.Atoi(portText)
	return host, port, err
}

// errEncryptionFixed is returned by RotateKeys if the cluster runs without encryption, or if no keys are given to a
// cluster that encrypts.
var errEncryptionFixed = errors.New("a running cluster cannot start or stop using encryption keys")

// RotateKeys replaces the encryption keys while the node runs. From then on the first key encrypts, and all of them
// decrypt. After an error the keys may be partly replaced; the call can be repeated.
func (n *Node) RotateKeys(keys [][]byte) error {
	if n.keyring == nil || len(keys) == 0 {
		return errEncryptionFixed
	}
	for _, key := range keys {
		if err := n.keyring.AddKey(key); err != nil {
			return fmt.Errorf("add encryption key: %w", err)
		}
	}
	if err := n.keyring.UseKey(keys[0]); err != nil {
		return fmt.Errorf("use first encryption key: %w", err)
	}
	return n.removeOtherKeys(keys)
}

// removeOtherKeys removes every encryption key that is not in keys.
func (n *Node) removeOtherKeys(keys [][]byte) error {
	for _, known := range slices.Clone(n.keyring.GetKeys()) {
		isKept := slices.ContainsFunc(keys, func(key []byte) bool { return bytes.Equal(key, known) })
		if isKept {
			continue
		}
		if err := n.keyring.RemoveKey(known); err != nil {
			return fmt.Errorf("remove encryption key: %w", err)
		}
	}
	return nil
}
