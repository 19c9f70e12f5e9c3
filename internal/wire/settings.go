package wire

import (
	"encoding/json"
	"fmt"

	"embershunt/policy"
)

// env is the settings object of the protocol. Keys that it does not declare are ignored.
type env struct {
	AZ         int `json:"az"`
	Me         int `json:"me"`
	PeersTotal int `json:"peersTotal"`
	Classes    []struct {
		Name       string        `json:"name"`
		Credit     float64       `json:"credit"`
		LateWorth  float64       `json:"lateWorth"`
		AimStretch float64       `json:"aimStretch"`
		PromiseUs  policy.Micros `json:"promiseUs"`
		DeadlineUs policy.Micros `json:"deadlineUs"`
		Effect     string        `json:"effect"`
		Group      string        `json:"group"`
		WindowUs   policy.Micros `json:"windowUs"`
		InTurn     bool          `json:"inTurn"`
		AllowedIn  []int         `json:"allowedIn"`
		ServedOn   []int         `json:"servedOn"`
	} `json:"classes"`
	Zones     []string `json:"zones"`
	Models    []string `json:"models"`
	CountedBy string   `json:"countedBy"`
	Customers []struct {
		Name          string  `json:"name"`
		AllowancePerS float64 `json:"allowancePerS"`
	} `json:"customers"`
	FamilyInfo struct {
		Dop           []int         `json:"dop"`
		GrantsCount   bool          `json:"grantsCount"`
		KindCores     []int         `json:"kindCores"`
		MaxGrantShare float64       `json:"maxGrantShare"`
		OnShortage    string        `json:"onShortage"`
		ProgressUs    policy.Micros `json:"progressUs"`
		RAMOfKindMb   []float64     `json:"ramOfKindMb"`
		TakesPriority bool          `json:"takesPriority"`
		WaitsForLoads []bool        `json:"waitsForLoads"`
		WritesTables  []bool        `json:"writesTables"`
	} `json:"familyInfo"`
	Feedback struct {
		How string `json:"how"`
	} `json:"feedback"`
	Limits struct {
		Cancelling      bool          `json:"cancelling"`
		ConnIdleUs      policy.Micros `json:"connIdleUs"`
		ConnectTimeout  policy.Micros `json:"connectTimeoutUs"`
		StreamsPerConn  int           `json:"streamsPerConn"`
		MaxRetryAfterUs policy.Micros `json:"maxRetryAfterUs"`
		MostHeld        int           `json:"mostHeld"`
		Peers           bool          `json:"peers"`
		Probes          bool          `json:"probes"`
		RetryAfter      bool          `json:"retryAfter"`
		SecondCopies    bool          `json:"secondCopies"`
		SendCap         int           `json:"sendCap"`
	} `json:"limits"`
	OverShareWorth float64 `json:"overShareWorth"`
	RegistryMode   string  `json:"registryMode"`
	Rules          struct {
		ColdFrom            float64       `json:"coldFrom"`
		ColdUs              policy.Micros `json:"coldUs"`
		FallMultiple        float64       `json:"fallMultiple"`
		GraceToAnswerUs     policy.Micros `json:"graceToAnswerUs"`
		MustAskInUs         policy.Micros `json:"mustAskInUs"`
		OverloadForUs       policy.Micros `json:"overloadForUs"`
		StopSendingWithinUs policy.Micros `json:"stopSendingWithinUs"`
		TurnGapUs           policy.Micros `json:"turnGapUs"`
		BudgetFree          float64       `json:"budgetFree"`
		BudgetShare         float64       `json:"budgetShare"`
		BudgetSpanUs        policy.Micros `json:"budgetSpanUs"`
	} `json:"rules"`
}

// The protocol's names of settings; "" selects the default.
var (
	effects = map[string]policy.Effect{"": policy.Idempotent, "retryable": policy.Idempotent, "dedup": policy.IdempotentByKey,
		"fragile": policy.NonIdempotent}
	dedupScopes = map[string]policy.DedupScope{"": policy.DedupFleet, "all": policy.DedupFleet, "zone": policy.DedupZone,
		"cell": policy.DedupPlacementGroup}
	shortages = map[string]policy.Shortage{"": policy.ShortageQueues, "queue": policy.ShortageQueues,
		"trim": policy.ShortageTrims, "swap": policy.ShortageSwaps}
)

// ConnectionSettings holds the settings that package policy does not use: those of connections, and names.
type ConnectionSettings struct {
	Zones, Models  []string // names of zones and node kinds, by index
	ConnectTimeout policy.Micros
	ConnIdle       policy.Micros // idle time after which a connection is closed
	StreamsPerConn int           // maximum number of concurrent attempts on a connection
}

// DecodeSettings decodes the settings object into the settings of the policy and those of connections.
func DecodeSettings(raw json.RawMessage) (*policy.Settings, ConnectionSettings, error) {
	var e env
	if err := json.Unmarshal(raw, &e); err != nil {
		return nil, ConnectionSettings{}, err
	}
	s, err := e.settings()
	return s, ConnectionSettings{e.Zones, e.Models, e.Limits.ConnectTimeout, e.Limits.ConnIdleUs,
		e.Limits.StreamsPerConn}, err
}

