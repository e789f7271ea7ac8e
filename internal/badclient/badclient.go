// Package badclient contains stand-ins for clients that misbehave: they write slowly, stop in the middle of a request,
// flood the server, or leave without reading. Each behaviour uses one connection at a time and connects again when the
// server closes it. All of them read, or discard, what the server sends, unless their purpose is not to.
//
// The package is used by tests. It judges nothing.
package badclient

import (
	"fmt"
	"io"
	"math/rand"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"thistlequay/internal/emulator"
)

const (
	// slotsPerConnection is the number of requests that a connection may carry.
	slotsPerConnection = 32

	// longBytes is a length of parameters or of a body that is just within what the server stores.
	longBytes = 8000

	// floodBytes is the amount of data, in bytes, that a flooding client writes at once.
	floodBytes = 32 << 10

	// reconnectDelay is the time between two connections of a client.
	reconnectDelay = 5 * time.Millisecond

	// writeTimeout ends the connection of a client whose writes the server does not read.
	writeTimeout = 10 * time.Second
)

// Client is one client. A Behaviour may keep state in it.
type Client struct {
	net.Conn
	// Random is the client's source of random numbers.
	Random *rand.Rand
	// Tenant is a tenant that the server knows.
	Tenant string
	// Sent counts what the client has sent: requests, or parts of them.
	Sent *atomic.Int64
	// Stop is closed when the client has to end.
	Stop <-chan struct{}
}

// Behaviour is what a client does on one connection until a write fails. Name identifies it in results.
type Behaviour struct {
	Name string
	// Use uses the connection until a write fails or Client.Stop is closed.
	Use func(client *Client)
}

// Behaviours are all behaviours.
var Behaviours = []Behaviour{
	{"slow-writer", writeSlowly},
	{"long-slow-writer", writeLongSlowly},
	{"half-requests", holdHalfRequests},
	{"half-requests-begun-first", beginThenHoldHalfRequests},
	{"many-fields", sendManyFields},
	{"half-heads-of-many-fields", holdHeadsOfManyFields},
	{"small-requests", floodSmallRequests},
	{"unsound-records", floodUnsoundRecords},
	{"new-names", floodNewNames},
	{"new-valid-requests", floodValidRequests},
	{"new-valid-keys", floodValidKeys},
	{"aborted-requests", floodAborted},
	{"leaves-unread", leaveWithUnread},
}

// ByName returns the behaviour with the given name. It panics if there is none.
func ByName(name string) Behaviour {
	for _, behaviour := range Behaviours {
		if behaviour.Name == name {
			return behaviour
		}
	}
	panic("no behaviour is named " + name)
}

// Crowd is a number of clients with the same behaviour.
type Crowd struct {
	// Sent counts what the clients have sent.
	Sent atomic.Int64
	// Connections counts the connections that they have opened.
	Connections atomic.Int64

	stop    chan struct{}
	clients sync.WaitGroup
}

// Start starts count clients of the server at address.
func Start(address string, behaviour Behaviour, count int, seed int64) *Crowd {
	crowd := &Crowd{stop: make(chan struct{})}
	for i := range count {
		random := rand.New(rand.NewSource(seed<<16 + int64(i)))
		crowd.clients.Go(func() { crowd.run(address, behaviour, random) })
	}
	return crowd
}

// Stop ends the clients and waits for them.
func (c *Crowd) Stop() {
	close(c.stop)
	c.clients.Wait()
}

// run is one client: it connects again and again until Stop.
func (c *Crowd) run(address string, behaviour Behaviour, random *rand.Rand) {
	for !isClosed(c.stop) {
		conn, err := net.DialTimeout("tcp", address, writeTimeout)
		if err != nil {
			time.Sleep(reconnectDelay)
			continue
		}
		c.Connections.Add(1)
		ended := make(chan struct{})
		go func() { // unblocks a write or read when the crowd is stopped
			select {
			case <-c.stop:
			case <-ended:
			}
			_ = conn.Close() // may be closed already
		}()
		behaviour.Use(&Client{Conn: conn, Random: random, Tenant: "acme", Sent: &c.Sent, Stop: c.stop})
		close(ended)
		time.Sleep(reconnectDelay)
	}
}

func isClosed(stop <-chan struct{}) bool {
	select {
	case <-stop:
		return true
	default:
		return false
	}
}

// send writes data and reports whether that succeeded.
func (c *Client) send(data []byte) bool {
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails like the write
	_, err := c.Write(data)
	return err == nil
}

