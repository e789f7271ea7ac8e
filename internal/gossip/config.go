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

// Intervals of memberlist, all shorter than in its configuration for local networks (1, 10, 30 and 30 seconds), so that
// failures are known and partitions heal within seconds.
const (
	defaultProbeInterval = 500 * time.Millisecond // a probe times out after half of that
	streamTimeout        = 2 * time.Second
	pushPullInterval     = 15 * time.Second // between two full exchanges of state with some member
	gossipToDeadTime     = 10 * time.Second // how long updates still go to a member that has failed
)

const (
	// maxQueuedTasks bounds the messages and calls that wait for the worker, in memberlist's queue and in Node's own.
	// More are dropped.
	maxQueuedTasks = 1024
	// retransmitMultiplier times the logarithm of the number of members is how many members each member passes an
	// update on to.
	retransmitMultiplier = 1
	// delegateProtocol is the version of the delegate's messages, which all members must speak.
	delegateProtocol = 1
)

// Config is what a Node is started with.
type Config struct {
	// Membership configures the view of the cluster and names this server. It must be set.
	Membership membership.Config
	// ListenAddress is the host and port to listen on, for packets and streams. The host must be an IP address.
	ListenAddress string
	// AdvertiseAddress is where others reach this server. If it is empty, that is ListenAddress.
	AdvertiseAddress string
	// SeedAddresses are where other members are looked for, as long as none is known.
	SeedAddresses []string
	// ClusterName labels every packet and stream. Those of a cluster with another name are ignored.
	ClusterName string
	// Keys are the cluster's encryption keys, of 16, 24 or 32 bytes. The first encrypts, all of them decrypt. Without
	// keys nothing is encrypted.
	Keys [][]byte
	// Transport replaces the network, in tests. If it is nil, ListenAddress is listened on.
	Transport memberlist.Transport
	// Version is that of the program, for operators.
	Version string
	// SettingsDigest lets operators see which servers run with other settings.
	SettingsDigest uint32
	// ProbeInterval is the time between two probes of memberlist's failure detector; 0 stands for half a second.
	ProbeInterval time.Duration
	// Now is the clock. If it is nil, that is time.Now.
	Now func() time.Time

	// The functions below may be nil. They are called on the worker, unless it says otherwise, and must not block.

	// OnChange is called when the effective size of the cluster or the quorum status has changed.
	OnChange func(size int, status membership.QuorumStatus)
	// OnMemberEvent is called for each change of a member's state, with the name of the event to log.
	OnMemberEvent func(event string, id membership.ID, from, to membership.State, cause membership.Cause)
	// OnQuorumChange is called when the quorum status has changed.
	OnQuorumChange func(status membership.QuorumStatus, size int, epoch uint64)
	// OnUsage is called with what tenants used on another server, as it was age ago.
	OnUsage func(of membership.ID, age time.Duration, usage []membership.TenantUsage)
	// Handlers take the envelopes to this server by their kind, from FirstEnvelopeKind on. Envelopes of other kinds
	// are ignored.
	Handlers map[byte]func(from membership.ID, payload []byte)
}

// advertisedAddress is where others reach this server.
func (c *Config) advertisedAddress() string {
	if c.AdvertiseAddress != "" {
		return c.AdvertiseAddress
	}
	return c.ListenAddress
}

// probeInterval is the time between two probes of memberlist's failure detector.
func (c *Config) probeInterval() time.Duration {
	if c.ProbeInterval > 0 {
		return c.ProbeInterval
	}
	return defaultProbeInterval
}

// memberlistConfig returns the configuration of memberlist for this node. It opens the sockets.
func (n *Node) memberlistConfig() (*memberlist.Config, error) {
	list := memberlist.DefaultLANConfig()
	list.Name = nodeName(n.config.Membership.Self)
	list.Label = n.config.ClusterName
	list.ProbeInterval = n.config.probeInterval()
	list.ProbeTimeout = list.ProbeInterval / 2
	list.TCPTimeout = streamTimeout
	list.PushPullInterval = pushPullInterval
	list.GossipToTheDeadTime = gossipToDeadTime
	list.RequireNodeNames = false
	list.HandoffQueueDepth = maxQueuedTasks
	list.EnableCompression = false // updates are small, and a decompression bomb would be unpacked
	list.LogOutput = nil
	list.Logger = log.New(io.Discard, "", 0)
	events := delegate{n}
	list.Delegate = events
	list.Events = events
	list.Ping = events
	list.Alive = events
	list.DelegateProtocolMin = delegateProtocol
	list.DelegateProtocolMax = delegateProtocol
	list.DelegateProtocolVersion = delegateProtocol
	if n.keyring != nil {
		list.Keyring = n.keyring
	}
	if err := n.setAddresses(list); err != nil {
		return nil, err
	}
	return list, n.setTransport(list)
}

// setAddresses sets the addresses to listen on and to advertise.
func (n *Node) setAddresses(list *memberlist.Config) error {
	var err error
	list.BindAddr, list.BindPort, err = splitAddress(n.config.ListenAddress)
	if err != nil {
		return fmt.Errorf("address to listen on: %w", err)
	}
	list.AdvertiseAddr, list.AdvertisePort, err = splitAddress(n.config.advertisedAddress())
	if err != nil {
		return fmt.Errorf("address to advertise: %w", err)
	}
	return nil
}

// setTransport sets the configured transport, or one that listens.
func (n *Node) setTransport(list *memberlist.Config) error {
	list.Transport = n.config.Transport
	if list.Transport != nil {
		return nil
	}
	transport, err := newTransport(list.BindAddr, list.BindPort, &n.SentBytes)
	if err != nil {
		return err
	}
	list.Transport = transport
	return nil
}

// splitAddress splits a host and a port given as a number.
func splitAddress(address string) (host string, port int, err error) {
	host, service, err := net.SplitHostPort(address)
	if err != nil {
		return "", 0, err
	}
	port, err = strconv.Atoi(service)
	return host, port, err
}

// errNoKeys is returned for keys that are given to a cluster without, or taken from one with keys.
var errNoKeys = errors.New("a running cluster cannot start or stop using encryption keys")

// RotateKeys replaces the encryption keys while the node runs: the first encrypts from now on, all of them decrypt. On
// an error the keys may be partly replaced; the call can be repeated.
func (n *Node) RotateKeys(keys [][]byte) error {
	if n.keyring == nil || len(keys) == 0 {
		return errNoKeys
	}
	for _, key := range keys {
		if err := n.keyring.AddKey(key); err != nil {
			return fmt.Errorf("add an encryption key: %w", err)
		}
	}
	if err := n.keyring.UseKey(keys[0]); err != nil {
		return fmt.Errorf("use the first encryption key: %w", err)
	}
	return n.removeOtherKeys(keys)
}

// removeOtherKeys removes all encryption keys but those given.
func (n *Node) removeOtherKeys(keys [][]byte) error {
	for _, known := range slices.Clone(n.keyring.GetKeys()) {
		isKept := slices.ContainsFunc(keys, func(key []byte) bool { return bytes.Equal(key, known) })
		if isKept {
			continue
		}
		if err := n.keyring.RemoveKey(known); err != nil {
			return fmt.Errorf("remove an encryption key: %w", err)
		}
	}
	return nil
}
