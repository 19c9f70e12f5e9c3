// Package scenario plays a scripted day on loopback: stand-in nodes and control service, real dispatchers, real Flight SQL
// clients, faults at their times. The seven rules are judged afterwards from what passed the sockets: the clients'
// tallies against the nodes', never from the dispatchers' own counters.
package scenario

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/types/known/anypb"

	"embershunt/config"
	"embershunt/control"
)

// Script is a day as it is written.
type Script struct {
	Name        string          `json:"name"`
	Seed        int             `json:"seed"`
	Length      config.Duration `json:"length"` // clients send for this long
	Dispatchers int             `json:"dispatchers"`
	Config      config.File     `json:"config"` // of every dispatcher; name, number, listen and nodes are filled in
	Nodes       []NodeGroup     `json:"nodes"`
	ListDelay   config.Duration `json:"list_delay"` // by which the control service learns of starts and ends
	Clients     []ClientGroup   `json:"clients"`
	Faults      []Fault         `json:"faults"`
	Versions    []Version       `json:"versions"` // of the settings, streamed while the day goes on
}

// Version is a set of the settings that the control service streams from a time on. What it leaves out is the script's
// own. The judge goes by the script's limits: a version that changes those that rules are judged by would be misjudged.
type Version struct {
	At       config.Duration   `json:"at"`
	Number   int               `json:"number"`
	Settings control.FileParts `json:"settings"`
}

// NodeGroup is some nodes of one kind in one hall.
type NodeGroup struct {
	Count int    `json:"count"`
	Zone  string `json:"hall"`
	Kind  string `json:"kind"`
}

// ClientGroup is a stream of like queries.
type ClientGroup struct {
	Name       string          `json:"name"`
	Class      string          `json:"class"`
	Rate       float64         `json:"rate"`    // queries a second, over all dispatchers, drawn by chance (Poisson)
	WorkMS     float64         `json:"work_ms"` // median; the rest is spread by sigma (log-normal)
	Sigma      float64         `json:"sigma"`
	Threads    int             `json:"threads"`
	Rows       int             `json:"rows"`
	RowBytes   int             `json:"row_bytes"`
	MemoryMB   float64         `json:"memory_mb"`
	Deadline   config.Duration `json:"deadline"`
	Update     bool            `json:"update"`
	Keys       int             `json:"keys"`    // order keys in use; 0: none
	Retries    int             `json:"retries"` // of a refused query, after its come-back time
	CancelRate float64         `json:"leave"`   // share of queries whose client leaves halfway to the deadline
	Hints      bool            `json:"hints"`   // state cost and memory
	Native     float64         `json:"native"`  // share of queries asked over the ClickHouse native protocol
	Keyed      bool            `json:"keyed"`   // an INSERT with rows and a deduplication token, natively
	// Statements above 0 make each of the group's queries a transaction of so many updates with pauses drawn around Think.
	Statements int             `json:"statements"`
	Pause      config.Duration `json:"think"`
	Burst      int             `json:"burst"` // this many at once ...
	BurstAt    config.Duration `json:"burst_at"`
}

// Fault strikes at a time and lasts for a while.
type Fault struct {
	At    config.Duration `json:"at"`
	For   config.Duration `json:"for"`
	Kind  string          `json:"do"`
	Nodes []int           `json:"nodes"` // numbers from 0; for kill: dispatchers
	Share float64         `json:"share"` // fail: of queries
	Times float64         `json:"times"` // slow: factor
	Rows  int             `json:"rows"`  // stall, cut: after this many
	Pause config.Duration `json:"pause"` // pause: length
	Each  config.Duration `json:"each"`  // pause: distance
}

// faultKinds are the faults and whether they name nodes.
var faultKinds = map[string]bool{"die": true, "vanish": true, "hang": true, "lose": true, "stall": true, "cut": true,
	"fail": true, "slow": true, "pause": true, "full": true, "drain": true, "list_down": false, "list_empty": false,
	"list_malformed": false, "kill": true}

// Parse reads a script. Its error is *config.Violations.
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

// config is the configuration of one dispatcher.
func (s *Script) config(i int, service string) (*config.Config, error) {
	f := s.Config
	f.Name, f.Peers, f.Number = fmt.Sprintf("dispatcher-%d", i), s.Dispatchers, i
	f.Listen = config.Listen{FlightSQL: "127.0.0.1:0", Native: "127.0.0.1:0"}
	f.Nodes = config.Nodes{EDS: &config.EDS{Address: service, Cluster: cluster}}
	if len(s.Versions) > 0 {
		f.Nodes, f.Control = config.Nodes{}, &config.Control{Address: service, Cluster: cluster, Delta: i%2 == 1,
			Reconnect: config.Duration(time.Second)}
	}
	f.Zone = ""
	if len(f.Zones) > 0 {
		f.Zone = f.Zones[i%len(f.Zones)]
	}
	return config.FromFile(f)
}

// resources are a version as the control service sends it.
func (s *Script) resources(v *Version) ([]*anypb.Any, error) {
	p := v.Settings
	if p.Classes == nil {
		p.Classes, p.Default = s.Config.Classes, s.Config.Default
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

// window is the longest for which a class has tokens remembered.
func (s *Script) window() (longest time.Duration) {
	for _, c := range s.Config.Classes {
		longest = max(longest, c.DedupWindow.D())
	}
	return longest
}

const cluster = "nodes"
