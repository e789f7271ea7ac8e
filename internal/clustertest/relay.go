package clustertest

import (
	"bytes"
	"net"
	"sync"
	"time"
)

const (
	maxPacketBytes  = 64 << 10
	streamChunk     = 32 << 10              // bytes read from a stream at once
	dialTimeout     = time.Second           // from the relay to its server
	slowWritePause  = 10 * time.Millisecond // between the writes of Fault.BytesPerWrite
	cutPollInterval = 20 * time.Millisecond // between two checks whether a cut has healed
	cutPolls        = 500                   // checks before a stream is closed
)

// relay forwards what other servers send to the gossip address of one server, over UDP and TCP, and applies the fault
// of each direction. It does not interpret what it forwards.
type relay struct {
	network    *network
	index      int    // of the server behind it
	advertised string // the address that others know
	listen     string // the address that the server listens on
	packets    *net.UDPConn
	server     *net.UDPAddr // listen, resolved

	lock    sync.Mutex   // guards all that follows
	streams net.Listener // nil while the server is down: connections are refused then, as there is no process
	open    map[net.Conn]struct{}
}

// newRelay makes the relay of one server. It forwards packets from now on, and streams from up on.
func newRelay(n *network, index int, advertised, listen string) (*relay, error) {
	outside, err := net.ResolveUDPAddr("udp", advertised)
	if err != nil {
		return nil, err
	}
	server, err := net.ResolveUDPAddr("udp", listen)
	if err != nil {
		return nil, err
	}
	packets, err := net.ListenUDP("udp", outside)
	if err != nil {
		return nil, err
	}
	r := &relay{
		network:    n,
		index:      index,
		advertised: advertised,
		listen:     listen,
		packets:    packets,
		server:     server,
		open:       map[net.Conn]struct{}{},
	}
	go r.carryPackets()
	return r, nil
}

// carryPackets forwards packets until the socket is closed.
func (r *relay) carryPackets() {
	buffer := make([]byte, maxPacketBytes)
	for {
		n, sender, err := r.packets.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		from, known := r.network.sender(sender)
		if known {
			r.carryPacket(bytes.Clone(buffer[:n]), r.network.fault(from, r.index))
		}
	}
}

// carryPacket forwards one packet under a fault. Random numbers are drawn in the order loss, truncation, jitter,
// duplication; that of the jitter always.
func (r *relay) carryPacket(packet []byte, fault Fault) {
	if fault.Cut || r.network.happens(fault.Loss) {
		return
	}
	if r.network.happens(fault.Truncation) {
		packet = packet[:len(packet)/2]
	}
	send := func() { _, _ = r.packets.WriteToUDP(packet, r.server) } // UDP may lose it anyway
	wait := fault.Delay + time.Duration(r.network.draw()*float64(fault.Jitter))
	if wait > 0 {
		time.AfterFunc(wait, send)
	} else {
		send()
	}
	if r.network.happens(fault.Duplication) {
		time.AfterFunc(wait+time.Millisecond, send)
	}
	if fault.ReplayAfter > 0 {
		time.AfterFunc(wait+fault.ReplayAfter, send)
	}
}

// up accepts streams from now on.
func (r *relay) up() error {
	listener, err := net.Listen("tcp", r.advertised)
	if err != nil {
		return err
	}
	r.lock.Lock()
	r.streams = listener
	r.lock.Unlock()
	go func() {
		for {
			stream, err := listener.Accept()
			if err != nil {
				return
			}
			go r.carryStream(stream)
		}
	}()
	return nil
}

// down refuses streams from now on, and breaks those that are open.
func (r *relay) down() {
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.streams != nil {
		_ = r.streams.Close()
		r.streams = nil
	}
	for stream := range r.open {
		_ = stream.Close() // the goroutines that carry it may have closed it before
	}
}

// close closes the sockets and streams of the relay.
func (r *relay) close() {
	r.down()
	_ = r.packets.Close()
}

// carryStream forwards one stream in both directions until one of them ends.
func (r *relay) carryStream(outside net.Conn) {
	defer outside.Close() //nolint:errcheck // down may have closed it before
	from, known := r.network.sender(outside.RemoteAddr())
	if !known || !r.waitWhileCut(from, r.index) {
		return
	}
	inside, err := net.DialTimeout("tcp", r.listen, dialTimeout)
	if err != nil {
		return
	}
	defer inside.Close() //nolint:errcheck // down may have closed it before
	r.lock.Lock()
	r.open[outside] = struct{}{}
	r.open[inside] = struct{}{}
	r.lock.Unlock()
	ended := make(chan struct{}, 2)
	go func() {
		r.copy(inside, outside, from, r.index)
		ended <- struct{}{}
	}()
	go func() {
		r.copy(outside, inside, r.index, from)
		ended <- struct{}{}
	}()
	<-ended
	r.lock.Lock()
	delete(r.open, outside)
	delete(r.open, inside)
	r.lock.Unlock()
}

// waitWhileCut stalls a stream while its direction is cut, as a network does that loses all packets. It returns false
// when the cut lasts for some 10 seconds (see cutPolls), or the cluster is closed.
func (r *relay) waitWhileCut(from, to int) bool {
	for range cutPolls {
		if !r.network.fault(from, to).Cut {
			return true
		}
		select {
		case <-r.network.closed:
			return false
		case <-time.After(cutPollInterval):
		}
	}
	return false
}

// copy forwards one direction of a stream until it ends or a fault closes it.
func (r *relay) copy(out, in net.Conn, from, to int) {
	buffer := make([]byte, streamChunk)
	for {
		n, err := in.Read(buffer)
		if err != nil || !r.waitWhileCut(from, to) {
			return
		}
		fault := r.network.fault(from, to)
		time.Sleep(fault.Delay)
		if r.network.happens(fault.Truncation) {
			_, _ = out.Write(buffer[:n/2]) // the stream ends here in any case
			return
		}
		if writeSlowly(out, buffer[:n], fault.BytesPerWrite) != nil {
			return
		}
	}
}

// writeSlowly writes in pieces of so many bytes with a pause between; 0 for all at once.
func writeSlowly(out net.Conn, data []byte, pieceBytes int) error {
	for pieceBytes > 0 && len(data) > pieceBytes {
		if _, err := out.Write(data[:pieceBytes]); err != nil {
			return err
		}
		data = data[pieceBytes:]
		time.Sleep(slowWritePause)
	}
	_, err := out.Write(data)
	return err
}
