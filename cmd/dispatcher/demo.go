package main

import (
	"fmt"
	"strings"

	"embershunt/config"
	"embershunt/simulated"
)

// demoConfig is the configuration for --demo; %s takes the rows of the node list.
const demoConfig = `{
  "name": "demo",
  "any_user": true,
  "listen": {"flightsql": "127.0.0.1:32010", "native": "127.0.0.1:32011"},
  "kinds": [{"name": "standin", "cores": 8, "memory_mb": 16384}],
  "classes": [
    {"name": "lookup", "worth": 1, "aim": "750ms", "aim_stretch": 1.5, "deadline": "4s"},
    {"name": "report", "worth": 10, "aim": "2s", "aim_stretch": 2.5, "deadline": "15s", "threads": 4, "late_worth": 0.4}
  ],
  "rules": [{"name": "reports", "statement": "(?i)\\bgroup\\s+by\\b", "class": "report"}],
  "sending": {"grants": true, "priorities": true, "probes": true},
  "limits": {"second_copies": true},
  "log": {"format": "console"},
  "nodes": {"list": [%s]}
}`

// startDemo starts three simulated nodes in this process. It returns the configuration and a function that stops the nodes.
func startDemo() (*config.Config, func(), error) {
	var rows []string
	var nodes []*simulated.Node
	stop := func() {
		for _, n := range nodes {
			n.Crash()
		}
	}
	for i := range 3 {
		n := simulated.NewNode(fmt.Sprintf("node-%d", i+1), simulated.MachineModel{}, uint64(i))
		if err := n.Start("127.0.0.1:0", false); err != nil {
			stop()
			return nil, nil, err
		}
		nodes = append(nodes, n)
		rows = append(rows, fmt.Sprintf(`{"name": %q, "address": %q, "native": %q}`, n.Name, n.Address, n.NativeAddress))
	}
	cfg, err := config.Parse("demo", fmt.Appendf(nil, demoConfig, strings.Join(rows, ", ")))
	if err != nil {
		stop()
		return nil, nil, err
	}
	return cfg, stop, nil
}
