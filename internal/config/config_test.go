package config

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/deployment"
)

// read writes a text to a temporary file and reads it with Read. The file is called f in the error.
func read(t testing.TB, text string) (*Config, error) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "service.yaml")
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	config, err := Read(file)
	if err != nil {
		err = fmt.Errorf("%s", strings.ReplaceAll(err.Error(), file, "f"))
	}
	return config, err
}

// mustRead reads a text like read and fails the test if the text is not valid.
func mustRead(t testing.TB, text string) *Config {
	t.Helper()
	config, err := read(t, text)
	require.NoError(t, err)
	return config
}

// TestReadConvertsFairQueues checks the conversion of the section fair_queues if it is absent, empty or has values.
func TestReadConvertsFairQueues(t *testing.T) {
	config, err := Read("")
	require.NoError(t, err)
	require.Nil(t, config.FairQueues.SchedulerConfig(&deployment.Config{}))
	require.Nil(t, mustRead(t, "# nothing set\n").FairQueues)
	require.Equal(t, 256, mustRead(t, "fair_queues:\n").FairQueues.MaxHeavyHitters)
	section := mustRead(t, `
fair_queues:
  tenants:
    - {name: a, share: 3}
    - {name: "7", share: 1.5}
  burst: 1s
  by: network
  networks:
    - {prefix: 10.0.0.0/8, tenant: a}
    - {prefix: "fd00::1", tenant: b}
  trusted_fronts: [127.0.0.1]
`).FairQueues
	require.Equal(t, time.Second, section.Burst)
	scheduler := section.SchedulerConfig(&deployment.Config{})
	require.Equal(t, 2.25, scheduler.OthersWeight) // the mean of 3 and 1.5
	require.Equal(t, 10_000, int(scheduler.Burst))
	require.NotNil(t, section.TenantTable())
}

// invalidFile is the text of an invalid file and a part of the expected diagnostic.
type invalidFile struct{ text, diagnostic string }

// invalidFairQueues are invalid files for the section fair_queues.
var invalidFairQueues = []invalidFile{
	{"fair_queue:\n", "f:1:1: fair_queue: is not known; expected one of fair_queues"},
	{"fair_queues:\n  book: 3\n", "f:2:3: fair_queues.book: is not known; expected one of tenants, others,"},
	{"fair_queues:\n  books: 3\n  books: 4\n", "f:3:3: fair_queues.books: stands twice; expected each key once"},
	{"fair_queues:\n  books: many\n", `f:2:10: fair_queues.books: "many"; expected a whole number`},
	{"fair_queues:\n  books: 1.5\n", `f:2:10: fair_queues.books: "1.5"; expected a whole number`},
	{"fair_queues:\n  books: -1\n", "f:2:10: fair_queues.books: -1 is out of range; expected at least 0"},
	{"fair_queues:\n  newcomers: 1\n", "f:2:14: fair_queues.newcomers: 1 is out of range; expected less than 1"},
	{"fair_queues:\n  others: .nan\n", `f:2:11: fair_queues.others: ".nan"; expected a number`},
	{"fair_queues:\n  burst: 200\n",
		`f:2:10: fair_queues.burst: "200"; expected a time with its unit, as in 250ms or 2s`},
	{"fair_queues:\n  burst: 2h\n", "f:2:10: fair_queues.burst: 2h is out of range; expected at most 60s"},
	{"fair_queues:\n  by: hall\n", `f:2:7: fair_queues.by: "hall"; expected one of account, network`},
	{"fair_queues:\n  tenants:\n    - name: a\n",
		"f:3:7: fair_queues.tenants[0].share: is missing; expected a value"},
	{"fair_queues:\n  tenants:\n    - {name: 7, share: 1}\n",
		`f:3:14: fair_queues.tenants[0].name: "7"; expected text; quote it if that is meant`},
	{"fair_queues:\n  tenants: a\n", "f:2:12: fair_queues.tenants: is no list; expected a list"},
	{"fair_queues: 3\n", "f:1:14: fair_queues: is none; expected a section of key: value"},
	{"fair_queues:\n  burst: &x 1s\n  history: *x\n",
		"f:3:12: fair_queues.history: is an alias; expected the value itself"},
	{"fair_queues:\n  books:\n", "f:2:9: fair_queues.books: is empty; expected a value"},
	{"fair_queues:\n\tbooks: 3\n", "f:2:1: found character that cannot start any token"},
	{"fair_queues:\n---\nfair_queues:\n", "f:2:1: a second document; expected one document"},
	{"fair_queues:\n  tenants: [{name: a, share: 1}, {name: a, share: 2}]\n",
		`f:2:41: fair_queues.tenants[1].name: "a" stands twice; expected each tenant once`},
	{"fair_queues:\n  by: network\n",
		"f:2:7: fair_queues.by: by: network without any; expected at least one network"},
	{"fair_queues:\n  networks: [{prefix: 10.0.0.0/8, tenant: a}]\n",
		"f:2:13: fair_queues.networks: networks are told, but tenants go by account; expected by: network"},
	{"fair_queues:\n  by: network\n  networks: [{prefix: 10.0.0.1/8, tenant: a}]\n",
		`f:3:23: fair_queues.networks[0].prefix: "10.0.0.1/8": has bits set beyond its length`},
	{"fair_queues:\n  by: network\n  networks: [{prefix: ten, tenant: a}]\n",
		`f:3:23: fair_queues.networks[0].prefix: "ten":` +
			` is no address and no prefix such as 10.1.0.0/16 or fd00::/8`},
	{"fair_queues:\n  by: network\n  networks: [{prefix: 10.0.0.0/8, tenant: a}" +
		", {prefix: \"::ffff:10.0.0.0/104\", tenant: b}]\n",
		"f:3:56: fair_queues.networks[1].prefix: ::ffff:10.0.0.0/104 stands twice; expected each prefix once"},
}

