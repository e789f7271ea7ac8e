package gossip

import (
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/memberlist"
	"github.com/stretchr/testify/require"

	"thistlequay/internal/membership"
)

// virtualNetwork carries the talk of many members in one process, in the virtual time of a synctest bubble.
type virtualNetwork struct {
	lock        sync.Mutex
	random      *rand.Rand
	transports  map[string]*virtualTransport
	isCut       func(from, to string) bool
	lossRate    float64
	withoutKeys bool // the fleet talks without keys
	sentBytes   atomic.Int64
}

type virtualTransport struct {
	network *virtualNetwork
	address string
	packets chan *memberlist.Packet
	streams chan net.Conn
	closed  atomic.Bool
}

var errUnreachable = errors.New("nothing comes back")

func (a *virtualNetwork) newTransport(n int) *virtualTransport {
	p := &virtualTransport{network: a, address: fmt.Sprintf("10.%d.%d.%d:7946", n>>16, n>>8&255, n&255), packets: make(chan *memberlist.Packet, 4096), streams: make(chan net.Conn, 64)}
	a.lock.Lock()
	a.transports[p.address] = p
	a.lock.Unlock()
	return p
}

func (p *virtualTransport) route(to string) (*virtualTransport, time.Duration) {
	a := p.network
	a.lock.Lock()
	defer a.lock.Unlock()
	q := a.transports[to]
	if q == nil || q.closed.Load() || p.closed.Load() || a.isCut != nil && a.isCut(p.address, to) || a.random.Float64() < a.lossRate {
		return nil, 0
	}
	return q, time.Duration(200+a.random.Intn(2000)) * time.Microsecond
}

func (p *virtualTransport) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	host, n, err := splitAddress(p.address)
	return net.ParseIP(host), n, err
}

func (p *virtualTransport) WriteTo(b []byte, to string) (time.Time, error) {
	p.network.sentBytes.Add(int64(len(b)))
	if q, wait := p.route(to); q != nil {
		b = slices.Clone(b)
		from, _ := net.ResolveUDPAddr("udp", p.address)
		time.AfterFunc(wait, func() {
			select {
			case q.packets <- &memberlist.Packet{Buf: b, From: from, Timestamp: time.Now()}:
			default:
			}
		})
	}
	return time.Now(), nil
}

func (p *virtualTransport) DialTimeout(to string, _ time.Duration) (net.Conn, error) {
	q, _ := p.route(to)
	if q == nil {
		return nil, errUnreachable
	}
	here, there := net.Pipe()
	select {
	case q.streams <- there:
		return &countingConn{here, &p.network.sentBytes}, nil
	default:
		return nil, errUnreachable
	}
}

func (p *virtualTransport) PacketCh() <-chan *memberlist.Packet { return p.packets }
func (p *virtualTransport) StreamCh() <-chan net.Conn           { return p.streams }
func (p *virtualTransport) Shutdown() error                     { p.closed.Store(true); return nil }

var _ io.Writer = (*countingConn)(nil)

// startNodes starts so many members that find each other by the first three.
func startNodes(t *testing.T, a *virtualNetwork, n int) (all []*Node) {
	for i := range n {
		q := a.newTransport(i + 1)
		terms := membership.DefaultConfig(membership.ID{Name: fmt.Sprintf("n%04d", i), Incarnation: uint64(i + 1)})
		terms.InitialSize, terms.Founders, terms.Zone = n, []string{"n0000", "n0001", "n0002"}, fmt.Sprint("z", i%3)
		keys := [][]byte{[]byte("0123456789abcdef")}
		if a.withoutKeys {
			keys = nil
		}
		p, err := Start(Config{Membership: terms, ListenAddress: q.address, SeedAddresses: []string{"10.0.0.1:7946", "10.0.0.2:7946", "10.0.0.3:7946"},
			ClusterName: "test", Keys: keys, Transport: q})
		require.NoError(t, err)
		p.SetLocalState(LocalState{State: membership.StateServing})
		all = append(all, p)
		if i%50 == 49 {
			time.Sleep(time.Second)
		}
	}
	return all
}

// waitUntil waits in virtual time and gives how long it took; negative where it did not come to be.
func waitUntil(most time.Duration, is func() bool) time.Duration {
	for begun := time.Now(); time.Since(begun) < most; time.Sleep(250 * time.Millisecond) {
		if is() {
			return time.Since(begun)
		}
	}
	return -1
}

func allAgree(all []*Node, there int, standing membership.QuorumStatus) bool {
	for _, p := range all {
		ok := false
		if p.Inspect(func(v *membership.View, a *membership.Agreement) {
			ok = len(v.Alive()) == there && a.QuorumStatus() == standing
		}) != nil || !ok {
			return false
		}
	}
	return true
}

// The library and the module as they are, in virtual time: how soon a death is known, and what the talk costs.
func TestMeasuredPeersInVirtualTime(t *testing.T) {
	sizes := []int{12, 40}
	if os.Getenv("MEASURE") == "full" {
		sizes = []int{12, 40, 100, 300}
	}
	for _, n := range sizes {
		synctest.Test(t, func(t *testing.T) {
			a := &virtualNetwork{random: rand.New(rand.NewSource(int64(n))), transports: map[string]*virtualTransport{}}
			all := startNodes(t, a, n)
			converge := waitUntil(3*time.Minute, func() bool { return allAgree(all, n, membership.Majority) })
			require.Positive(t, converge, "the members never agreed")
			before, at := a.sentBytes.Load(), time.Now()
			time.Sleep(20 * time.Second)
			rate := float64(a.sentBytes.Load()-before) / time.Since(at).Seconds() / float64(n)
			victim := all[n-1]
			a.transports[victim.config.ListenAddress].closed.Store(true) // nothing of it comes through any more
			died := time.Now()
			var detect []time.Duration
			rest := all[:n-1]
			knows := map[*Node]bool{}
			waitUntil(time.Minute, func() bool {
				for _, p := range rest {
					if !knows[p] {
						_ = p.Inspect(func(v *membership.View, _ *membership.Agreement) {
							if m := v.Member(victim.config.Membership.Self); m == nil || m.State >= membership.StateFailed {
								knows[p] = true
								detect = append(detect, time.Since(died))
							}
						})
					}
				}
				return len(detect) == len(rest)
			})
			alarms := 0
			for _, p := range rest {
				_ = p.Inspect(func(v *membership.View, _ *membership.Agreement) { alarms += v.Counts.FalsePositives })
			}
			require.Len(t, detect, len(rest))
			slices.Sort(detect)
			t.Logf("measured peers-virtual members=%d converge_ms=%d detect_p50_ms=%d detect_p99_ms=%d false_alarms=%d bytes_a_second=%.0f", n,
				converge.Milliseconds(), detect[len(detect)/2].Milliseconds(), detect[len(detect)*99/100].Milliseconds(), alarms, rate)
			require.Zero(t, alarms)
			for _, p := range all {
				p.Close()
			}
			time.Sleep(time.Minute) // what the library still waits for comes to its end
		})
	}
}
