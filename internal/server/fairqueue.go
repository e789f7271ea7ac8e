package server

import (
	"reflect"

	"github.com/rs/zerolog"

	"thistlequay/admission"
	"thistlequay/internal/fairqueue"
)

// fairQueueSubsystem shares the cores fairly among tenants. It is enabled if Config.FairQueue is set.
type fairQueueSubsystem struct {
	subsystemDefaults
	server    *Server
	scheduler *fairqueue.Scheduler // nil if fair queueing is disabled
}

func (p *fairQueueSubsystem) init(server *Server) {
	p.server = server
	p.configure()
}

func (p *fairQueueSubsystem) isEnabled() bool { return p.scheduler != nil }

// configure creates, reconfigures or removes the scheduler. Open reservations stay with the scheduler that made them.
func (p *fairQueueSubsystem) configure() {
	config := p.server.config.FairQueue
	switch {
	case config == nil:
		p.scheduler = nil
	case p.scheduler == nil:
		settings := p.server.config.Settings
		initial := *config
		initial.Cores = settings.Cores
		initial.SoftDeadlines = nil
		for _, category := range settings.Categories {
			initial.SoftDeadlines = append(initial.SoftDeadlines, category.SoftDeadline)
		}
		p.scheduler = fairqueue.New(initial, p.server.random, p.server.clock.now())
	default:
		p.scheduler.Reconfigure(*config, p.server.now)
	}
}

func (p *fairQueueSubsystem) reconfigure(next *Config) {
	if !reflect.DeepEqual(next.FairQueue, p.server.config.FairQueue) {
		p.server.config.FairQueue = next.FairQueue
		p.configure()
	}
}

// reserve makes a reservation for a request and copies the reservation's start tag and expected delay to its arrival.
func (p *fairQueueSubsystem) reserve(admitted *request, tenant []byte, arrival *admission.Arrival) {
	if p.scheduler == nil {
		return
	}
	virtualTime := p.server.admission.VirtualTime()
	admitted.reservation = p.scheduler.Reserve(tenant, admitted.category, virtualTime, p.server.now)
	arrival.StartTag = admitted.reservation.ExpectedStartTag
	arrival.Turn = &admitted.reservation
	arrival.ExpectedDelay = admitted.reservation.ExpectedDelay
}

func (p *fairQueueSubsystem) addState(event *zerolog.Event) {
	stats := p.scheduler.Stats()
	event.Int("fair_flows", stats.HeavyHitters).Int("fair_shared_flows", stats.ActiveSharedFlows).
		Int("fair_candidates", stats.Candidates).Int("fair_core_percent", int(100*stats.ServiceRate))
}
