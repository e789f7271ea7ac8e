package clustertest

import (
	"bytes"
	"net"
	"sync"
	"time"
)

const (
	maxPacketBytes   = 64 << 10
	streamChunkBytes = 32 << 10              // largest number of bytes in one read from a stream
	dialTimeout      = time.Second           // for a connection from the relay to its server
	slowWritePause   = 10 * time.Millisecond // between two writes under Fault.BytesPerWrite
	cutPollInterval  = 20 * time.Millisecond // between two checks of whether a cut has healed
	maxCutPolls      = 500                   // checks before a stalled stream is closed
)

// relay forwards the UDP packets and TCP streams that other servers send to the gossip address of one server, and
// applies the fault of each direction. It does not interpret the content.
type relay struct {
	network       *network
	index         int    // of the server that it forwards to
	advertised    string // the address that other servers send to
	listen        string // the address that the server listens on
	packets       *net.UDPConn
	serverAddress *net.UDPAddr // the resolved listen address

	lock           sync.Mutex   // guards the fields below
	streamListener net.Listener // nil while the server has no process, so that connections are refused
	openStreams    map[net.Conn]struct{}
}

// newRelay creates the relay of one server. It forwards packets immediately, but streams only after a call of
// startStreams.
func newRelay(n *network, index int, advertised, listen string) (*relay, error) {
	advertisedAddress, err := net.ResolveUDPAddr("udp", advertised)
	if err != nil {
		return nil, err
	}
	server, err := net.ResolveUDPAddr("udp", listen)
	if err != nil {
		return nil, err
	}
	packets, err := net.ListenUDP("udp", advertisedAddress)
	if err != nil {
		return nil, err
	}
	r := &relay{
		network:       n,
		index:         index,
		advertised:    advertised,
		listen:        listen,
		packets:       packets,
		serverAddress: server,
		openStreams:   map[net.Conn]struct{}{},
	}
	go r.forwardPackets()
	return r, nil
}

// forwardPackets forwards packets from known senders until the socket is closed.
func (r *relay) forwardPackets() {
	buffer := make([]byte, maxPacketBytes)
	for {
		n, sender, err := r.packets.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		from, known := r.network.sender(sender)
		if known {
			r.forwardPacket(bytes.Clone(buffer[:n]), r.network.fault(from, r.index))
		}
	}
}

// forwardPacket forwards one packet and applies a fault to it. A packet that is cut or lost is dropped.
//
// It draws random numbers in a fixed order, so that equal seeds give equal draws for equal sequences of traffic: for
// loss, truncation, jitter and duplication. Loss, truncation and duplication draw a number only if their probability is
// above 0; the jitter always does. A cut packet draws none, and a lost one draws none after the loss.
func (r *relay) forwardPacket(packet []byte, fault Fault) {
	if fault.Cut || r.network.drawBool(fault.Loss) {
		return
	}
	if r.network.drawBool(fault.Truncation) {
		packet = packet[:len(packet)/2]
	}
	send := func() { _, _ = r.packets.WriteToUDP(packet, r.serverAddress) } // UDP may lose packets anyway
	delay := fault.Delay + time.Duration(r.network.randomFraction()*float64(fault.Jitter))
	if delay > 0 {
		time.AfterFunc(delay, send)
	} else {
		send()
	}
	if r.network.drawBool(fault.Duplication) {
		time.AfterFunc(delay+time.Millisecond, send)
	}
	if fault.ReplayAfter > 0 {
		time.AfterFunc(delay+fault.ReplayAfter, send)
	}
}

// startStreams starts to accept streams.
func (r *relay) startStreams() error {
	listener, err := net.Listen("tcp", r.advertised)
	if err != nil {
		return err
	}
	r.lock.Lock()
	r.streamListener = listener
	r.lock.Unlock()
	go func() {
		for {
			stream, err := listener.Accept()
			if err != nil {
				return
			}
			go r.forwardStream(stream)
		}
	}()
	return nil
}

// stopStreams stops accepting streams and closes those that are open.
func (r *relay) stopStreams() {
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.streamListener != nil {
		_ = r.streamListener.Close()
		r.streamListener = nil
	}
	for stream := range r.openStreams {
		_ = stream.Close() // the goroutine that forwards it may already have closed it
	}
}

// close closes all sockets of the relay and the streams that it forwards.
func (r *relay) close() {
	r.stopStreams()
	_ = r.packets.Close()
}

// forwardStream forwards one stream in both directions until either direction ends.
func (r *relay) forwardStream(senderStream net.Conn) {
	defer senderStream.Close() //nolint:errcheck // stopStreams may have closed it before
	from, known := r.network.sender(senderStream.RemoteAddr())
	if !known || !r.waitWhileCut(from, r.index) {
		return
	}
	serverStream, err := net.DialTimeout("tcp", r.listen, dialTimeout)
	if err != nil {
		return
	}
	defer serverStream.Close() //nolint:errcheck // stopStreams may have closed it before
	r.lock.Lock()
	r.openStreams[senderStream] = struct{}{}
	r.openStreams[serverStream] = struct{}{}
	r.lock.Unlock()
	ended := make(chan struct{}, 2)
	go func() {
		r.forwardDirection(serverStream, senderStream, from, r.index)
		ended <- struct{}{}
	}()
	go func() {
		r.forwardDirection(senderStream, serverStream, r.index, from)
		ended <- struct{}{}
	}()
	<-ended
	r.lock.Lock()
	delete(r.openStreams, senderStream)
	delete(r.openStreams, serverStream)
	r.lock.Unlock()
}

// waitWhileCut blocks while the direction is cut, as a stream stalls on a network that loses all packets. It returns
// false if the cut lasts for about 10 seconds (maxCutPolls times cutPollInterval) or the cluster is closed.
func (r *relay) waitWhileCut(from, to int) bool {
	for range maxCutPolls {
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

// forwardDirection forwards one direction of a stream until it ends or a fault closes it.
func (r *relay) forwardDirection(out, in net.Conn, from, to int) {
	buffer := make([]byte, streamChunkBytes)
	for {
		n, err := in.Read(buffer)
		if err != nil || !r.waitWhileCut(from, to) {
			return
		}
		fault := r.network.fault(from, to)
		time.Sleep(fault.Delay)
		if r.network.drawBool(fault.Truncation) {
			_, _ = out.Write(buffer[:n/2]) // the stream is closed whether or not this succeeds
			return
		}
		if writeSlowly(out, buffer[:n], fault.BytesPerWrite) != nil {
			return
		}
	}
}

// writeSlowly writes data in pieces of pieceBytes with a pause of slowWritePause between them. With 0 it writes all
// data at once.
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