// FuzzRead checks that Read does not panic on any text, and that the conversions do not panic on any valid file.
func FuzzRead(f *testing.F) {
	f.Add("fair_queues:\n  tenants: [{name: a, share: 1}]\n  burst: 1s\n")
	f.Fuzz(func(t *testing.T, text string) {
		if config, err := read(t, text); err == nil {
			config.FairQueues.SchedulerConfig(&deployment.Config{})
			config.FairQueues.TenantTable()
		}
	})
}

// gossipSection is a valid section peers, which the section shares requires.
const gossipSection = "peers: {listen: '127.0.0.1:1', fleet: f, servers: 4, key_file: k}\n"

// invalidQuotas are invalid files for the section shares.
var invalidQuotas = []invalidFile{
	{"shares: {calls: 8, slots: 4}\n", "a section peers"},
	{gossipSection + "shares: {calls: 3, slots: 4}\n", "3 calls for 4 slots"},
	{gossipSection + "shares: {calls: 8, slots: 4, floor: 3}\n", "with a floor of 3"},
	{gossipSection + "shares: {calls: 8, slots: 3}\n", "3 slots for 4 servers"},
	{gossipSection + "shares: {calls: 8, slots: 4, keepers: [a, b]}\n", "three or five names"},
	{gossipSection + "shares: {calls: 8, slots: 4, keepers: [a, b, c]}\n", "could vote twice"},
	{gossipSection + "shares: {calls: 8, slots: 4, directory: d}\n", "could vote twice"},
	{gossipSection + "shares: {calls: 8, slots: 4, fresh: true}\n", "nothing lasts"},
	{gossipSection + "shares: {calls: 8, slots: 4, calls_a_second: 9, floor_a_second: 3}\n",
		"9 calls a second for 4 slots"},
	{gossipSection + "shares: {calls: 8, slots: 4, keepers: [a, a, c], directory: d}\n", "stands twice"},
	{gossipSection + "shares: {calls: 8, slots: 4, clock_drift: 0.5}\n", "clock_drift"},
}

// TestReadLocatesFaults checks that each fault is reported with its file, line and column.
func TestReadLocatesFaults(t *testing.T) {
	for section, faults := range map[string][]invalidFile{"fair queues": invalidFairQueues, "quota": invalidQuotas} {
		for _, test := range faults {
			t.Run(section+"/"+test.diagnostic, func(t *testing.T) {
				_, err := read(t, test.text)
				require.ErrorContains(t, err, test.diagnostic)
				require.Regexp(t, `(?m)^f:\d+:\d+: `, err.Error())
			})
		}
	}
}

// TestServersMayDifferInQuotaTotals checks the limits that a section is converted to, and that sections that differ
// only in totals and revision have the same digest. Servers compare digests, so different digests would keep them from
// sharing limits while new totals are rolled out.
func TestServersMayDifferInQuotaTotals(t *testing.T) {
	config := mustRead(t, gossipSection+"shares: {calls: 800, slots: 400, calls_a_second: 2000}\n")
	limits := config.Quota.Limits()
	require.Len(t, limits, 2)
	for _, limit := range limits {
		require.NoError(t, limit.Validate())
		require.EqualValues(t, 8000, limit.LeaseDuration)
	}
	changed := mustRead(t, gossipSection+"shares: {calls: 900, slots: 400, calls_a_second: 2500, revision: 2}\n")
	require.Equal(t, config.Quota.Digest(), changed.Quota.Digest())
	require.NotEqual(t, config.Quota.Totals(), changed.Quota.Totals())
}
