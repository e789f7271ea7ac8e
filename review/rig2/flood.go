package main

import (
	"fmt"
	"net"
	"sync"
	"time"

	"thistlequay/internal/emulator"
)

func init() { scenarios["silent"] = silentClients }

// silentConnections is how many connections the silent clients open.
const silentConnections = 500

// silentClients opens hundreds of connections to the gossip address of an app server with the section peers, and says
// nothing on them, while a router sends its requests. The platform gives the process the descriptors that the
// configuration names.
func silentClients(r *rig) bool {
	s := r.newServer("n1", settings(1, 6, 5, category("look", "repeatable")), newIndex(20*time.Millisecond),
		newDirectory())
	s.platform["limits"] = object{"cores": 1.0, "memory_mb": 192, "sockets": 384}
	s.descriptors = 384
	gossip := freeAddress()
	r.writeKeys()
	s.service = r.peersSection(0, []string{gossip})
	s.start()
	stop := make(chan struct{})
	var load sync.WaitGroup
	for range 8 {
		load.Go(func() { keepAsking(s, &sync.Map{}, stop) })
	}
	time.Sleep(2 * time.Second)
	for range 3 {
		if r.trouble {
			r.openSilently(gossip)
		}
		time.Sleep(2 * time.Second)
	}
	close(stop)
	load.Wait()
	select {
	case <-s.exited:
		return r.verdict(false, "the process ended by itself: %s", s.process.ProcessState)
	default:
		check(emulator.WaitUntilServing(s.listen))
		return r.verdict(true, "the process serves")
	}
}

// openSilently opens silentConnections connections to an address, says nothing on them, and closes them after 2 s.
func (r *rig) openSilently(address string) {
	opened := 0
	for range silentConnections {
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			break // the process has ended, or its backlog is full
		}
		opened++
		time.AfterFunc(2*time.Second, func() { closeQuietly(conn) })
	}
	r.log.add("%d connections to the gossip address were opened, nothing is sent on them", opened)
}

// runCommand returns the command of the deploy file, under the platform's limit of descriptors, if any.
func (s *server) runCommand() string {
	const deployed = "exec bin/thistlequay"
	if s.descriptors == 0 {
		return deployed
	}
	return fmt.Sprintf("ulimit -n %d; %s", s.descriptors, deployed)
}
