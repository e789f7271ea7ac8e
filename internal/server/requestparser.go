package server

import (
	"bytes"
	"strconv"

	"thistlequay/admission"
	"thistlequay/internal/deployment"
	"thistlequay/internal/fastcgi"
	"thistlequay/timeunit"
)

// Bounds on what a request says of itself.
const (
	maxBodyBytes    = 2 << 10
	maxKeyBytes     = 64
	requestIDDigits = 16
	maxFootprintKB  = 2000 // of memory; a request must be below
	maxRank         = 1    // of its priority; a request must be below

	// maxClockSkew is how far a router's clock may be ahead.
	maxClockSkewMs = 1000
	maxClockSkew   = maxClockSkewMs * timeunit.TicksPerMillisecond

	// maxBudgetInDeadlines: a router that would wait for more deadlines than so many cannot mean it.
	maxBudgetInDeadlines = 2

	// routerNumberBits bounds a router's number. New routers come for ever, and a larger number is no whole number in
	// the settings' JSON.
	routerNumberBits = 53
)

// pathPrefix is what the path of a request has before the name of its category.
var pathPrefix = []byte("/rpc/")

// The fields of a request, in the order of fieldNames.
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
	fieldCount
)

// fieldNames are the fields' names in FastCGI.
var fieldNames = []string{
	"SCRIPT_NAME", "REQUEST_METHOD", "CONTENT_LENGTH", "HTTP_REQUEST_ID", "HTTP_RECEIVED_AT", "HTTP_SENT_BY",
	"HTTP_ACCOUNT", "HTTP_BUDGET_MS", "HTTP_FOOTPRINT_KB", "HTTP_PRIORITY_RANK", "HTTP_ONCE_KEY", "REMOTE_ADDR",
}

// fieldValues are a request's fields as they came, nil for one that did not. They lie in the parser's buffer.
type fieldValues [fieldCount][]byte

// parse makes a request of the fields, or returns the statusError that tells what is wrong with the first wrong one.
// The settings are the measure: nothing that they do not know, or that no router could mean, reaches admission.
func (t *requestTable) parse(router *routerConnection, stream *fastcgi.Request) (*request, error) {
	var fields fieldValues
	hasDuplicate := stream.Params(fieldNames, fields[:])
	parsed := &request{id: string(fields[fieldID])}
	if err := t.parseTarget(parsed, &fields, stream.Body); err != nil {
		return nil, err
	}
	if hasDuplicate {
		return nil, errDuplicateField
	}
	if err := t.parseIdentity(parsed, &fields); err != nil {
		return nil, err
	}
	if err := t.parseLimits(parsed, &fields); err != nil {
		return nil, err
	}
	parsed.tenant = fields[fieldAccount]
	if tenancy := t.server.config.Tenancy; tenancy != nil {
		parsed.tenant = []byte(tenancy.Lookup(router.peerAddress(), fields[fieldRemote]))
	}
	return parsed, nil
}

// parseTarget reads what is to be run: category, method and body.
func (t *requestTable) parseTarget(parsed *request, fields *fieldValues, body []byte) error {
	name, hasPrefix := bytes.CutPrefix(fields[fieldPath], pathPrefix)
	if !hasPrefix {
		return errUnknownPath
	}
	category, known := t.server.config.Settings.CategoryIndex[string(name)]
	if !known {
		return errUnknownCategory
	}
	if string(fields[fieldMethod]) != "POST" {
		return errMethod
	}
	if len(body) > maxBodyBytes {
		return errBodyTooLong
	}
	length := fields[fieldLength]
	if len(length) > 0 && string(length) != strconv.Itoa(len(body)) {
		return errContentLength
	}
	parsed.category = category
	parsed.arrival.Category = category
	return nil
}

// parseIdentity reads which request it is and when it was received.
func (t *requestTable) parseIdentity(parsed *request, fields *fieldValues) error {
	_, err := strconv.ParseUint(parsed.id, 16, 64)
	if err != nil || len(parsed.id) != requestIDDigits {
		return errRequestID
	}
	if t.byID[parsed.id] != nil {
		return errRequestIDInUse
	}
	receivedAtMs, err := strconv.ParseInt(string(fields[fieldReceivedAt]), 10, 64)
	offset := t.server.clock.systemOffset // routers go by the system's clock
	nowMs := (t.server.now + offset).Milliseconds()
	if err != nil || receivedAtMs < 0 || receivedAtMs > nowMs+maxClockSkewMs {
		return errReceivedAt
	}
	parsed.receivedAt = timeunit.Ticks(receivedAtMs)*timeunit.TicksPerMillisecond - offset
	return nil
}

// parseLimits reads how long the router waits, which router it is, and what the request may take.
func (t *requestTable) parseLimits(parsed *request, fields *fieldValues) error {
	settings := t.server.config.Settings
	category := &settings.Categories[parsed.category]
	maxBudget := float64(category.Deadline) / float64(timeunit.TicksPerMillisecond) * maxBudgetInDeadlines
	budget, isNumber := parseNumber(fields[fieldBudget], 0, maxBudget)
	if !isNumber {
		return errBudget
	}
	sender, err := strconv.ParseUint(string(fields[fieldSentBy]), 10, routerNumberBits)
	if err != nil {
		return errSentBy
	}
	footprint, isNumber := parseNumber(fields[fieldFootprint], 0, maxFootprintKB)
	if !isNumber || footprint == 0 {
		return errFootprint
	}
	if _, isNumber = parseNumber(fields[fieldRank], 0, maxRank); !isNumber {
		return errPriorityRank
	}
	if !settings.HasTenant(fields[fieldAccount]) {
		return errAccount
	}
	key := fields[fieldKey]
	isMissing := category.Idempotency == admission.Keyed && len(key) == 0
	if isMissing || len(key) > maxKeyBytes {
		return errOnceKey
	}
	parsed.key = key
	// No answer counts after that, whoever waits.
	parsed.deadline = parsed.receivedAt + min(deployment.RoundDown(budget), category.Deadline)
	parsed.arrival.Router = int(sender)
	parsed.arrival.QueuedKB = footprint
	return nil
}

// parseNumber reads a figure that must lie from least up to below end.
func parseNumber(text []byte, least, end float64) (float64, bool) {
	number, err := strconv.ParseFloat(string(text), 64)
	return number, err == nil && number >= least && number < end
}