// discardInput reads and discards all that the server sends, until the connection ends.
func (c *Client) discardInput() { _, _ = io.Copy(io.Discard, c.Conn) }

// holdInAllSlots sends a part of a request in each slot of the connection, and then nothing until the server closes it.
func (c *Client) holdInAllSlots(part func(slot uint16) []byte) {
	for slot := range uint16(slotsPerConnection) {
		if !c.send(part(slot + 1)) {
			return
		}
		c.Sent.Add(1)
	}
	c.discardInput()
}

// flood writes what next returns, at full speed, and discards what the server sends. next appends one request.
func (c *Client) flood(next func(data []byte) []byte) {
	go c.discardInput() // ends with the connection
	data := make([]byte, 0, 2*floodBytes)
	for !isClosed(c.Stop) {
		data = data[:0]
		sent := int64(0)
		for len(data) < floodBytes {
			data = next(data)
			sent++
		}
		if !c.send(data) {
			return
		}
		c.Sent.Add(sent)
	}
}

// requestID returns a new request ID.
func (c *Client) requestID() string { return fmt.Sprintf("%016x", c.Random.Uint64()) }

// request returns a valid request with a body of the given length.
func (c *Client) request(slot uint16, path string, bodyBytes int) []byte {
	parameters := emulator.RequestParameters(c.requestID(), c.Tenant, 7*time.Second)
	body := "1 " + strings.Repeat("b", max(0, bodyBytes-2))
	return emulator.FastCGIRequest(slot, path, body, parameters)
}

// manyFields returns parameters of the given size in bytes that consist of very many short fields.
func manyFields(bytes int) string { return strings.Repeat("\x01\x00x", bytes/3) }

// halfRequest returns the records of a request that is cut off: long parameters, then a long part of a body.
func halfRequest(slot uint16) []byte {
	return append(emulator.FastCGIBegin(slot), halfRequestContent(slot)...)
}

// halfRequestContent returns halfRequest without the record that begins the request.
func halfRequestContent(slot uint16) []byte {
	data := emulator.FastCGIRecord(emulator.RecordParams, slot, manyFields(longBytes))
	data = append(data, emulator.FastCGIRecord(emulator.RecordParams, slot, "")...)
	return append(data, emulator.FastCGIRecord(emulator.RecordStdin, slot, strings.Repeat("b", longBytes))...)
}

// writeInPieces writes data in pieces of a few bytes with a pause after each.
func (c *Client) writeInPieces(data []byte, pieceBytes int, pause time.Duration) bool {
	for len(data) > 0 && !isClosed(c.Stop) {
		length := min(len(data), 1+c.Random.Intn(pieceBytes))
		if !c.send(data[:length]) {
			return false
		}
		data = data[length:]
		time.Sleep(pause)
	}
	return !isClosed(c.Stop)
}

// writeSlowly sends valid requests of ordinary length, each over a second or so.
func writeSlowly(c *Client) {
	go c.discardInput() // ends with the connection
	for c.writeInPieces(c.request(1, "/rpc/look", 1500), 80, 20*time.Millisecond) {
		c.Sent.Add(1)
	}
}

// writeLongSlowly sends the longest requests that the server stores, in pieces, in all slots at once.
func writeLongSlowly(c *Client) {
	go c.discardInput() // ends with the connection
	for slot := uint16(1); slot < slotsPerConnection; slot++ {
		if !c.writeInPieces(halfRequest(slot), 2000, 5*time.Millisecond) {
			return
		}
		c.Sent.Add(1)
	}
}

// holdHalfRequests sends as many long half requests as a connection carries, and then nothing.
func holdHalfRequests(c *Client) { c.holdInAllSlots(halfRequest) }

// beginThenHoldHalfRequests begins as many requests as a connection carries, waits, and then sends a long part of each.
func beginThenHoldHalfRequests(c *Client) {
	var begins []byte
	for slot := range uint16(slotsPerConnection) {
		begins = append(begins, emulator.FastCGIBegin(slot+1)...)
	}
	if !c.send(begins) {
		return
	}
	time.Sleep(300 * time.Millisecond)
	c.holdInAllSlots(halfRequestContent)
}

// sendManyFields sends whole requests whose heads consist of very many short fields, at full speed.
func sendManyFields(c *Client) {
	params := manyFields(longBytes)
	c.flood(func(data []byte) []byte {
		data = append(data, emulator.FastCGIBegin(1)...)
		data = append(data, emulator.FastCGIRecord(emulator.RecordParams, 1, params)...)
		data = append(data, emulator.FastCGIRecord(emulator.RecordParams, 1, "")...)
		return append(data, emulator.FastCGIRecord(emulator.RecordStdin, 1, "")...)
	})
}

