package kit

// Names of the classes and the tenant of the small deployment.
const (
	ClassRead  = "lagersok"     // harmless
	ClassCount = "hylletelling" // harmless
	ClassWrite = "mottak"       // keyed: must not run twice within its window
	Tenant     = "kirkens-hjelp"
)

// Settings returns settings like those of the first deployment: its classes, deadlines, window and rules, for a server
// with the given number of cores.
func Settings(cores, servers int) map[string]any {
	class := func(name, effect string, onTime, hardLimit, window, late, worth float64) map[string]any {
		return map[string]any{"Name": name, "Effect": effect, "OnTime": onTime, "HardLimit": hardLimit,
			"Window": window, "LateWorth": late, "Worth": worth}
	}
	return map[string]any{
		"Categories": []any{
			class(ClassRead, "repeatable", 3200, 7100, 5000, 0, 1),
			class(ClassCount, "repeatable", 1900, 4300, 5000, 0.2, 1),
			class(ClassWrite, "by_key", 3200, 7100, 35286, 0.2, 3),
		},
		"FamilyInfo": map[string]any{
			"CallShare": 5.83, "Callers": 3, "CallsOver": 5000, "Cold": false, "Cores": cores, "Downstream": "common",
			"EntryKb": 133.13, "Fresh": 0, "Halt": "drop", "HangupSeen": true, "HeardFor": 1000, "KeepaliveMax": 30000,
			"Linger": 200, "MemoryKb": 83664, "Meters": []string{"core_use", "on_cores", "heap_share", "links"},
			"PassesDeadline": true, "RunFactor": 8, "Say": "min_rank",
		},
		"Limits": map[string]any{"MaxRetryAfter": 1000, "RetryAfter": true},
		"Period": 2,
		"Rules": map[string]any{"AnswerSlack": 60, "Cold": 18000, "ColdFrom": 0.26, "DrainGrace": 2000, "Fall": 2000,
			"TipMultiple": 8},
		"Servers": servers,
		"Tenants": []any{
			map[string]any{"Name": Tenant, "QuotaPerS": 81, "Share": 0.31},
			map[string]any{"Name": "bymisjonen-vest", "QuotaPerS": 76, "Share": 0.29},
		},
	}
}
