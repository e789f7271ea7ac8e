package server

import (
	"bytes"
	"strconv"
	"thistlequay/admission"
	"thistlequay/internal/deployment"
	"thistlequay/internal/fastcgi"
	"thistlequay/timeunit"
)

const (
	maxBodyBytes         = 2 << 10
	maxKeyBytes          = 64
	maxClockSkewMs       = 1000 // ms that a router's clock may be ahead
	maxBudgetInDeadlines = 2    // expiries: what waits longer than so many cannot be meant
	routerNumberBits     = 53   // of a router's number: new ones come for ever, and more is no whole number in the settings' JSON
)

// What a request says of itself, in the order of these names.
const (
	fieldPath = iota
	fieldMethod
	fieldLength
	fieldID
	fieldReceivedAt
	fieldSentBy
	fieldAccount
	fieldBudget
	fieldFootprint
	fieldRank
	fieldKey
	fieldRemote
)

var fieldNames = []string{"SCRIPT_NAME", "REQUEST_METHOD", "CONTENT_LENGTH", "HTTP_REQUEST_ID", "HTTP_RECEIVED_AT",
	"HTTP_SENT_BY", "HTTP_ACCOUNT", "HTTP_BUDGET_MS", "HTTP_FOOTPRINT_KB", "HTTP_PRIORITY_RANK", "HTTP_ONCE_KEY",
	"REMOTE_ADDR"}

const statusBodyTooLong = "413 Body too long"

// parseNumber reads a figure that must lie from least up to below end.
func parseNumber(text []byte, least, end float64) (float64, bool) {
	n, err := strconv.ParseFloat(string(text), 64)
	return n, err == nil && n >= least && n < end
}

// parse makes an arrival of the parameters, or gives the status that tells what is wrong with them. What the settings
// name is the measure: nothing that they do not know, or that no router could mean, reaches the module.
func (t *requestTable) parse(c *routerConnection, s *fastcgi.Request) (it *request, bad string) {
	terms := t.server.config.Settings
	var f [fieldRemote + 1][]byte
	twice := s.Params(fieldNames, f[:])
	it = &request{id: string(f[fieldID])}
	path, isPath := bytes.CutPrefix(f[fieldPath], []byte("/rpc/"))
	if !isPath {
		return it, "404 Unknown path"
	}
	category, known := terms.CategoryIndex[string(path)]
	if !known {
		return it, "404 Unknown category"
	}
	if string(f[fieldMethod]) != "POST" {
		return it, "405 Method"
	}
	if len(s.Body) > maxBodyBytes {
		return it, statusBodyTooLong
	}
	if length := f[fieldLength]; len(length) > 0 && string(length) != strconv.Itoa(len(s.Body)) {
		return it, "400 Content-Length"
	}
	if twice {
		return it, "400 A field came twice"
	}
	of := &terms.Categories[category]
	it.category, it.arrival.Category = category, category
	if _, err := strconv.ParseUint(it.id, 16, 64); err != nil || len(it.id) != 16 {
		return it, "400 Request-Id is not 16 hex digits"
	}
	if t.byID[it.id] != nil {
		return it, "400 Request-Id is in hand already"
	}
	stampedAt, err := strconv.ParseInt(string(f[fieldReceivedAt]), 10, 64)
	shift := t.server.clock.systemOffset
	if now := int64((t.server.now + shift) / 10); err != nil || stampedAt < 0 || stampedAt > now+maxClockSkewMs {
		return it, "400 Received-At"
	}
	budget, ok := parseNumber(f[fieldBudget], 0, float64(of.Deadline)/10*maxBudgetInDeadlines)
	if !ok {
		return it, "400 Budget-Ms"
	}
	caller, err := strconv.ParseUint(string(f[fieldSentBy]), 10, routerNumberBits)
	if err != nil {
		return it, "400 Sent-By"
	}
	held, ok := parseNumber(f[fieldFootprint], 0, 2000)
	if !ok || held == 0 {
		return it, "400 Footprint-Kb"
	}
	if _, ok = parseNumber(f[fieldRank], 0, 1); !ok {
		return it, "400 Priority-Rank"
	}
	if !terms.HasTenant(f[fieldAccount]) {
		return it, "400 Account"
	}
	if n := len(f[fieldKey]); of.Idempotency == admission.Keyed && n == 0 || n > maxKeyBytes {
		return it, "400 Once-Key"
	}
	it.key = f[fieldKey]
	it.receivedAt = timeunit.Ticks(stampedAt*10) - shift
	it.deadline = it.receivedAt + min(deployment.RoundDown(budget), of.Deadline) // no answer counts after that, whoever waits
	it.arrival.Router, it.arrival.QueuedKB = int(caller), held
	if it.tenant = f[fieldAccount]; t.server.config.Tenancy != nil {
		it.tenant = []byte(t.server.config.Tenancy.Lookup(c.peerAddress(), f[fieldRemote]))
	}
	return it, ""
}
