// Package scenario plays a day script on loopback: simulated nodes and control service, real dispatchers, real Flight SQL and
// ClickHouse clients, and faults injected at set times. Afterwards the rules of the report are checked by comparing what the
// clients recorded with what the nodes and the control service recorded, never with the dispatchers' own counters.
package scenario

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/types/known/anypb"

	"embershunt/config"
	"embershunt/control"
)

// Script describes a day: the fleet, the clients, the faults and the settings.
type Script struct {
	Name        string          `json:"name"`
	Seed        int             `json:"seed"`
	Length      config.Duration `json:"length"` // how long clients send queries
	Dispatchers int             `json:"dispatchers"`
	// Config is the configuration of every dispatcher; name, peers, number, listen, nodes, control, zone and users are filled in.
	Config    config.File     `json:"config"`
	Nodes     []NodeGroup     `json:"nodes"`
	ListDelay config.Duration `json:"list_delay"` // from a node's start, end or drain until the control service lists it
	Clients   []ClientGroup   `json:"clients"`
	Faults    []Fault         `json:"faults"`
	Versions  []Version       `json:"versions"` // of the settings, streamed during the day
}

// Version is a set of the settings that the control service streams from the time At. Parts that it leaves out come from the
// script's config. The rules are always checked with the script's limits, so a version must not change the limits that rules use.
type Version struct {
	At       config.Duration   `json:"at"`
	Number   int               `json:"number"`
	Settings control.FileParts `json:"settings"`
}

// NodeGroup describes nodes of one kind in one zone.
type NodeGroup struct {
	Count int    `json:"count"`
	Zone  string `json:"hall"`
	Kind  string `json:"kind"`
}

// ClientGroup describes a stream of similar queries.
type ClientGroup struct {
	Name       string          `json:"name"`
	Class      string          `json:"class"`
	Rate       float64         `json:"rate"`    // queries per second over all dispatchers (Poisson arrivals)
	WorkMS     float64         `json:"work_ms"` // median of the work; log-normal with Sigma
	Sigma      float64         `json:"sigma"`
	Threads    int             `json:"threads"`
	Rows       int             `json:"rows"`
	RowBytes   int             `json:"row_bytes"`
	MemoryMB   float64         `json:"memory_mb"`
	Deadline   config.Duration `json:"deadline"`
	Update     bool            `json:"update"`
	Keys       int             `json:"keys"`    // order keys in use; 0: none
	Retries    int             `json:"retries"` // of a rejected query, each after its retry-after
	CancelRate float64         `json:"leave"`   // share of queries whose client cancels halfway to the deadline
	Hints      bool            `json:"hints"`   // statements carry a cost hint
	Native     float64         `json:"native"`  // share of queries sent over the ClickHouse native protocol
	Keyed      bool            `json:"keyed"`   // INSERTs with rows and a deduplication token, over the native protocol
	// Statements above 0 makes each query of the group a transaction of this many updates, with pauses of mean Pause.
	Statements int             `json:"statements"`
	Pause      config.Duration `json:"think"`
	Burst      int             `json:"burst"` // this many queries at once, at BurstAt, in place of Rate
	BurstAt    config.Duration `json:"burst_at"`
}

// Fault is a fault that begins at the time At and lasts for the time For.
type Fault struct {
	At            config.Duration `json:"at"`
	For           config.Duration `json:"for"`
	Kind          string          `json:"do"`
	Nodes         []int           `json:"nodes"` // from 0; for kill these are dispatchers
	Share         float64         `json:"share"` // fail: share of queries that fail
	SlowFactor    float64         `json:"times"` // slow: factor by which the node slows down
	Rows          int             `json:"rows"`  // stall, cut: rows sent before the fault
	Pause         config.Duration `json:"pause"` // pause: length of one pause
	PauseInterval config.Duration `json:"each"`  // pause: interval between pauses
}

// faultKinds maps each kind of fault to whether it names nodes or dispatchers.
var faultKinds = map[string]bool{"die": true, "vanish": true, "hang": true, "lose": true, "stall": true, "cut": true,
	"fail": true, "slow": true, "pause": true, "full": true, "drain": true, "list_down": false, "list_empty": false,
	"list_malformed": false, "kill": true}

// Parse reads and validates a script; name is the file name that its error reports. The error is a *config.Violations.
func Parse(name string, text []byte) (*Script, error) {
	s := &Script{}
	err := config.Decode(name, text, s, s.validate)
	if err != nil {
		return nil, err
	}
	s.Config.AnyUser = true
	s.Config.Users = nil
	if _, err := s.config(0, "127.0.0.1:1"); err != nil {
		return nil, err
	}
	return s, nil
}

// config returns the configuration of dispatcher i, which gets its node list, or its settings too if the script has versions, from
// the control service at the address.
func (s *Script) config(i int, controlAddress string) (*config.Config, error) {
	f := s.Config
	f.Name, f.Peers, f.PeerIndex = fmt.Sprintf("dispatcher-%d", i), s.Dispatchers, i
	f.Listen = config.Listen{FlightSQL: "127.0.0.1:0", Native: "127.0.0.1:0"}
	f.Nodes = config.Nodes{EDS: &config.EDS{Address: controlAddress, Cluster: cluster}}
	if len(s.Versions) > 0 {
		f.Nodes, f.Control = config.Nodes{}, &config.Control{Address: controlAddress, Cluster: cluster, Delta: i%2 == 1,
			MaxReconnectBackoff: config.Duration(time.Second)}
	}
	f.Zone = ""
	if len(f.Zones) > 0 {
		f.Zone = f.Zones[i%len(f.Zones)]
	}
	return config.FromFile(f)
}

// resources returns a version of the settings as the resources that the control service sends.
func (s *Script) resources(v *Version) ([]*anypb.Any, error) {
	p := v.Settings
	if p.Classes == nil {
		p.Classes, p.Default = s.Config.Classes, s.Config.DefaultClass
	}
	if p.Kinds == nil {
		p.Kinds = s.Config.Kinds
	}
	if p.Rules == nil {
		p.Rules = s.Config.Rules
	}
	if p.Limits == (config.Limits{}) {
		p.Limits = s.Config.Limits
	}
	set := p.Set(uint64(v.Number))
	var out []*anypb.Any
	for _, m := range set.Resources() {
		a, err := anypb.New(m)
		if err != nil {
			return nil, err
		}
		out = append(out, a)
	}
	return out, nil
}

// longestDedupWindow returns the longest dedup window of the script's classes.
func (s *Script) longestDedupWindow() (longest time.Duration) {
	for _, c := range s.Config.Classes {
		longest = max(longest, c.DedupWindow.D())
	}
	return longest
}

const cluster = "nodes"
