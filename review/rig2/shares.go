package main

import (
	"encoding/base64"
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { scenarios["9"] = hallComesBack }

// peersSection returns the section peers of the i-th server of a fleet, all founders, with the gossip addresses of all.
func (r *rig) peersSection(i int, gossip []string) string {
	r.write("peers.keys", base64.StdEncoding.EncodeToString([]byte("sixteen byte key"))+"\n")
	var names []string
	for number := range gossip {
		names = append(names, fmt.Sprintf("n%d", number+1))
	}
	return fmt.Sprintf("peers:\n  listen: %s\n  first: [%s]\n  founders: [%s]\n  fleet: small\n  servers: %d\n"+
		"  key_file: peers.keys\n", gossip[i], strings.Join(gossip, ", "), strings.Join(names, ", "), len(gossip))
}

// hallComesBack kills one of three app servers, a hall of its own, for 15 s, while all are asked for more calls than
// the index takes, and counts the calls that the index has in hand.
func hallComesBack(r *rig) bool {
	const servers, share = 3, 4.0
	x := newIndex(800 * time.Millisecond)
	directory := newDirectory()
	plan := settings(servers, 12, share, category("look", "repeatable"))
	var gossip []string
	for range servers {
		gossip = append(gossip, freeAddress())
	}
	var fleet []*server
	for i := range servers {
		s := r.newServer(fmt.Sprintf("n%d", i+1), plan, x.address, directory)
		s.service = r.peersSection(i, gossip)
		s.start()
		fleet = append(fleet, s)
	}
	stop := make(chan struct{})
	var down sync.Map
	var load sync.WaitGroup
	for _, s := range fleet {
		for range 24 {
			load.Go(func() { keepAsking(s, &down, stop) })
		}
	}
	begin := time.Now()
	time.Sleep(30 * time.Second)
	lost := fleet[servers-1]
	if r.trouble {
		down.Store(lost, true)
		lost.kill()
		time.Sleep(15 * time.Second)
		lost.replaceInterpreter()
		lost.start()
		down.Delete(lost)
	}
	time.Sleep(12 * time.Second)
	close(stop)
	load.Wait()
	for t := begin.Add(time.Second); t.Before(time.Now()); t = t.Add(time.Second) {
		mean, _ := x.peakMean(time.Second, t, t.Add(time.Millisecond))
		r.log.add("the index had %.2f calls in hand, in the mean of the second up to %.1f", mean,
			t.Sub(r.log.start).Seconds())
	}
	peak, at := x.peakMean(5*time.Second, begin.Add(5*time.Second), time.Now())
	return r.verdict(peak <= servers*share, "the mean of 5 s peaked at %.2f calls at %.1f s; the shares add up to %.0f",
		peak, at.Sub(r.log.start).Seconds(), servers*share)
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