// settings returns the policy's settings; an error names the invalid key.
func (e *env) settings() (*policy.Settings, error) {
	s := e.limits()
	var ok bool
	if s.Shortage, ok = shortages[e.FamilyInfo.OnShortage]; !ok {
		return nil, fmt.Errorf("familyInfo.onShortage: unknown value %q", e.FamilyInfo.OnShortage)
	}
	if err := e.checkLengths(); err != nil {
		return nil, err
	}
	for i := range e.Classes {
		class, err := e.class(i)
		if err != nil {
			return nil, err
		}
		s.Classes = append(s.Classes, class)
	}
	for i, cores := range e.FamilyInfo.KindCores {
		k := policy.Kind{Cores: cores}
		if len(e.FamilyInfo.RAMOfKindMb) > 0 {
			k.MemoryMB = e.FamilyInfo.RAMOfKindMb[i]
		}
		s.Kinds = append(s.Kinds, k)
	}
	for _, t := range e.Customers {
		s.Tenants = append(s.Tenants, policy.Tenant{Name: t.Name, Quota: t.AllowancePerS})
	}
	return s, nil
}

// limits returns the settings that do not belong to a class, kind or tenant.
func (e *env) limits() *policy.Settings {
	f, l, r := &e.FamilyInfo, &e.Limits, &e.Rules
	s := &policy.Settings{
		Zone:            e.AZ,
		PeerIndex:       e.Me,
		Peers:           e.PeersTotal,
		OverQuotaWeight: e.OverShareWorth,
		WeightByWork:    e.CountedBy == "work",

		MaxAttempts:    l.SendCap,
		MaxInFlight:    l.MostHeld,
		CanCancel:      l.Cancelling,
		CanHealthCheck: l.Probes,
		CanGossip:      l.Peers,
		AllowHedging:   l.SecondCopies,

		ReportsByAnswer:      e.Feedback.How == "piggyback",
		ReportsByHealthCheck: e.Feedback.How == "pull",
		PollEndpoints:        e.RegistryMode == "subscribe",

		HonorsGrants:     f.GrantsCount,
		HonorsPriority:   f.TakesPriority,
		MaxGrantShare:    f.MaxGrantShare,
		ProgressInterval: f.ProgressUs,

		SlowStartFloor:    r.ColdFrom,
		SlowStartDuration: r.ColdUs,
		OverloadMultiple:  r.FallMultiple,
		OverloadDuration:  r.OverloadForUs,
		DrainGrace:        r.StopSendingWithinUs,
		AnswerSlack:       r.GraceToAnswerUs,
		MaxPollInterval:   r.MustAskInUs,
		OrderingGap:       r.TurnGapUs,
		RetryBudgetFloor:  r.BudgetFree,
		RetryBudgetRatio:  r.BudgetShare,
		RetryBudgetWindow: r.BudgetSpanUs,
	}
	if l.RetryAfter {
		s.MaxRetryAfter = l.MaxRetryAfterUs
	}
	return s
}

// checkLengths checks that each list indexed by class or kind is empty or has an entry for each class or kind.
func (e *env) checkLengths() error {
	f := &e.FamilyInfo
	for name, n := range map[string]int{"dop": len(f.Dop), "waitsForLoads": len(f.WaitsForLoads), "writesTables": len(f.WritesTables)} {
		if n != 0 && n != len(e.Classes) {
			return fmt.Errorf("familyInfo.%s: %d entries for %d classes", name, n, len(e.Classes))
		}
	}
	if len(f.RAMOfKindMb) != 0 && len(f.RAMOfKindMb) != len(f.KindCores) {
		return fmt.Errorf("familyInfo.ramOfKindMb: %d entries for %d kinds", len(f.RAMOfKindMb), len(f.KindCores))
	}
	return nil
}

// class returns the class with index i.
func (e *env) class(i int) (policy.Class, error) {
	c, f := &e.Classes[i], &e.FamilyInfo
	class := policy.Class{Name: c.Name, PriorityWeight: c.Credit, LateWeight: c.LateWorth, LatencyObjective: c.PromiseUs,
		ObjectiveStretch: c.AimStretch, Deadline: c.DeadlineUs, DedupWindow: c.WindowUs, Ordered: c.InTurn,
		Zones: c.AllowedIn, Kinds: c.ServedOn}
	var ok bool
	if class.Effect, ok = effects[c.Effect]; !ok {
		return class, fmt.Errorf("classes[%d].effect: unknown value %q", i, c.Effect)
	}
	if class.DedupScope, ok = dedupScopes[c.Group]; !ok {
		return class, fmt.Errorf("classes[%d].group: unknown value %q", i, c.Group)
	}
	if len(f.Dop) > 0 {
		class.Threads = f.Dop[i]
	}
	if len(f.WritesTables) > 0 {
		class.LocksTables = f.WritesTables[i]
	}
	if len(f.WaitsForLoads) > 0 {
		class.WaitsForTables = f.WaitsForLoads[i]
	}
	return class, nil
}
