package deployment

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/diagnostics"
	"thistlequay/internal/golden"
)

// allKeys is a deployment that sets every key, so that the golden file shows which field stores each value.
const allKeys = `{"Categories":[
{"Name":"a","Effect":"by_key","HardLimit":9001.07,"LateWorth":0.21,"OnTime":3002.04,"Worth":1.5,"Window":35003.01},
{"Name":"b","Effect":"once","HardLimit":904,"LateWorth":0.22,"OnTime":305,"Worth":2.5},
{"Name":"c","Effect":"repeatable","HardLimit":806,"LateWorth":0.23,"OnTime":207,"Worth":3.5,"Window":0}],
"FamilyInfo":{"CallShare":1.25,"CallsOver":508.09,"EntryKb":9,"KeepaliveMax":30010.01,"Fresh":1011.01,
"ClassSkipWorth":[0.4,0.5],"Linger":212.01,"MemoryKb":4013,"RunFactor":14,"Callers":15,"Cores":16,"Cold":true,
"Downstream":"common","Halt":"pause",
"Say":"bias","Meters":["links","on_cores","core_use"]},"Clients":{"MarksRetry":true},
"Limits":{"MaxRetryAfter":1017.09,"RetryAfter":true},"Period":2.01,"Servers":18,
"Tenants":[{"Name":"t","Share":0.25},{"Name":"u"}],
"Rules":{"Cold":9019.01,"ColdFrom":0.3,"DrainGrace":320.09,"TipMultiple":8}}`

// invalidValues is a deployment with a fault at every value that is validated.
const invalidValues = `{"Categories":[
{"Name":"a","Effect":"by_key","HardLimit":-1,"LateWorth":1e13,"OnTime":-1,"Worth":-1,"Window":-1},
{"Name":"a","Effect":"by_key","HardLimit":5,"LateWorth":2,"OnTime":6,"Worth":1e13},
{"Name":"","HardLimit":5,"OnTime":1e13},{"Effect":"twice"}],
"FamilyInfo":{"CallShare":-1,"CallsOver":-1,"EntryKb":-1,"KeepaliveMax":-1,"Fresh":-1,"ClassSkipWorth":[-0.1,0,1.1],` +
	`"Linger":-1,
"MemoryKb":-1,"RunFactor":-1,"Callers":-1,"Cores":-1,"Downstream":"up","Halt":"stop","Say":"nothing"},
"Limits":{"MaxRetryAfter":-1},"Period":-1,"Servers":-1,"Tenants":[{"Name":"t","Share":-1},{"Name":"t","Share":1e13}],
"Rules":{"Cold":-1,"ColdFrom":-1,"DrainGrace":-1,"TipMultiple":-1}}`

// TestGoldenDiagnostics compares the diagnostics for invalid and for truncated settings with a golden file.
func TestGoldenDiagnostics(t *testing.T) {
	var out bytes.Buffer
	diagnose := func(text string) {
		_, err := Read([]byte(text))
		fmt.Fprintf(&out, "%s\n\n", diagnostics.LocateJSON([]byte(text), diagnostics.FromError(err)).Error())
	}
	for _, test := range invalidSettings {
		diagnose(strings.Replace(validSettings, test.from, test.to, 1))
	}
	for _, text := range []string{invalidValues, ``, `{}`, `null`, `{"Servers":1.5}`, `{"Servers":1,"servers":2}`,
		`{"Categories":[{"Worth":"x"}]}`, `{"Clients":{"MarksRetry":1}}`, "{\"Rules\":\n\t{\"Cold\":[]}}", `{} {}`} {
		diagnose(text)
	}
	// For these texts, Diagnostic.Expected names Go types of the program, which may change. Only the positions, paths
	// and problems are recorded.
	for _, text := range []string{
		`[]`, `7`, `{"Categories":{}}`, "{\"Categories\":\n[ []]}", `{"FamilyInfo":[]}`, `{"Rules":true}`,
	} {
		_, err := Read([]byte(text))
		for _, diagnostic := range diagnostics.LocateJSON([]byte(text), diagnostics.FromError(err)) {
			fmt.Fprintln(&out, diagnostic.Line, diagnostic.Column, diagnostic.Path, diagnostic.Problem)
		}
	}
	for cut := 1; cut < len(validSettings); cut += 17 { // truncated at many different places
		diagnose(validSettings[:cut])
	}
	golden.Check(t, "diagnostics.txt", out.Bytes())
}

// TestGoldenSettings compares the values that subsystems get from valid settings with a golden file.
func TestGoldenSettings(t *testing.T) {
	otherValues := strings.NewReplacer(`"RetryAfter":true`, `"RetryAfter":false`, `"pause"`, `"drop"`,
		`"bias"`, `"tokens"`, `"common"`, `"next_hop"`).Replace(allKeys)
	var out bytes.Buffer
	for _, text := range []string{validSettings, allKeys, otherValues} {
		config, err := Read([]byte(text))
		require.NoError(t, err)
		fmt.Fprintln(&out, config.Routers, config.RetriesMarked, config.Servers, config.Cores, config.MemoryKB,
			config.RunMemoryFactor, config.EntryKB, int64(config.BatchInterval), int64(config.DrainGrace),
			int64(config.ResultTTL), config.StartsCold, config.ColdSpeed, int64(config.WarmUpTime),
			config.OverloadThreshold, config.SharedDependency, config.DownstreamLimit, int64(config.DownstreamWindow),
			int64(config.AbandonedCallTime), int(config.LoadReportMode), int64(config.MaxIdleTime), config.CanStopRuns,
			int64(config.MaxRetryAfter), config.PauseKeepsMemory, config.TurnOffset)
		for _, category := range config.Categories {
			fmt.Fprintln(&out, category.Weight, category.LateValue, int64(category.SoftDeadline),
				int64(category.Deadline), int64(category.DeduplicationWindow), int(category.Idempotency),
				category.DegradedValue)
		}
		for _, tenant := range config.TenantWeights {
			fmt.Fprintln(&out, tenant.Name, tenant.Weight)
		}
		gauges := config.GaugesFromRow([]float64{1, 2, 3, 4})
		fmt.Fprintln(&out, config.CategoryIndex["a"], config.CategoryIndex["b"], config.CategoryIndex["c"],
			config.HasTenant([]byte("u")), config.HasTenant([]byte("v")), gauges.CoreUtilization,
			gauges.RunnableRequests)
	}
	for _, ms := range []float64{0, 0.01, 0.04, 0.1, 0.10000001, 0.29999999, 12.34, 1e9 + 0.05} {
		fmt.Fprintln(&out, ms, int64(RoundDown(ms)), int64(RoundUp(ms)))
	}
	golden.Check(t, "settings.txt", out.Bytes())
}
