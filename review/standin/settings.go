package standin

// Class is a class of the settings.
type Class struct {
	Name, Effect, Group    string // effect: retryable, dedup or fragile
	PromiseUs, DeadlineUs  int64
	WindowUs               int64
	AllowedIn, ServedOn    []int
	Credit, Stretch        float64
	Threads                int
	Writes, WaitsForWrites bool
}

// Settings returns settings in the form of the platform, with the limits of a small deployment: drains within 1 s, three attempts for a
// request, further attempts rationed to 5 and 0.2 for each request in 5 s.
func Settings(zones []string, peers, me int, classes ...Class) Object {
	var list []Object
	var threads []int
	var waits, writes []bool
	for _, c := range classes {
		o := Object{"name": c.Name, "credit": max(c.Credit, 1), "promiseUs": c.PromiseUs, "deadlineUs": c.DeadlineUs, "effect": c.Effect,
			"aimStretch": c.Stretch, "lateWorth": 0.1}
		if c.Group != "" {
			o["group"], o["windowUs"] = c.Group, c.WindowUs
		}
		if c.AllowedIn != nil {
			o["allowedIn"] = c.AllowedIn
		}
		if c.ServedOn != nil {
			o["servedOn"] = c.ServedOn
		}
		list, threads = append(list, o), append(threads, max(c.Threads, 1))
		waits, writes = append(waits, c.WaitsForWrites), append(writes, c.Writes)
	}
	return Object{"az": 0, "me": me, "peersTotal": peers, "zones": zones, "models": []string{"std"}, "classes": list, "customers": []Object{},
		"familyInfo": Object{"dop": threads, "kindCores": []int{16}, "ramOfKindMb": []int{32768}, "waitsForLoads": waits, "writesTables": writes},
		"feedback":   Object{"how": "piggyback", "fields": []string{"busy", "rif"}},
		"limits": Object{"connectTimeoutUs": 250000, "connIdleUs": 30000000, "streamsPerConn": 100, "sendCap": 3, "mostHeld": 20000,
			"retryAfter": true, "maxRetryAfterUs": 2000000},
		"rules": Object{"stopSendingWithinUs": 1000000, "budgetFree": 5, "budgetShare": 0.2, "budgetSpanUs": 5000000, "graceToAnswerUs": 500000,
			"coldFrom": 0.34, "coldUs": 14000000, "fallMultiple": 3, "overloadForUs": 3000000}}
}

// Limits returns the limits of a dispatcher.
func Limits(memoryMB, sockets int) Object {
	return Object{"cores": 1.0, "memory_mb": memoryMB, "sockets": sockets}
}
