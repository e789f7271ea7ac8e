// This file owns the link to the process of plug-ins: which work items are on their walk past them, what is asked and
// what comes back, and which process is asked. It must never wait for a plug-in, believe a verdict that the walk did not
// take, or let a work item stay aside longer than the walk allows.
package server

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"github.com/panjf2000/gnet/v2"
	"github.com/rs/zerolog"

	"thistlequay/admission"
	"thistlequay/internal/plugin"
	"thistlequay/internal/plugin/abi"
	"thistlequay/internal/plugin/chain"
	"thistlequay/timeunit"
)

const (
	mostAsked    = 256                // calls out at once
	onTheWay     = timeunit.Ticks(20) // that a verdict may take from the process to the loop
	mostOld      = 4                  // processes that wait for the last work item that began with them
	mostCounters = 64
	mostKept     = 1 << 20 // bytes of all plug-ins' memories that are kept here for the next process
)

// Plugins is a process that is ready and what its plug-ins may do, in its order.
type Plugins struct {
	Process *plugin.Process
	Grants  []chain.Grant
	Drop    map[string]bool                                                  // plug-ins whose memory does not pass to this version
	Begin   func(kept map[string]map[string][]byte) (*plugin.Process, error) // another such process; may take its time
}

type plugins struct {
	app     *App
	names   []string // of categories
	room    []byte   // that requests are written in
	old     []*pluginHost
	live    *pluginHost // that new walks are asked at
	terms   *Plugins
	chain   *chain.Chain // of the terms, also while no process is there
	calls   map[uint64]*asking
	next    uint64
	kept    map[string]map[string][]byte
	bytes   int
	counts  map[string]int64
	dropped int // late verdicts
	died    int
	again   alarm
	backOff backOff
}

// pluginHost is one process as a connection.
type pluginHost struct {
	wire
	plugins *plugins
	terms   *Plugins
	process *plugin.Process
	chain   *chain.Chain
	carry   []byte
	out     int  // calls that are out
	held    int  // work items that began with it and are not over
	retired bool // another took its place
	ticks   []*alarm
	ended   bool
}

// asking is one walk under way, at a work item or at none.
type asking struct {
	it     *item
	host   *pluginHost
	walk   *chain.Walk
	at     chain.Point
	plugin *chain.Plugin
	call   uint64
	limit  alarm
	within timeunit.Ticks
	done   func(w *chain.Walk)
}

func (p *plugins) start(a *App) {
	p.app, p.calls, p.kept, p.counts = a, map[uint64]*asking{}, map[string]map[string][]byte{}, map[string]int64{}
	p.again.ring, p.room = p.begin, make([]byte, 0, plugin.MostFrame)
	p.names = make([]string, len(a.place.Terms.Categories))
	for name, i := range a.place.Terms.Named {
		p.names[i] = name
	}
}

// adopt has a process take the place of the one before, once the loop speaks with it: until then the old one is asked.
// Walks under way end where they began.
func (p *plugins) adopt(t *Plugins) {
	if p.terms = t; t == nil {
		p.retire()
		p.chain = nil
		return
	}
	fresh := func(name string) bool { return t.Drop[name] }
	pluginChain := chain.NewChain(t.Grants, p.chain, fresh, p.app.chance, p.app.now)
	if p.live == nil { // nobody is asked meanwhile
		p.chain = pluginChain
	}
	p.enrol(t, pluginChain)
}

// retire has no new work item begin with the live process.
func (p *plugins) retire() {
	old := p.live
	if p.live = nil; old == nil {
		return
	}
	old.retired = true
	p.old = append(slices.DeleteFunc(p.old, func(h *pluginHost) bool { return h.ended }), old)
	if old.rest(); len(p.old) > mostOld { // what began with the oldest goes on without it
		p.old[0].shut()
		p.old[0].closed()
	}
}

