package main

import (
	"encoding/base64"
	"fmt"
	"strings"
	"sync"
	"time"
)

// writeKeys writes the key file that the sections peers name. It must not be written again while a server may read it.
func (r *rig) writeKeys() {
	r.write("peers.keys", base64.StdEncoding.EncodeToString([]byte("sixteen byte key"))+"\n")
}

// peersSection returns the section peers of the i-th server of a fleet, all founders, with the gossip addresses of all.
func (r *rig) peersSection(i int, gossip []string) string {
	var names []string
	for number := range gossip {
		names = append(names, fmt.Sprintf("n%d", number+1))
	}
	return fmt.Sprintf("peers:\n  listen: %s\n  first: [%s]\n  founders: [%s]\n  fleet: small\n  servers: %d\n"+
		"  key_file: peers.keys\n", gossip[i], strings.Join(gossip, ", "), strings.Join(names, ", "), len(gossip))
}

// keepAsking sends one request after another until stop is closed, except while the server is down.
func keepAsking(s *server, down *sync.Map, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		if _, isDown := down.Load(s); isDown {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		status, _ := s.send(&try{"look", newID(16), "", "ms=20 calls=1 " + newID(8), "acme", 7 * time.Second})
		if status != 200 {
			time.Sleep(100 * time.Millisecond)
		}
	}
}
