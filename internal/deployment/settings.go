package deployment

import (
	"thistlequay/admission"
	"thistlequay/internal/fairqueue"
)

// settings is the JSON object, with the names that the platform's documentation defines. Times are in milliseconds,
// memory is in kilobytes. Keys without a field concern parts that this program does not have.
type settings struct {
	Categories []categorySettings `json:"Categories"`
	Server     serverSettings     `json:"FamilyInfo"`
	Routers    routerSettings     `json:"Clients"`
	Limits     limitSettings      `json:"Limits"`
	Period     float64            `json:"Period"`  // minimum time between two batches
	Servers    int                `json:"Servers"` // size of the fleet when this server starts
	Tenants    []tenantSettings   `json:"Tenants"`
	Rules      ruleSettings       `json:"Rules"`
}

// categorySettings are the settings of one category of requests.
type categorySettings struct {
	Name         string   `json:"Name"`
	Idempotency  string   `json:"Effect"`
	Deadline     float64  `json:"HardLimit"`
	SoftDeadline float64  `json:"OnTime"`
	LateValue    float64  `json:"LateWorth"` // value of an answer after the soft deadline, as a fraction of Weight
	Weight       float64  `json:"Worth"`
	Window       *float64 `json:"Window"` // time during which a request may be repeated; nil if absent
}

// window returns the time during which a request may be repeated, or 0 if it is absent. Only keyed categories must set
// it.
func (c *categorySettings) window() float64 {
	if c.Window == nil {
		return 0
	}
	return *c.Window
}

// serverSettings are the settings of a server and its downstream dependency.
type serverSettings struct {
	DownstreamLimit   float64   `json:"CallShare"` // this server's part of the calls that the dependency can sustain
	DownstreamWindow  float64   `json:"CallsOver"`
	EntryKB           float64   `json:"EntryKb"`
	MaxIdle           float64   `json:"KeepaliveMax"`
	ResultTTL         float64   `json:"Fresh"`
	DegradedValues    []float64 `json:"ClassSkipWorth"` // by category: value of an answer without a downstream call
	AbandonedCallTime float64   `json:"Linger"`
	MemoryKB          float64   `json:"MemoryKb"`
	RunMemoryFactor   float64   `json:"RunFactor"`
	Routers           int       `json:"Callers"`
	Cores             int       `json:"Cores"`
	StartsCold        bool      `json:"Cold"`
	Downstream        string    `json:"Downstream"`
	Stop              string    `json:"Halt"` // what happens to a run that is stopped, see stopNames
	LoadReport        string    `json:"Say"`
	Gauges            []string  `json:"Meters"` // names of the values in a gauge reading, in order
}

// routerSettings describe the behavior of the routers.
type routerSettings struct {
	RetriesMarked bool `json:"MarksRetry"`
}

// limitSettings describe how routers handle Retry-After.
type limitSettings struct {
	MaxRetryAfter float64 `json:"MaxRetryAfter"`
	RetryAfter    bool    `json:"RetryAfter"` // whether routers pass on Retry-After to clients
}

// tenantSettings are the settings of one tenant.
type tenantSettings struct {
	Name   string  `json:"Name"`
	Weight float64 `json:"Share"` // in the fair queues; 0 if absent
}

// ruleSettings describe warming up, draining and overload.
type ruleSettings struct {
	WarmUpTime        float64 `json:"Cold"`
	ColdSpeed         float64 `json:"ColdFrom"`
	DrainGrace        float64 `json:"DrainGrace"`
	OverloadThreshold float64 `json:"TipMultiple"` // runnable requests per core
}

// Accepted values of the keys Effect, Halt, Downstream and Say, in the order in which diagnostics list them.
var (
	idempotencyNames = []string{"repeatable", "by_key", "once"}
	stopNames        = []string{stopSilent, stopDrop, stopPause}
	downstreamNames  = []string{"silent", downstreamCommon, "next_hop"}
	loadReportNames  = []string{"silent", "bias", "min_rank", "tokens"}
)

// Values that are used in more than one place of this package.
const (
	idempotencyByKey = "by_key"
	downstreamCommon = "common" // all servers call the same dependency
	stopSilent       = "silent" // a run cannot be stopped
	stopDrop         = "drop"   // a stopped run loses its progress and frees its memory
	stopPause        = "pause"  // a stopped run loses its progress but keeps its memory until its request has ended
)

// Conversions of accepted values. A value that is absent from its map stands for the zero value of the type.
var (
	idempotencyByName = map[string]admission.Idempotency{
		idempotencyByKey: admission.Keyed,
		"once":           admission.NonIdempotent,
	}
	loadReportModeByName = map[string]admission.LoadReportMode{
		"min_rank": admission.ReportRank,
		"tokens":   admission.ReportLimit,
		"bias":     admission.ReportProbability,
	}
)

// gaugeSelectors maps the names of the gauges on which decisions are based to the fields that store their values.
var gaugeSelectors = map[string]func(*admission.Gauges) *float64{
	"core_use": func(gauges *admission.Gauges) *float64 { return &gauges.CoreUtilization },
	"on_cores": func(gauges *admission.Gauges) *float64 { return &gauges.RunnableRequests },
}

// config converts valid settings.
func (s *settings) config() *Config {
	config := &Config{
		Config:           s.admissionConfig(),
		CategoryIndex:    map[string]int{},
		PauseKeepsMemory: s.Server.Stop == stopPause,
		tenantNames:      map[string]bool{},
	}
	for i := range s.Categories {
		config.CategoryIndex[s.Categories[i].Name] = i
		config.Categories = append(config.Categories, s.admissionCategory(i))
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

// admissionConfig converts the settings that package admission uses, except the categories.
func (s *settings) admissionConfig() admission.Config {
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
		LoadReportMode:    loadReportModeByName[server.LoadReport],
		MaxIdleTime:       RoundDown(server.MaxIdle),
		// Package admission stops only runs whose answer no client waits for any longer.
		CanStopRuns: server.Stop == stopDrop || server.Stop == stopPause,
	}
	if s.Limits.RetryAfter {
		config.MaxRetryAfter = RoundDown(s.Limits.MaxRetryAfter)
	}
	return config
}

// admissionCategory converts the category at an index.
func (s *settings) admissionCategory(index int) admission.Category {
	parsed := &s.Categories[index]
	category := admission.Category{
		Weight:              parsed.Weight,
		LateValue:           parsed.LateValue,
		SoftDeadline:        RoundDown(parsed.SoftDeadline),
		Deadline:            RoundDown(parsed.Deadline),
		DeduplicationWindow: RoundUp(parsed.window()),
		Idempotency:         idempotencyByName[parsed.Idempotency],
	}
	if index < len(s.Server.DegradedValues) {
		category.DegradedValue = s.Server.DegradedValues[index]
	}
	return category
}