// enrol has the loop speak with a process.
func (p *plugins) enrol(t *Plugins, pluginChain *chain.Chain) {
	h := &pluginHost{plugins: p, terms: t, chain: pluginChain, process: t.Process}
	h.wire = wire{app: p.app, most: mostOnLink}
	go func() {
		enrolled, err := p.app.thread.Enroll(gnet.NewContext(context.Background(), h), h.process.Conn)
		if err == nil {
			err = (<-enrolled).Err
		}
		if err != nil {
			p.app.do(func() { h.closed() })
		}
	}()
}

func (h *pluginHost) opened(c gnet.Conn) {
	p := h.plugins
	if h.conn = c; p.terms != h.terms { // others came meanwhile
		h.retired = true
		h.rest()
		return
	}
	p.retire()
	for name := range h.terms.Drop {
		if h.terms.Drop[name] {
			for key, value := range p.kept[name] {
				p.bytes -= len(key) + len(value)
			}
			delete(p.kept, name)
		}
	}
	p.live, p.chain = h, h.chain
	names := make([]string, len(h.chain.Plugins))
	for i, one := range h.chain.Plugins {
		names[i] = one.Name
	}
	p.app.log.Event("plugins_ready").Str("plugins", strings.Join(names, " ")).Int64("took_ms", h.process.Took.Milliseconds()).
		Int("process", h.process.Command.Process.Pid).Send()
	for _, one := range h.chain.Plugins {
		if !one.At[chain.Tick] {
			continue
		}
		tick := &alarm{}
		tick.ring = func() {
			if h.retired || h.ended {
				return
			}
			h.plugins.app.set(tick, h.plugins.app.now+one.Every)
			if w := h.chain.Tick(one, h.plugins.app.now); w != nil {
				k := &asking{host: h, walk: w, at: chain.Tick, done: func(*chain.Walk) {}}
				if !k.send(one, min(one.Call, one.Every)) {
					w.Failed(chain.Absent, 0, h.plugins.app.now)
				}
			}
		}
		h.plugins.app.set(tick, h.plugins.app.now+one.Every)
		h.ticks = append(h.ticks, tick)
	}
}

// closed: the process ended, or was retired. What it was asked about goes on without it.
func (h *pluginHost) closed() {
	if h.ended {
		return
	}
	h.ended, h.conn = true, nil
	p := h.plugins
	for _, tick := range h.ticks {
		p.app.unset(tick)
	}
	go h.process.End()
	for call, k := range p.calls {
		if k.host == h {
			delete(p.calls, call)
			h.out--
			p.app.unset(&k.limit)
			k.failed(chain.Died, 0)
		}
	}
	if p.live == h || p.terms == h.terms && !h.retired {
		if p.live == h {
			p.live = nil
		}
		if often(&p.died) {
			p.app.log.Event("plugins_died").Int("count", p.died).Send()
		}
		p.app.set(&p.again, p.app.now+p.backOff.next())
	}
}

// begin has another process begun beside the loop.
func (p *plugins) begin() {
	t, kept := p.terms, p.snapshot()
	if t == nil {
		return
	}
	go func() {
		process, err := t.Begin(kept)
		p.app.do(func() {
			switch {
			case p.terms != t || p.live != nil: // other terms came meanwhile
				if err == nil {
					go process.End()
				}
			case err != nil:
				p.app.log.Event("plugins_refused").Str("reason", err.Error()).Send()
				p.app.set(&p.again, p.app.now+p.backOff.next())
			default:
				t.Process = process
				p.enrol(t, p.chain)
			}
		})
	}()
}

// snapshot copies what plug-ins keep.
func (p *plugins) snapshot() map[string]map[string][]byte {
	all := map[string]map[string][]byte{}
	for name, values := range p.kept {
		all[name] = map[string][]byte{}
		for key, value := range values {
			all[name][key] = value // replaced, never changed
		}
	}
	return all
}

// rest closes a retired process once nothing is asked there.
func (h *pluginHost) rest() {
	if h.retired && h.out == 0 && h.held == 0 {
		h.shut()
		h.closed()
	}
}

