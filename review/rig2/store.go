package main

import (
	"fmt"
	"path/filepath"
	"sync"
	"time"
)

// window is how long a keyed request may come again, as at the first deployment.
const window = 35286 * time.Millisecond

// category returns the settings of one category of requests.
func category(name, effect string) object {
	span := 5000.0
	if effect == "by_key" {
		span = float64(window.Milliseconds())
	}
	return object{"Name": name, "Effect": effect, "OnTime": 3200, "HardLimit": 7100, "LateWorth": 0.2, "Window": span,
		"Worth": 1}
}

// settings returns the settings of a small deployment with the given categories.
func settings(servers, cores int, callShare float64, categories ...object) object {
	return object{
		"Categories": categories,
		"FamilyInfo": object{"Callers": 3, "Cores": cores, "Downstream": "common", "CallShare": callShare,
			"CallsOver": 5000, "EntryKb": 133, "Halt": "drop", "KeepaliveMax": 30000, "Linger": 200, "MemoryKb": 83664,
			"RunFactor": 8, "Say": "min_rank", "Cold": false,
			"Meters": []string{"core_use", "on_cores", "heap_share", "links"}},
		"Limits": object{"MaxRetryAfter": 1000, "RetryAfter": true}, "Period": 2, "Servers": servers,
		"Tenants": []object{{"Name": "acme", "Share": 1}},
		"Rules":   object{"Cold": 18000, "ColdFrom": 0.26, "DrainGrace": 2000, "TipMultiple": 8},
	}
}

// storeSection returns the section store with a directory of its own.
func (r *rig) storeSection() string {
	return fmt.Sprintf("store:\n  directory: %s\n  fresh: true\n", filepath.Join(r.temp, "store"))
}

// newItem returns the first try of a new keyed item, which works for the given time.
func newItem(work, budget time.Duration) *try {
	body := fmt.Sprintf("ms=%d calls=0 write %s", work.Milliseconds(), newID(8))
	return &try{"book", newID(16), newID(32), body, "acme", budget}
}

// runLongerThanWaited sends new keyed items at once, whose callers get no result in time, and waits until they have
// run.
func (s *server) runLongerThanWaited(count int) (items []*try) {
	var sending sync.WaitGroup
	for range count {
		item := newItem(300*time.Millisecond, 150*time.Millisecond)
		items = append(items, item)
		sending.Go(func() { s.send(item) })
	}
	sending.Wait()
	time.Sleep(time.Second)
	return items
}

// repeat returns another try of an item, for which the caller waits the usual time.
func (t *try) repeat() *try {
	return &try{t.class, newID(16), t.key, t.body, t.tenant, 7 * time.Second}
}

// inTime ends the case with status 2 if a window that began at a time is over.
func inTime(begin time.Time, window time.Duration) {
	if age := time.Since(begin); age > window {
		check(fmt.Errorf("the window was over after %v", age))
	}
}

func init() {
	scenarios["release"] = releaseWithAnotherCategory
	scenarios["restart"] = restartAtFullRate
}

// releaseWithAnotherCategory restarts an app server with a store, by a release whose configuration has one category
// more, in front of the keyed one. Five keyed items ran before, longer than their callers waited; each comes again.
func releaseWithAnotherCategory(r *rig) bool {
	look, book := category("look", "repeatable"), category("book", "by_key")
	s := r.newServer("n1", settings(1, 6, 5, look, book), newIndex(20*time.Millisecond), newDirectory())
	s.service = r.storeSection()
	s.start()
	begin := time.Now()
	items := s.runLongerThanWaited(5)
	before := s.interpreter
	s.kill()
	s.replaceInterpreter()
	if r.trouble {
		s.platform["settings"] = settings(1, 6, 5, look, category("stock", "repeatable"), book)
	}
	s.start()
	twice := 0
	for _, item := range items {
		s.send(item.repeat())
		if len(before.runs(item.body)) > 0 && len(s.interpreter.runs(item.body)) > 0 {
			twice++
		}
	}
	inTime(begin, window)
	return r.verdict(twice == 0, "of %d keyed items %d ran before the release and again after it", len(items), twice)
}

// restartAtFullRate sends keyed items at the rate of the users' page, kills the process and repeats, after its restart
// and within the window, the oldest items, which had run longer than their callers waited.
func restartAtFullRate(r *rig) bool {
	const window = 53082 * time.Millisecond
	book := category("book", "by_key")
	book["Window"] = window.Milliseconds()
	plan := settings(1, 6, 5, category("look", "repeatable"), book)
	s := r.newServer("n1", plan, newIndex(20*time.Millisecond), newDirectory())
	s.platform["limits"] = object{"cores": 1.0, "memory_mb": 64, "sockets": 384}
	s.service = r.storeSection()
	s.start()
	begin := time.Now()
	var items []*try
	var sending sync.WaitGroup
	for i := 0; time.Since(begin) < 40*time.Second; i++ {
		item := newItem(20*time.Millisecond, 7*time.Second)
		if i >= 20 && len(items) < 10 { // by then the app server knows that items may be short
			item = newItem(300*time.Millisecond, 150*time.Millisecond)
			items = append(items, item)
		}
		sending.Go(func() { s.send(item) })
		time.Sleep(time.Second / 50)
	}
	sending.Wait()
	before := s.interpreter
	if r.trouble {
		s.kill()
		s.replaceInterpreter()
		s.start()
	}
	refused, ran := 0, 0
	for _, item := range items {
		if len(before.runs(item.body)) == 0 {
			continue
		}
		ran++
		if status, _ := s.send(item.repeat()); isRefusal(status) {
			refused++
		}
	}
	inTime(begin, window)
	return r.verdict(refused == 0, "of %d keyed items that had run %d were turned away", ran, refused)
}
