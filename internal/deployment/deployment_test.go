package deployment

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"thistlequay/admission"
	"thistlequay/internal/diagnostics"
)

// validSettings is a valid deployment.
const validSettings = `{
  "Categories": [
    {"Name": "look", "Effect": "repeatable", "OnTime": 3200, "HardLimit": 7100, "LateWorth": 0.2, "Worth": 1, "New": 1},
    {"Name": "book", "Effect": "by_key", "OnTime": 3200, "HardLimit": 7100, "Worth": 3, "Window": 35000}],
  "FamilyInfo": {"Cores": 6, "Downstream": "common", "Halt": "drop", "Say": "min_rank", "Meters": ["links"]},
  "Tenants": [{"Name": "a", "Share": 0.3}, {"Name": "b"}]
}`

// readModified reads validSettings with the first occurrence of from replaced by to.
func readModified(t *testing.T, from, to string) *Config {
	t.Helper()
	require.Contains(t, validSettings, from)
	config, err := Read([]byte(strings.Replace(validSettings, from, to, 1)))
	require.NoError(t, err)
	return config
}

// TestReadConvertsSettings checks the values that subsystems get.
func TestReadConvertsSettings(t *testing.T) {
	config, err := Read([]byte(validSettings))
	require.NoError(t, err)
	require.Equal(t, admission.Keyed, config.Categories[1].Idempotency)
	require.Equal(t, 1, config.CategoryIndex["book"])
	require.Len(t, config.TenantWeights, 1)
	require.True(t, config.CanStopRuns)
	require.False(t, config.PauseKeepsMemory)
	pausing := readModified(t, `"drop"`, `"pause"`)
	require.True(t, pausing.CanStopRuns)
	require.True(t, pausing.PauseKeepsMemory)
	require.True(t, config.HasTenant([]byte("b")))
	require.False(t, config.HasTenant([]byte("c")))
}

// TestWindowOfZeroIsAccepted checks that a deduplication window of 0 is valid: it means that requests are not repeated.
// invalidSettings covers the absent window, which is a fault.
func TestWindowOfZeroIsAccepted(t *testing.T) {
	config := readModified(t, `"Window": 35000`, `"Window": 0`)
	require.Zero(t, config.Categories[1].DeduplicationWindow)
}

// invalidSettings are replacements that make validSettings invalid. pointsAt is the text at the position of the
// diagnostic.
var invalidSettings = []struct{ from, to, pointsAt, diagnostic string }{
	{`by_key`, `by_kye`, `"by_kye"`,
		`Categories[1].Effect: "by_kye" is not known; expected one of repeatable, by_key, once`},
	{`"Effect": "by_key", `, ``, `{"Name": "book"`,
		`Categories[1].Effect: is missing; expected one of repeatable, by_key, once`},
	{`"drop"`, `"dorp"`, `"dorp"`, `FamilyInfo.Halt: "dorp" is not known; expected one of silent, drop, pause`},
	{`"min_rank"`, `"rank"`, `"rank"`,
		`FamilyInfo.Say: "rank" is not known; expected one of silent, bias, min_rank, tokens`},
	{`"common"`, `"comon"`, `"comon"`,
		`FamilyInfo.Downstream: "comon" is not known; expected one of silent, common, next_hop`},
	{`"book"`, `"look"`, `"look", "Effect": "by_key"`,
		`Categories[1].Name: "look" stands twice; expected each name once`},
	{`"Name": "b"`, `"Name": "a"`, `"a"}]`, `Tenants[1].Name: "a" stands twice; expected each name once`},
	{`"OnTime": 3200, "HardLimit": 7100, "LateWorth"`, `"OnTime": 7200, "HardLimit": 7100, "LateWorth"`,
		`7200,`, `Categories[0].OnTime: 7200: the answer is wanted within more than its caller waits; ` +
			`expected at most HardLimit, 7100`},
	{`, "Window": 35000`, ``, `{"Name": "book"`,
		`Categories[1].Window: by_key without a window; expected how long a repeat may come`},
	{`"LateWorth": 0.2`, `"LateWorth": -1`, `-1,`,
		`Categories[0].LateWorth: -1 is out of range; expected from 0 to 1e12`},
	{`"Cores": 6`, `"Cores": 6, "ClassSkipWorth": [0.5, 2]`, `2]`,
		`FamilyInfo.ClassSkipWorth[1]: 2 is out of range; expected from 0 to 1`},
	{`"Cores": 6`, `"Cores": 6, "Fresh": -1`, `-1,`, `FamilyInfo.Fresh: -1 is out of range; expected from 0 to 1e12`},
	{`"Cores": 6`, `"Cores": "six"`, `"six"`, `FamilyInfo.Cores: is a string; expected a value of type int`},
	{`"Worth": 3,`, `"Worth": 3, "effect": "once",`, `"once"`,
		`Categories[1].effect: stands twice; expected each name once`},
	{`"Halt"`, `Halt`, `Halt: "drop"`,
		`can't be read: invalid character 'H' looking for beginning of object key string; expected JSON`},
}

// TestReadLocatesEachFault checks that each invalid value yields one diagnostic, at the position of the value.
func TestReadLocatesEachFault(t *testing.T) {
	for _, test := range invalidSettings {
		t.Run(test.diagnostic, func(t *testing.T) {
			require.Contains(t, validSettings, test.from)
			text := []byte(strings.Replace(validSettings, test.from, test.to, 1))
			_, err := Read(text)
			require.Error(t, err)
			found := diagnostics.LocateJSON(text, diagnostics.FromError(err))
			require.Len(t, found, 1)
			line := strings.Split(string(text), "\n")[found[0].Line-1]
			rest := line[found[0].Column-1:]
			require.True(t, strings.HasPrefix(rest, test.pointsAt), "points at %s", rest)
			found[0].Line = 0
			require.Equal(t, test.diagnostic, found.Error())
		})
	}
}

// FuzzRead checks that Read does not panic on any text, and that each diagnostic has a line.
func FuzzRead(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Fuzz(func(t *testing.T, text []byte) {
		if _, err := Read(text); err != nil {
			for _, diagnostic := range diagnostics.LocateJSON(text, diagnostics.FromError(err)) {
				require.Positive(t, diagnostic.Line, diagnostic.Error())
			}
		}
	})
}