// begins has a work item that was read end with the plug-ins that it began with.
func (p *plugins) begins(it *item) {
	if p.chain == nil {
		return
	}
	it.who = string(it.tenant)
	if it.host = p.live; it.host != nil {
		it.host.held++
	}
}

// ends: it is over, or will never be taken.
func (p *plugins) ends(it *item) {
	if h := it.host; h != nil {
		it.host = nil
		h.held--
		h.rest()
	}
}

// about makes what a walk needs to know.
func (p *plugins) about(it *item) chain.Item {
	return chain.Item{Category: it.category, Tenant: it.who, Left: max(0, min(it.until, p.app.stop)-p.app.now),
		Fixed: p.app.place.Terms.Categories[it.category].Effect != admission.Harmless}
}

// aside begins the walk of a work item that has been read; false where no plug-in sees it.
func (p *plugins) aside(it *item, begin func(), done func(w *chain.Walk)) bool {
	about := p.about(it)
	if !p.chain.Asked(chain.Read, &about) {
		return false
	}
	begin()
	k := &asking{it: it, host: it.host, at: chain.Read, done: done}
	if k.host == nil { // no process is there: the walk passes over all as their settings say
		k.host = &pluginHost{plugins: p, chain: p.chain, ended: true}
	}
	k.walk = k.host.chain.Begin(chain.Read, about, nil, p.app.now)
	k.step()
	return true
}

// review begins the walk of a result that is to be answered; false where no plug-in sees it.
func (p *plugins) review(it *item, result []byte, done func(w *chain.Walk)) bool {
	h := it.host
	if h == nil || it.conn == nil && it.stamp == nil {
		return false
	}
	about := p.about(it)
	if !h.chain.Asked(chain.Result, &about) {
		return false
	}
	k := &asking{it: it, host: h, at: chain.Result, done: done, walk: h.chain.Begin(chain.Result, about, result, p.app.now)}
	k.step()
	return true
}

// step asks the next plug-in, or ends the walk.
func (k *asking) step() {
	a := k.host.plugins.app
	for {
		one, within := k.walk.Next(a.now)
		if one == nil {
			k.done(k.walk)
			k.host.rest()
			return
		}
		if k.send(one, within) {
			return
		}
		k.walk.Failed(chain.Absent, 0, a.now)
	}
}

// send asks one plug-in; false where that can't be.
func (k *asking) send(one *chain.Plugin, within timeunit.Ticks) bool {
	h := k.host
	p := h.plugins
	if h.ended || h.conn == nil || len(p.calls) >= mostAsked {
		return false
	}
	q := abi.Request{Hook: int(k.at), Now: int64(p.app.now / 10)}
	if it := k.it; it != nil {
		about := k.walk.Item()
		q.Left, q.Category, q.Tenant, q.Tag = uint32(about.Left/10), p.names[it.category], about.Tenant, it.tag
		if q.Body = it.body; k.at == chain.Result {
			q.Body = k.walk.Body
		}
		if k.walk.Tag != "" {
			q.Tag = k.walk.Tag
		}
	}
	p.next++
	k.plugin, k.call, k.within = one, p.next, within
	p.calls[k.call] = k
	h.out++
	k.limit.ring = func() {
		k.away()
		k.failed(chain.Late, k.within)
	}
	p.app.set(&k.limit, p.app.now+within+onTheWay)
	h.wire.out = plugin.Ask(h.buffer(), one.Place, int(k.at), k.call, int64(within), q.Append(p.room[:0]))
	return true
}

// away: the call is out no more.
func (k *asking) away() {
	p := k.host.plugins
	delete(p.calls, k.call)
	k.host.out--
	p.app.unset(&k.limit)
}

func (k *asking) failed(f chain.Fault, took timeunit.Ticks) {
	k.told(k.walk.Failed(f, took, k.host.plugins.app.now), f)
	k.step()
}

func (k *asking) told(quarantined bool, f chain.Fault) {
	if a := k.host.plugins.app; quarantined {
		a.log.Event("plugin_quarantined").Str("name", k.plugin.Name).Str("fault", chain.Words[f]).
			Int64("wait_ms", int64((k.plugin.Until()-a.now)/10)).Send()
	}
}

