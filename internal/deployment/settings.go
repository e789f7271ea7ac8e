package deployment

import (
	"thistlequay/admission"
	"thistlequay/internal/fairqueue"
)

// settings is the object as the pages describe it, under the pages' names. Times are in milliseconds, memory is in
// kilobytes. Keys that are not here bear on parts that this program does not have.
type settings struct {
	Categories []categorySettings `json:"Categories"`
	Server     serverSettings     `json:"FamilyInfo"`
	Routers    routerSettings     `json:"Clients"`
	Limits     limitSettings      `json:"Limits"`
	Period     float64            `json:"Period"`  // between batches, at least
	Servers    int                `json:"Servers"` // of the fleet, at this start
	Tenants    []tenantSettings   `json:"Tenants"`
	Rules      ruleSettings       `json:"Rules"`
}

type categorySettings struct {
	Name         string   `json:"Name"`
	Idempotency  string   `json:"Effect"`
	Deadline     float64  `json:"HardLimit"`
	SoftDeadline float64  `json:"OnTime"`
	LateValue    float64  `json:"LateWorth"` // of an answer after the soft deadline, as a part of Weight
	Weight       float64  `json:"Worth"`
	Window       *float64 `json:"Window"` // how long a repeat may come; nil where that is not said
}

// window returns how long a repeat may come. Only categories with an idempotency key have to say it.
func (c *categorySettings) window() float64 {
	if c.Window == nil {
		return 0
	}
	return *c.Window
}

type serverSettings struct {
	DownstreamLimit   float64   `json:"CallShare"` // this server's part of the calls that the dependency survives
	DownstreamWindow  float64   `json:"CallsOver"`
	EntryKB           float64   `json:"EntryKb"`
	MaxIdle           float64   `json:"KeepaliveMax"`
	ResultTTL         float64   `json:"Fresh"`
	DegradedValues    []float64 `json:"ClassSkipWorth"` // by category: of an answer without a downstream call
	AbandonedCallTime float64   `json:"Linger"`
	MemoryKB          float64   `json:"MemoryKb"`
	RunMemoryFactor   float64   `json:"RunFactor"`
	Routers           int       `json:"Callers"`
	Cores             int       `json:"Cores"`
	StartsCold        bool      `json:"Cold"`
	Downstream        string    `json:"Downstream"`
	Stop              string    `json:"Halt"` // what becomes of a run that is stopped
	LoadReport        string    `json:"Say"`
	Gauges            []string  `json:"Meters"` // names of the figures of a gauge reading, in their order
}

type routerSettings struct {
	RetriesMarked bool `json:"MarksRetry"`
}

type limitSettings struct {
	MaxRetryAfter float64 `json:"MaxRetryAfter"`
	RetryAfter    bool    `json:"RetryAfter"` // routers pass on when to come back
}

type tenantSettings struct {
	Name   string  `json:"Name"`
	Weight float64 `json:"Share"` // in the fair queues; 0 where it is not told
}

type ruleSettings struct {
	WarmUpTime        float64 `json:"Cold"`
	ColdSpeed         float64 `json:"ColdFrom"`
	DrainGrace        float64 `json:"DrainGrace"`
	OverloadThreshold float64 `json:"TipMultiple"` // runnable requests per core
}

// The words of the pages, each list in the order in which diagnostics tell it.
var (
	idempotencyNames = []string{"repeatable", "by_key", "once"}
	stopNames        = []string{stopSilent, stopDrop, stopPause}
	downstreamNames  = []string{"silent", downstreamCommon, "next_hop"}
	loadReportNames  = []string{"silent", "bias", "min_rank", "tokens"}
)

// Words that more than one place of this package knows.
const (
	idempotencyByKey = "by_key"
	downstreamCommon = "common" // all servers call the same dependency
	stopSilent       = "silent" // a run can't be stopped
	stopDrop         = "drop"   // its progress and memory are gone
	stopPause        = "pause"  // its progress is gone, its memory stays until its request is over
)