// holdHeadsOfManyFields sends unfinished heads of very many short fields in all slots, and then nothing.
func holdHeadsOfManyFields(c *Client) {
	c.holdInAllSlots(func(slot uint16) []byte {
		head := emulator.FastCGIBegin(slot)
		return append(head, emulator.FastCGIRecord(emulator.RecordParams, slot, manyFields(longBytes))...)
	})
}

// floodSmallRequests sends the smallest whole requests, for a path that does not exist.
func floodSmallRequests(c *Client) {
	request := emulator.FastCGIBegin(1)
	request = append(request, emulator.FastCGIRecord(emulator.RecordParams, 1, "")...)
	request = append(request, emulator.FastCGIRecord(emulator.RecordStdin, 1, "")...)
	c.flood(func(data []byte) []byte { return append(data, request...) })
}

// floodUnsoundRecords sends records that mean nothing, or ask for an answer of the protocol itself.
func floodUnsoundRecords(c *Client) {
	const unknownRole = "\x00\x07\x01\x00\x00\x00\x00\x00"
	records := [][]byte{
		emulator.FastCGIRecord(77, 0, ""),
		emulator.FastCGIRecord(78, 9, "?"),
		emulator.FastCGIRecord(9, 0, "\x0f\x00FCGI_MPXS_CONNS"),
		emulator.FastCGIRecord(emulator.RecordBeginRequest, 3, unknownRole),
		emulator.FastCGIRecord(emulator.RecordAbortRequest, 5, ""),
		emulator.FastCGIRecord(emulator.RecordStdin, 6, "of no request"),
	}
	c.flood(func(data []byte) []byte { return append(data, records[c.Random.Intn(len(records))]...) })
}

// floodNewNames sends requests for classes, tenants and routers that do not exist, each under new names.
func floodNewNames(c *Client) {
	c.flood(func(data []byte) []byte {
		name := c.requestID()
		parameters := emulator.RequestParameters(name, "tenant-"+name, 7*time.Second)
		path := "/rpc/look"
		if c.Random.Intn(2) == 0 {
			path += name
		}
		parameters["HTTP_ONCE_KEY"] = name
		parameters["HTTP_"+name] = name
		return append(data, emulator.FastCGIRequest(1, path, "1 b", parameters)...)
	})
}

// floodValidRequests sends small valid requests, each from a new router.
func floodValidRequests(c *Client) { c.floodSlots("/rpc/look") }

// floodValidKeys is floodValidRequests with keyed requests under ever new keys.
func floodValidKeys(c *Client) { c.floodSlots("/rpc/book") }

// floodSlots sends valid requests in all slots of the connection, and another one for each response.
func (c *Client) floodSlots(path string) {
	link := emulator.NewLink(c.Conn)
	next := func(slot uint16) bool {
		id := c.requestID()
		parameters := emulator.RequestParameters(id, c.Tenant, 7*time.Second)
		parameters["HTTP_SENT_BY"] = fmt.Sprint(c.Random.Int63n(1 << 50))
		parameters["HTTP_FOOTPRINT_KB"] = "0.001"
		parameters["HTTP_ONCE_KEY"] = id
		c.Sent.Add(1)
		return c.send(emulator.FastCGIRequest(slot, path, "1 b", parameters))
	}
	for slot := range uint16(slotsPerConnection) {
		if !next(slot + 1) {
			return
		}
	}
	for !isClosed(c.Stop) {
		response, err := link.ReadResponse()
		if err != nil || !next(response.Slot) {
			return
		}
	}
}

// floodAborted sends valid requests and aborts each at once.
func floodAborted(c *Client) {
	c.flood(func(data []byte) []byte {
		data = append(data, c.request(1, "/rpc/look", 20)...)
		return append(data, emulator.FastCGIRecord(emulator.RecordAbortRequest, 1, "")...)
	})
}

// leaveWithUnread sends valid requests in all slots and closes the connection without reading the responses.
func leaveWithUnread(c *Client) {
	var data []byte
	for slot := range uint16(slotsPerConnection) {
		data = append(data, c.request(slot+1, "/rpc/look", 2000)...)
	}
	if c.send(data) {
		c.Sent.Add(slotsPerConnection)
	}
	time.Sleep(time.Duration(c.Random.Intn(20)) * time.Millisecond)
}
