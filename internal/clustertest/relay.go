package clustertest

// This file owns the relays through which servers talk to each other: UDP and TCP, each direction of each pair under a fault
// of its own, drawn from one seed. It must never look into what it carries.

import (
	"math/rand"
	"net"
	"sync"
	"time"
)

// Fault is what one direction between two servers does to what is sent.
type Fault struct {
	Cut           bool
	Loss          float64       // part of packets that are lost
	Duplication   float64       // part that comes twice
	Truncation    float64       // part that is cut short, and of streams that break in mid-chunk
	Delay         time.Duration // of all
	Jitter        time.Duration // on top, at random: reorders packets
	BytesPerWrite int           // bytes a write of a stream, one each 10 ms; 0 for no bound
	ReplayAfter   time.Duration // each packet comes again so much later
}

// relays carry the talk of all servers of a rig.
type relays struct {
	lock   sync.Mutex
	rand   *rand.Rand
	faults map[[2]int]Fault
	whose  map[string]int // by the address that a server sends from
	ended  chan struct{}
	bytes  int64
}

func newRelays(seed int64) *relays {
	return &relays{rand: rand.New(rand.NewSource(seed)), faults: map[[2]int]Fault{}, whose: map[string]int{}, ended: make(chan struct{})}
}

func (r *relays) fault(from, to int) Fault {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.faults[[2]int{from, to}]
}

func (r *relays) draw() float64 {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.rand.Float64()
}

func (r *relays) sender(a net.Addr) (int, bool) {
	host, _, _ := net.SplitHostPort(a.String())
	r.lock.Lock()
	defer r.lock.Unlock()
	i, is := r.whose[host]
	return i, is
}

// relay stands before one server: others reach it at this address, and its own socket lies behind.
type relay struct {
	*relays
	to      int
	address string // that others know
	behind  string // that the server listens on
	packets *net.UDPConn
	back    *net.UDPAddr
	lock    sync.Mutex
	streams net.Listener // nil while the server is down: connections are refused then, as no process is there
	open    map[net.Conn]struct{}
}

const maxPacketBytes = 64 << 10

func (r *relays) relay(to int, address, behind string) (*relay, error) {
	at, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	one := &relay{relays: r, to: to, address: address, behind: behind, open: map[net.Conn]struct{}{}}
	if one.back, err = net.ResolveUDPAddr("udp", behind); err != nil {
		return nil, err
	}
	if one.packets, err = net.ListenUDP("udp", at); err != nil {
		return nil, err
	}
	go one.carryPackets()
	return one, nil
}

// carryPackets passes on what comes, each packet as the fault of its direction has it.
func (r *relay) carryPackets() {
	buffer := make([]byte, maxPacketBytes)
	for {
		n, from, err := r.packets.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		i, known := r.sender(from)
		f := r.fault(i, r.to)
		if !known || f.Cut || f.Loss > 0 && r.draw() < f.Loss {
			continue
		}
		packet := append([]byte(nil), buffer[:n]...)
		if f.Truncation > 0 && r.draw() < f.Truncation {
			packet = packet[:n/2]
		}
		send := func() { _, _ = r.packets.WriteToUDP(packet, r.back) }
		wait := f.Delay + time.Duration(r.draw()*float64(f.Jitter))
		if wait > 0 {
			time.AfterFunc(wait, send)
		} else {
			send()
		}
		if f.Duplication > 0 && r.draw() < f.Duplication {
			time.AfterFunc(wait+time.Millisecond, send)
		}
		if f.ReplayAfter > 0 {
			time.AfterFunc(wait+f.ReplayAfter, send)
		}
	}
}

// up has connections be taken, down has them be refused and breaks those that are open.
func (r *relay) up() error {
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.lock.Lock()
	r.streams = l
	r.lock.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go r.carryStream(c)
		}
	}()
	return nil
}

func (r *relay) down() {
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.streams != nil {
		r.streams.Close()
		r.streams = nil
	}
	for c := range r.open {
		c.Close()
	}
}

func (r *relay) carryStream(c net.Conn) {
	defer c.Close()
	i, known := r.sender(c.RemoteAddr())
	if !known || !r.wait(i, r.to) {
		return
	}
	behind, err := net.DialTimeout("tcp", r.behind, time.Second)
	if err != nil {
		return
	}
	defer behind.Close()
	r.lock.Lock()
	r.open[c], r.open[behind] = struct{}{}, struct{}{}
	r.lock.Unlock()
	over := make(chan struct{}, 2)
	go func() { r.copy(behind, c, i, r.to); over <- struct{}{} }()
	go func() { r.copy(c, behind, r.to, i); over <- struct{}{} }()
	<-over
	r.lock.Lock()
	delete(r.open, c)
	delete(r.open, behind)
	r.lock.Unlock()
}

// wait holds a stream while its direction is cut, as a network does that loses all of it. It gives up after some seconds.
func (r *relay) wait(from, to int) bool {
	for range 500 {
		if !r.fault(from, to).Cut {
			return true
		}
		select {
		case <-r.ended:
			return false
		case <-time.After(20 * time.Millisecond):
		}
	}
	return false
}

func (r *relay) copy(out, in net.Conn, from, to int) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := in.Read(buffer)
		if err != nil || !r.wait(from, to) {
			return
		}
		f := r.fault(from, to)
		time.Sleep(f.Delay)
		chunk := buffer[:n]
		if f.Truncation > 0 && r.draw() < f.Truncation {
			_, _ = out.Write(chunk[:n/2])
			return
		}
		for f.BytesPerWrite > 0 && len(chunk) > f.BytesPerWrite {
			if _, err := out.Write(chunk[:f.BytesPerWrite]); err != nil {
				return
			}
			chunk = chunk[f.BytesPerWrite:]
			time.Sleep(10 * time.Millisecond)
		}
		if _, err := out.Write(chunk); err != nil {
			return
		}
	}
}
