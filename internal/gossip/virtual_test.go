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

// air carries the talk of many members in one process, in the virtual time of a synctest bubble.
type air struct {
	lock  sync.Mutex
	rand  *rand.Rand
	ports map[string]*port
	cut   func(from, to string) bool
	loss  float64
	open  bool // the fleet talks without keys
	bytes atomic.Int64
}

type port struct {
	air     *air
	at      string
	packets chan *memberlist.Packet
	streams chan net.Conn
	closed  atomic.Bool
}

var errCut = errors.New("nothing comes back")

func (a *air) port(n int) *port {
	p := &port{air: a, at: fmt.Sprintf("10.%d.%d.%d:7946", n>>16, n>>8&255, n&255), packets: make(chan *memberlist.Packet, 4096), streams: make(chan net.Conn, 64)}
	a.lock.Lock()
	a.ports[p.at] = p
	a.lock.Unlock()
	return p
}

func (p *port) way(to string) (*port, time.Duration) {
	a := p.air
	a.lock.Lock()
	defer a.lock.Unlock()
	q := a.ports[to]
	if q == nil || q.closed.Load() || p.closed.Load() || a.cut != nil && a.cut(p.at, to) || a.rand.Float64() < a.loss {
		return nil, 0
	}
	return q, time.Duration(200+a.rand.Intn(2000)) * time.Microsecond
}

func (p *port) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	host, n, err := addressOf(p.at)
	return net.ParseIP(host), n, err
}

func (p *port) WriteTo(b []byte, to string) (time.Time, error) {
	p.air.bytes.Add(int64(len(b)))
	if q, wait := p.way(to); q != nil {
		b = slices.Clone(b)
		from, _ := net.ResolveUDPAddr("udp", p.at)
		time.AfterFunc(wait, func() {
			select {
			case q.packets <- &memberlist.Packet{Buf: b, From: from, Timestamp: time.Now()}:
			default:
			}
		})
	}
	return time.Now(), nil
}

func (p *port) DialTimeout(to string, _ time.Duration) (net.Conn, error) {
	q, _ := p.way(to)
	if q == nil {
		return nil, errCut
	}
	here, there := net.Pipe()
	select {
	case q.streams <- there:
		return &counted{here, &p.air.bytes}, nil
	default:
		return nil, errCut
	}
}

func (p *port) PacketCh() <-chan *memberlist.Packet { return p.packets }
func (p *port) StreamCh() <-chan net.Conn           { return p.streams }
func (p *port) Shutdown() error                     { p.closed.Store(true); return nil }

var _ io.Writer = (*counted)(nil)

// crowd starts so many members that find each other by the first three.
func crowd(t *testing.T, a *air, n int) (all []*Peers) {
	for i := range n {
		q := a.port(i + 1)
		terms := membership.DefaultTerms(membership.ID{Name: fmt.Sprintf("n%04d", i), Life: uint64(i + 1)})
		terms.Size, terms.Founders, terms.Zone = n, []string{"n0000", "n0001", "n0002"}, fmt.Sprint("z", i%3)
		keys := [][]byte{[]byte("0123456789abcdef")}
		if a.open {
			keys = nil
		}
		p, err := Start(Terms{Members: terms, Listen: q.at, First: []string{"10.0.0.1:7946", "10.0.0.2:7946", "10.0.0.3:7946"},
			Fleet: "test", Keys: keys, Transport: q})
		require.NoError(t, err)
		p.Say(Own{State: membership.Serving})
		all = append(all, p)
		if i%50 == 49 {
			time.Sleep(time.Second)
		}
	}
	return all
}

// until waits in virtual time and gives how long it took; negative where it did not come to be.
func until(most time.Duration, is func() bool) time.Duration {
	for begun := time.Now(); time.Since(begun) < most; time.Sleep(250 * time.Millisecond) {
		if is() {
			return time.Since(begun)
		}
	}
	return -1
}

func agree(all []*Peers, there int, standing membership.Standing) bool {
	for _, p := range all {
		ok := false
		if p.Look(func(v *membership.View, a *membership.Accord) {
			ok = len(v.There()) == there && a.Standing() == standing
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
			a := &air{rand: rand.New(rand.NewSource(int64(n))), ports: map[string]*port{}}
			all := crowd(t, a, n)
			converge := until(3*time.Minute, func() bool { return agree(all, n, membership.Whole) })
			require.Positive(t, converge, "the members never agreed")
			before, at := a.bytes.Load(), time.Now()
			time.Sleep(20 * time.Second)
			rate := float64(a.bytes.Load()-before) / time.Since(at).Seconds() / float64(n)
			victim := all[n-1]
			a.ports[victim.terms.Listen].closed.Store(true) // nothing of it comes through any more
			died := time.Now()
			var detect []time.Duration
			rest := all[:n-1]
			knows := map[*Peers]bool{}
			until(time.Minute, func() bool {
				for _, p := range rest {
					if !knows[p] {
						_ = p.Look(func(v *membership.View, _ *membership.Accord) {
							if m := v.Member(victim.terms.Members.Me); m == nil || m.State >= membership.Failed {
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
				_ = p.Look(func(v *membership.View, _ *membership.Accord) { alarms += v.Counts.FalseAlarms })
			}
			require.Len(t, detect, len(rest))
			slices.Sort(detect)
			t.Logf("measured peers-virtual members=%d converge_ms=%d detect_p50_ms=%d detect_p99_ms=%d false_alarms=%d bytes_a_second=%.0f", n,
				converge.Milliseconds(), detect[len(detect)/2].Milliseconds(), detect[len(detect)*99/100].Milliseconds(), alarms, rate)
			require.Zero(t, alarms)
			for _, p := range all {
				p.End()
			}
			time.Sleep(time.Minute) // what the library still waits for comes to its end
		})
	}
}
