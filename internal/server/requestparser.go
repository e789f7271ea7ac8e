package server

import (
	"bytes"
	"strconv"

	"thistlequay/admission"
	"thistlequay/internal/deployment"
	"thistlequay/internal/fastcgi"
	"thistlequay/timeunit"
)

// Limits on the fields of a request.
const (
	maxBodyBytes    = 2 << 10
	maxKeyBytes     = 64
	requestIDDigits = 16
	maxFootprintKB  = 2000 // exclusive limit of the memory footprint
	maxRank         = 1    // exclusive limit of the priority rank

	// maxClockSkew is how far a router's clock may be ahead of this server's clock.
	maxClockSkewMs = 1000
	maxClockSkew   = maxClockSkewMs * timeunit.TicksPerMillisecond

	// maxBudgetInDeadlines limits a request's budget to a multiple of its category's deadline. A larger budget must be
	// a mistake.
	maxBudgetInDeadlines = 2

	// routerNumberBits limits a router's number to 53 bits. The numbers keep growing as routers are added, and JSON, as
	// used for the settings, represents integers exactly only up to that size.
	routerNumberBits = 53
)

// pathPrefix is the part of a request's path before the name of its category.
var pathPrefix = []byte("/rpc/")

// Indexes of a request's fields in fieldNames and fieldValues.
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

// fieldNames holds the FastCGI parameter names of the fields.
var fieldNames = []string{
	"SCRIPT_NAME", "REQUEST_METHOD", "CONTENT_LENGTH", "HTTP_REQUEST_ID", "HTTP_RECEIVED_AT", "HTTP_SENT_BY",
	"HTTP_ACCOUNT", "HTTP_BUDGET_MS", "HTTP_FOOTPRINT_KB", "HTTP_PRIORITY_RANK", "HTTP_ONCE_KEY", "REMOTE_ADDR",
}

// fieldValues holds the unparsed values of a request's fields; the value of a missing field is nil. The values point
// into the parser's buffer.
type fieldValues [fieldCount][]byte

// parse returns the request that a stream contains, or a statusError for the first invalid field. It checks the fields
// against the settings, so that no unknown category or tenant and no implausible value reaches admission.
func (t *requestTable) parse(router *routerConnection, stream *fastcgi.Request) (*request, error) {
	var fields fieldValues
	hasDuplicate := stream.Params(fieldNames, fields[:])
	category, err := t.parseTarget(&fields, stream.Body)
	if err != nil {
		return nil, err
	}
	if hasDuplicate {
		return nil, errDuplicateField
	}
	req := &request{id: string(fields[fieldID]), category: category}
	req.arrival.Category = category
	if err := t.parseIdentity(req, &fields); err != nil {
		return nil, err
	}
	if err := t.parseLimits(req, &fields); err != nil {
		return nil, err
	}
	req.tenant = fields[fieldAccount]
	if tenancy := t.server.config.Tenancy; tenancy != nil {
		req.tenant = []byte(tenancy.Lookup(router.peerAddress(), fields[fieldRemote]))
	}
	return req, nil
}

// parseTarget checks path, method and body, and returns the category.
func (t *requestTable) parseTarget(fields *fieldValues, body []byte) (category int, err error) {
	name, hasPrefix := bytes.CutPrefix(fields[fieldPath], pathPrefix)
	if !hasPrefix {
		return 0, errUnknownPath
	}
	category, isKnown := t.server.config.Settings.CategoryIndex[string(name)]
	if !isKnown {
		return 0, errUnknownCategory
	}
	if string(fields[fieldMethod]) != "POST" {
		return 0, errMethod
	}
	if len(body) > maxBodyBytes {
		return 0, errBodyTooLong
	}
	length := fields[fieldLength]
	if len(length) > 0 && string(length) != strconv.Itoa(len(body)) {
		return 0, errContentLength
	}
	return category, nil
}

// parseIdentity checks the request ID and sets the time at which the router received the request.
func (t *requestTable) parseIdentity(req *request, fields *fieldValues) error {
	var err error
	req.number, err = strconv.ParseUint(req.id, 16, 64)
	if err != nil || len(req.id) != requestIDDigits {
		return errRequestID
	}
	if t.byID[req.id] != nil {
		return errRequestIDInUse
	}
	receivedAtMs, err := strconv.ParseInt(string(fields[fieldReceivedAt]), 10, 64)
	offset := t.server.clock.systemOffset // routers use the system clock
	nowMs := (t.server.now + offset).Milliseconds()
	if err != nil || receivedAtMs < 0 || receivedAtMs > nowMs+maxClockSkewMs {
		return errReceivedAt
	}
	req.receivedAt = timeunit.Ticks(receivedAtMs)*timeunit.TicksPerMillisecond - offset
	return nil
}

// parseLimits checks the fields that limit or classify the request: budget, sender, memory footprint, priority rank,
// account and idempotency key. It sets the deadline.
func (t *requestTable) parseLimits(req *request, fields *fieldValues) error {
	settings := t.server.config.Settings
	category := &settings.Categories[req.category]
	maxBudget := float64(category.Deadline) / float64(timeunit.TicksPerMillisecond) * maxBudgetInDeadlines
	budget, isValid := parseNumber(fields[fieldBudget], 0, maxBudget)
	if !isValid {
		return errBudget
	}
	sender, err := strconv.ParseUint(string(fields[fieldSentBy]), 10, routerNumberBits)
	if err != nil {
		return errSentBy
	}
	footprint, isValid := parseNumber(fields[fieldFootprint], 0, maxFootprintKB)
	if !isValid || footprint == 0 {
		return errFootprint
	}
	if _, isValid = parseNumber(fields[fieldRank], 0, maxRank); !isValid {
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
	req.key = key
	// A response after the category's deadline is of no use, however large the budget is.
	req.deadline = req.receivedAt + min(deployment.RoundDown(budget), category.Deadline)
	req.arrival.Router = int(sender)
	req.arrival.QueuedKB = footprint
	return nil
}

// parseNumber parses a number and reports whether it is valid: at least minimum and below limit.
func parseNumber(text []byte, minimum, limit float64) (float64, bool) {
	number, err := strconv.ParseFloat(string(text), 64)
	return number, err == nil && number >= minimum && number < limit
}