// how a call ended, as the process tells it, and what that is.
var faults = map[byte]chain.Fault{plugin.WasCut: chain.Late, plugin.Broke: chain.Trap, plugin.Unreadable: chain.Nonsense,
	plugin.NotAsked: chain.Absent}

func (h *pluginHost) traffic(data []byte) error {
	if len(h.carry) > 0 {
		data = append(h.carry, data...)
	}
	for {
		f, rest, whole, err := plugin.Cut(data)
		if err != nil {
			return err
		}
		if !whole {
			h.carry = append(h.carry[:0:0], data...)
			return nil
		}
		data = rest
		if f.Place >= len(h.chain.Plugins) {
			return errDone
		}
		name := h.chain.Plugins[f.Place].Name
		switch f.Kind {
		case plugin.FrameVerdict:
			h.verdict(f)
		case plugin.FrameKeep:
			if key, value, ok := f.Kept(); ok && !h.retired {
				h.plugins.keep(name, key, value)
			}
		case plugin.FrameLog:
			h.plugins.app.log.Event("plugin_says").Str("name", name).Str("text", string(f.Payload)).Send()
		case plugin.FrameCount:
			h.plugins.count(name, f.Payload)
		}
	}
}

func (h *pluginHost) verdict(f plugin.Frame) {
	p := h.plugins
	how, spent, bytes, ok := f.Told()
	k := p.calls[f.Call]
	if !ok || k == nil || k.host != h {
		p.dropped++ // it comes late: its work item went on
		return
	}
	k.away()
	took := timeunit.Ticks(spent.Microseconds()/100) + 1
	if how != plugin.Fine {
		k.failed(faults[how], took)
		return
	}
	said, err := abi.ReadVerdict(bytes)
	if err != nil {
		k.failed(chain.Nonsense, took)
		return
	}
	v := chain.Verdict{Decline: said.Does&abi.Declines != 0, Status: said.Status, Category: -1, HasTag: said.Does&abi.Tags != 0,
		Tag: said.Tag, Replace: said.Does&abi.Replaces != 0, Body: append([]byte(nil), said.Body...)}
	if said.Does&abi.Categorises != 0 {
		to, known := p.app.place.Terms.Named[said.Category]
		if v.Category = to; !known {
			v.Category = len(p.names)
		}
	}
	if fault, wrong, quarantined := k.walk.Said(v, took, p.app.now); wrong {
		k.told(quarantined, fault)
	}
	k.step()
}

// keep holds what a plug-in wants kept, for the process after this one.
func (p *plugins) keep(name, key string, value []byte) {
	of := p.kept[name]
	if of == nil {
		of = map[string][]byte{}
		p.kept[name] = of
	}
	if before, had := of[key]; had {
		p.bytes -= len(key) + len(before)
		delete(of, key)
	}
	if len(value) > 0 && p.bytes+len(key)+len(value) <= mostKept {
		p.bytes += len(key) + len(value)
		of[key] = append([]byte(nil), value...)
	}
}

func (p *plugins) count(name string, text []byte) {
	var moved map[string]int64
	if json.Unmarshal(text, &moved) != nil {
		return
	}
	for counter, by := range moved {
		if key := name + "." + counter; len(p.counts) < mostCounters || p.counts[key] != 0 {
			p.counts[key] += by
		}
	}
}

// tell adds how plug-ins do to the line on the state.
func (p *plugins) tell(e *zerolog.Event) {
	if p.chain == nil {
		return
	}
	calls, bad, off := 0, 0, 0
	for _, one := range p.chain.Plugins {
		calls += one.Calls
		for _, n := range one.Faults {
			bad += n
		}
		if one.State != chain.Live {
			off++
		}
	}
	e.Int("plugin_calls", calls).Int("plugin_faults", bad).Int("plugins_off", off).Int("plugin_verdicts_late", p.dropped)
	for _, key := range slices.Sorted(maps.Keys(p.counts)) {
		e.Int64(key, p.counts[key])
	}
}
