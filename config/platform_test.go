package config_test

import (
	"strings"
	"testing"

	"embershunt/config"
)

const platformFile = `{"name":"n3","listen":"127.0.0.4:7001","seed":"8c1f30d27a5be964",
 "limits":{"cores":0.25,"memory_mb":48,"sockets":256},
 "peer_listen":"127.0.0.4:7946","peers":["127.0.1.1:7946","127.0.1.2:7946"],"peers_all":"127.0.1.255:7946",
 "resolver":"127.0.0.9:5353",
 "known":{"pos":1,"entries":[{"pos":1,"hosts":{"rev":1,"all":true,"targets":[{"uid":"s-1","endpoint":"127.0.2.1:7001","az":"west",
   "model":"std","pod_group":0,"state":"active","capacity_hint":4,"boot_ms":0}]}}]},
 "settings":{"az":0,"me":1,"peersTotal":2,"zones":["west"],"models":["std"],"classes":[{"name":"lookup","credit":1,"promiseUs":500000,"deadlineUs":2500000,"effect":"retryable"}],
   "customers":[{"name":"motor","allowancePerS":10}],"familyInfo":{"dop":[1],"kindCores":[16],"ramOfKindMb":[32768]},
   "feedback":{"how":"piggyback","fields":["busy","rif"]},
   "limits":{"connectTimeoutUs":250000,"connIdleUs":30000000,"streamsPerConn":100,"peers":true,"sendCap":3,"mostHeld":20000},
   "rules":{"stopSendingWithinUs":1000000},"unknown":[1,2]}}`

func TestPlatform(t *testing.T) {
	p, err := config.ParsePlatform([]byte(platformFile))
	if err != nil {
		t.Fatal(err)
	}
	if p.Seed != 0x8c1f30d27a5be964 || p.Initial.Number != 1 || len(p.Initial.Nodes) != 1 || p.ConnectionSettings.StreamsPerConn != 100 ||
		p.Settings.PeerIndex != 1 || p.Settings.DrainGrace != 1e6 || p.Settings.Classes[0].Name != "lookup" || p.Names.Kinds[0] != "std" {
		t.Errorf("%+v", p)
	}
	// An error names the invalid field, the value found and the values allowed.
	for _, c := range [][3]string{
		{`"name":"n3",`, `"name":"n3",,`, "byte "},
		{`"listen":"127.0.0.4:7001"`, `"listen":"here"`, `listen: found "here"; allowed`},
		{`"resolver":"127.0.0.9:5353"`, `"resolver":""`, `resolver: found ""; allowed`},
		{`"seed":"8c1f30d27a5be964"`, `"seed":"x"`, `seed: found "x"; allowed`},
		{`"cores":0.25`, `"cores":0`, "limits.cores: found 0; allowed"},
		{`"memory_mb":48`, `"memory_mb":-1`, "limits.memory_mb: found -1; allowed"},
		{`"sockets":256`, `"sockets":10`, "limits.sockets: found 10; allowed"},
		{`"sockets":256`, `"sockets":"many"`, "sockets"},
		{`"peers":["127.0.1.1:7946",`, `"peers":[`, "peers: found 1; allowed: 2"},
		{`"127.0.1.1:7946"`, `"x"`, `peers[0]: found "x"`},
		{`"az":"west"`, `"az":"north"`, `known: entries[0].hosts.targets[0].az: hall "north"`},
		{`"effect":"retryable"`, `"effect":"odd"`, `settings: classes[0].effect: unknown value "odd"`},
		{`"deadlineUs":2500000`, `"deadlineUs":0`, "settings: policy: Classes[0].Deadline"},
		{`"settings":{`, `"settings":[],"x":{`, "settings: "},
	} {
		text := strings.Replace(platformFile, c[0], c[1], 1)
		if text == platformFile {
			t.Fatalf("%s is not in platformFile", c[0])
		}
		if _, err := config.ParsePlatform([]byte(text)); err == nil || !strings.Contains(err.Error(), c[2]) {
			t.Errorf("%s: %v, want %q", c[1], err, c[2])
		}
	}
}
