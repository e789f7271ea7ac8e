package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { scenarios["reload"] = sectionByReload }

// sectionByReload puts the section peers into the service files of three app servers, has them read their files, as for
// any new configuration, and then restarts the first of them, as for a release. All are asked for more calls than the
// index takes.
func sectionByReload(r *rig) bool {
	const servers, share = 3, 4.0
	x := newIndex(800 * time.Millisecond)
	directory := newDirectory()
	plan := settings(servers, 24, share, category("look", "repeatable"))
	var gossip []string
	var fleet []*server
	for i := range servers {
		s := r.newServer(fmt.Sprintf("n%d", i+1), plan, x, directory)
		s.service = "{}\n"
		s.start()
		fleet = append(fleet, s)
		gossip = append(gossip, freeAddress())
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
	time.Sleep(10 * time.Second)
	r.writeKeys()
	for i, s := range fleet {
		s.service = r.peersSection(i, gossip)
		r.write(s.name+".yaml", s.service)
	}
	if r.trouble {
		moveAll(x, directory, fleet)
	}
	time.Sleep(25 * time.Second) // until they have agreed on a cluster configuration, if they do
	first := fleet[0]
	down.Store(first, true)
	first.signal(syscall.SIGTERM)
	<-first.exited
	first.interpreter.kill()
	first.replaceInterpreter()
	first.start()
	down.Delete(first)
	time.Sleep(30 * time.Second)
	close(stop)
	load.Wait()
	x.logMeans(r.log, begin)
	peak, at := x.peakMean(5*time.Second, begin.Add(5*time.Second), time.Now())
	return r.verdict(peak <= servers*share, "the mean of 5 s peaked at %.2f calls at %.1f s; the shares add up to %.0f",
		peak, at.Sub(r.log.start).Seconds(), servers*share)
}

// moveAll moves all that the app servers talk to, replaces their configuration files and sends SIGHUP to them.
func moveAll(x *index, directory *door, fleet []*server) {
	x.move()
	directory.move()
	for _, s := range fleet {
		s.interpreter.move()
		s.writeConfig()
	}
	for _, s := range fleet {
		s.signal(syscall.SIGHUP)
	}
}
