package main

import (
	"net"
	"sync"
	"time"
)

// closeAfterMove is how long connections to an old address stay open after a move.
const closeAfterMove = 1500 * time.Millisecond

// door is the address at which a stand-in accepts connections, which a new configuration may move.
type door struct {
	serve func(net.Conn)

	mutex    sync.Mutex
	listener net.Listener
	open     map[net.Conn]bool // connections to the present address
}

// openDoor listens on a free loopback address and has each connection served.
func openDoor(serve func(net.Conn)) *door {
	d := &door{serve: serve}
	d.listen()
	return d
}

func (d *door) listen() {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	open := map[net.Conn]bool{}
	d.listener, d.open = listener, open
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			d.mutex.Lock()
			open[conn] = true
			d.mutex.Unlock()
			go func() {
				d.serve(conn)
				closeQuietly(conn)
				d.mutex.Lock()
				delete(open, conn)
				d.mutex.Unlock()
			}()
		}
	}()
}

// address returns the present address.
func (d *door) address() string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.listener.Addr().String()
}

// move listens on a new address. The old one accepts nothing new, and connections to it are closed after a time.
func (d *door) move() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	old := d.open
	closeQuietly(d.listener)
	time.AfterFunc(closeAfterMove, func() { d.closeAll(old) })
	d.listen()
}

func (d *door) closeAll(connections map[net.Conn]bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for conn := range connections {
		closeQuietly(conn)
	}
}

// shut closes the address and all connections to it.
func (d *door) shut() {
	closeQuietly(d.listener)
	d.closeAll(d.open)
}