// Words that are absent from these maps have the zero value.
var (
	idempotencies = map[string]admission.Idempotency{
		idempotencyByKey: admission.Keyed,
		"once":           admission.NonIdempotent,
	}
	loadReportModes = map[string]admission.LoadReportMode{
		"min_rank": admission.ReportRank,
		"tokens":   admission.ReportLimit,
		"bias":     admission.ReportProbability,
	}
)

// gaugeSelectors are the figures of a gauge reading that decisions use.
var gaugeSelectors = map[string]func(*admission.Gauges) *float64{
	"core_use": func(gauges *admission.Gauges) *float64 { return &gauges.CoreUtilization },
	"on_cores": func(gauges *admission.Gauges) *float64 { return &gauges.RunnableRequests },
}

// config converts settings that are valid.
func (s *settings) config() *Config {
	config := &Config{
		Config:           s.admission(),
		CategoryIndex:    map[string]int{},
		PauseKeepsMemory: s.Server.Stop == stopPause,
		tenantNames:      map[string]bool{},
	}
	for i := range s.Categories {
		config.CategoryIndex[s.Categories[i].Name] = i
		config.Categories = append(config.Categories, s.category(i))
	}
	for _, tenant := range s.Tenants {
		config.tenantNames[tenant.Name] = true
		if tenant.Weight > 0 {
			weighted := fairqueue.Tenant{Name: tenant.Name, Weight: tenant.Weight}
			config.TenantWeights = append(config.TenantWeights, weighted)
		}
	}
	for _, name := range s.Server.Gauges {
		config.gaugeFields = append(config.gaugeFields, gaugeSelectors[name])
	}
	return config
}

// admission converts all but the categories.
func (s *settings) admission() admission.Config {
	server := &s.Server
	config := admission.Config{
		Routers:           server.Routers,
		RetriesMarked:     s.Routers.RetriesMarked,
		Servers:           s.Servers,
		Cores:             server.Cores,
		MemoryKB:          server.MemoryKB,
		RunMemoryFactor:   server.RunMemoryFactor,
		EntryKB:           server.EntryKB,
		BatchInterval:     RoundUp(s.Period),
		DrainGrace:        RoundDown(s.Rules.DrainGrace),
		ResultTTL:         RoundDown(server.ResultTTL),
		StartsCold:        server.StartsCold,
		ColdSpeed:         s.Rules.ColdSpeed,
		WarmUpTime:        RoundUp(s.Rules.WarmUpTime),
		OverloadThreshold: s.Rules.OverloadThreshold,
		SharedDependency:  server.Downstream == downstreamCommon,
		DownstreamLimit:   server.DownstreamLimit,
		DownstreamWindow:  RoundDown(server.DownstreamWindow),
		AbandonedCallTime: RoundUp(server.AbandonedCallTime),
		LoadReportMode:    loadReportModes[server.LoadReport],
		MaxIdleTime:       RoundDown(server.MaxIdle),
		// Package admission stops only runs whose answer nobody waits for any more.
		CanStopRuns: server.Stop == stopDrop || server.Stop == stopPause,
	}
	if s.Limits.RetryAfter {
		config.MaxRetryAfter = RoundDown(s.Limits.MaxRetryAfter)
	}
	return config
}

// category converts the category at a place.
func (s *settings) category(place int) admission.Category {
	read := &s.Categories[place]
	category := admission.Category{
		Weight:              read.Weight,
		LateValue:           read.LateValue,
		SoftDeadline:        RoundDown(read.SoftDeadline),
		Deadline:            RoundDown(read.Deadline),
		DeduplicationWindow: RoundUp(read.window()),
		Idempotency:         idempotencies[read.Idempotency],
	}
	if place < len(s.Server.DegradedValues) {
		category.DegradedValue = s.Server.DegradedValues[place]
	}
	return category
}
