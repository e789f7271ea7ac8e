package gossip

import (
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/memberlist"
	"github.com/stretchr/testify/require"

	"thistlequay/internal/membership"
)

const (
	testCluster = "test"
	testKey     = "0123456789abcdef"
)

// virtualNetwork carries the traffic of many nodes in one process, in the virtual time of a synctest bubble.
type virtualNetwork struct {
	lock          sync.Mutex
	random        *rand.Rand
	transports    map[string]*virtualTransport
	isCut         func(from, to string) bool // whether traffic between two addresses is lost
	lossRate      float64                    // fraction of packets and connection attempts that are lost
	isUnencrypted bool                       // the nodes do not encrypt
	sentBytes     atomic.Int64
}

// virtualTransport is one node's transport on a virtualNetwork.
type virtualTransport struct {
	network *virtualNetwork
	address string
	packets chan *memberlist.Packet
	streams chan net.Conn
	closed  atomic.Bool
}

var errUnreachable = errors.New("address unreachable")

var _ io.Writer = (*countingConn)(nil)

func newVirtualNetwork(seed int64) *virtualNetwork {
	return &virtualNetwork{random: rand.New(rand.NewSource(seed)), transports: map[string]*virtualTransport{}}
}

// setCut replaces the function that tells whether traffic between two addresses is lost; nil means that none is.
func (n *virtualNetwork) setCut(isCut func(from, to string) bool) {
	n.lock.Lock()
	defer n.lock.Unlock()
	n.isCut = isCut
}

// addressOf returns the address of the transport with the given number.
func addressOf(number int) string {
	return fmt.Sprintf("10.%d.%d.%d:7946", number>>16, number>>8&255, number&255)
}

// newTransport adds a transport to the network. Its address is derived from number.
func (n *virtualNetwork) newTransport(number int) *virtualTransport {
	transport := &virtualTransport{
		network: n,
		address: addressOf(number),
		packets: make(chan *memberlist.Packet, 4096),
		streams: make(chan net.Conn, 64),
	}
	n.lock.Lock()
	defer n.lock.Unlock()
	n.transports[transport.address] = transport
	return transport
}

// route returns the transport at an address and the delay of a packet to it, or nil if the packet is lost.
func (t *virtualTransport) route(address string) (*virtualTransport, time.Duration) {
	network := t.network
	network.lock.Lock()
	defer network.lock.Unlock()
	to := network.transports[address]
	if to == nil || to.closed.Load() || t.closed.Load() {
		return nil, 0
	}
	if network.isCut != nil && network.isCut(t.address, address) || network.random.Float64() < network.lossRate {
		return nil, 0
	}
	return to, time.Duration(200+network.random.Intn(2000)) * time.Microsecond
}

func (t *virtualTransport) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	host, port, err := splitAddress(t.address)
	return net.ParseIP(host), port, err
}

func (t *virtualTransport) WriteTo(packet []byte, address string) (time.Time, error) {
	t.network.sentBytes.Add(int64(len(packet)))
	to, delay := t.route(address)
	if to == nil {
		return time.Now(), nil
	}
	packet = slices.Clone(packet)
	from, err := net.ResolveUDPAddr("udp", t.address)
	if err != nil {
		return time.Now(), err
	}
	time.AfterFunc(delay, func() {
		select {
		case to.packets <- &memberlist.Packet{Buf: packet, From: from, Timestamp: time.Now()}:
		default:
		}
	})
	return time.Now(), nil
}

func (t *virtualTransport) DialTimeout(address string, _ time.Duration) (net.Conn, error) {
	to, _ := t.route(address)
	if to == nil {
		return nil, errUnreachable
	}
	local, remote := net.Pipe()
	select {
	case to.streams <- remote:
		return &countingConn{Conn: local, sentBytes: &t.network.sentBytes}, nil
	default:
		return nil, errUnreachable
	}
}

func (t *virtualTransport) PacketCh() <-chan *memberlist.Packet { return t.packets }
func (t *virtualTransport) StreamCh() <-chan net.Conn           { return t.streams }

func (t *virtualTransport) Shutdown() error {
	t.closed.Store(true)
	return nil
}

// defaultSeeds are the numbers of the nodes that are the seeds unless a test chooses others.
var defaultSeeds = []int{0, 1, 2}

// seedAddresses returns the addresses of the nodes with the given numbers.
func seedAddresses(numbers []int) (addresses []string) {
	for _, number := range numbers {
		addresses = append(addresses, addressOf(number+1))
	}
	return addresses
}

// testConfig returns the configuration of a node in a cluster of the given size with the default seeds. Nodes are
// numbered from 0.
func testConfig(number, size int, transport memberlist.Transport, address string) Config {
	id := membership.ID{Name: fmt.Sprintf("n%04d", number), Incarnation: uint64(number + 1)}
	config := membership.DefaultConfig(id)
	config.InitialSize = size
	config.Founders = []string{"n0000", "n0001", "n0002"}
	return Config{
		Membership:    config,
		ListenAddress: address,
		SeedAddresses: seedAddresses(defaultSeeds),
		ClusterName:   testCluster,
		Keys:          [][]byte{[]byte(testKey)},
		Transport:     transport,
	}
}

// startNodes starts count nodes, which find each other through the nodes numbered seeds or else defaultSeeds.
func startNodes(t *testing.T, network *virtualNetwork, count int, seeds ...int) (nodes []*Node) {
	t.Helper()
	for i := range count {
		transport := network.newTransport(i + 1)
		config := testConfig(i, count, transport, transport.address)
		config.Membership.Zone = fmt.Sprint("z", i%3)
		if seeds != nil {
			config.SeedAddresses = seedAddresses(seeds)
		}
		if network.isUnencrypted {
			config.Keys = nil
		}
		node, err := Start(config)
		require.NoError(t, err)
		node.SetLocalState(LocalState{State: membership.StateServing})
		nodes = append(nodes, node)
		if i%50 == 49 {
			time.Sleep(time.Second)
		}
	}
	return nodes
}

// closeNodes closes nodes and waits until the remaining timeouts of memberlist have passed.
func closeNodes(nodes []*Node) {
	for _, node := range nodes {
		node.Close()
	}
	time.Sleep(time.Minute)
}

// waitUntil waits in virtual time until a condition holds and returns how long that took, or -1 if the condition did
// not hold within timeout.
func waitUntil(timeout time.Duration, condition func() bool) time.Duration {
	for startedAt := time.Now(); time.Since(startedAt) < timeout; time.Sleep(250 * time.Millisecond) {
		if condition() {
			return time.Since(startedAt)
		}
	}
	return -1
}

// allInMajority reports whether every node is in the majority and sees the given number of members alive.
func allInMajority(nodes []*Node, alive int) bool {
	for _, node := range nodes {
		agrees := false
		err := node.Inspect(func(view *membership.View, agreement *membership.Agreement) {
			agrees = len(view.Alive()) == alive && agreement.QuorumStatus() == membership.Majority
		})
		if err != nil || !agrees {
			return false
		}
	}
	return true
}

// inspectView calls inspect with the view of a node.
func inspectView(t *testing.T, node *Node, inspect func(*membership.View)) {
	t.Helper()
	require.NoError(t, node.Inspect(func(view *membership.View, _ *membership.Agreement) { inspect(view) }))
}
