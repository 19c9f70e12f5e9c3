package config

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"embershunt/policy"
)

const minimalConfig = `{"any_user": true, "nodes": {"list": [{"name": "n", "address": "127.0.0.1:1"}]},
  "kinds": [{"name": "k", "cores": 8}], "classes": [{"name": "c", "aim": "1s", "deadline": "2s"}]}`

func TestParseReportsViolationsWithPositions(t *testing.T) {
	cases := []struct{ name, text, want string }{
		{"an unknown field", strings.Replace(minimalConfig, `"any_user"`, `"any_usr"`, 1),
			`1:2: any_usr: found the field "any_usr", allowed: one of any_user`},
		{"a wrong type", strings.Replace(minimalConfig, `8}`, `"eight"}`, 1), `2:36: kinds[0].cores: found "eight", allowed: an integer`},
		{"a duration without a unit", strings.Replace(minimalConfig, `"2s"`, `2`, 1),
			`2:92: classes[0].deadline: found 2, allowed: a duration in quotes`},
		{"out of range", strings.Replace(minimalConfig, `8}`, `0}`, 1), `kinds[0].cores: found 0, allowed: 1 to 10000`},
		{"an unknown zone", strings.Replace(minimalConfig, `"2s"}`, `"2s", "halls": ["north"]}`, 1),
			`classes[0].halls[0]: found "north", allowed: hall`},
		{"keyed without a window", strings.Replace(minimalConfig, `"2s"}`, `"2s", "effect": "keyed"}`, 1), `classes[0].window: found none`},
		{"invalid JSON", `{"any_user": tru}`, `allowed: JSON with comments`},
		{"a duplicate field", strings.Replace(minimalConfig, `"any_user": true`, `"any_user": true, "any_user": true`, 1),
			`1:20: any_user: found a duplicate field`},
		{"two node sources", strings.Replace(minimalConfig, `"nodes": {`, `"nodes": {"file": "x", `, 1), `nodes: found 2 sources`},
		{"an invalid pattern",
			strings.Replace(minimalConfig, `"any_user": true`, `"any_user": true, "rules": [{"name": "r", "user": "("}]`, 1),
			`rules[0].user: found error parsing regexp`},
		{"nested too deep", strings.Repeat("[", 100), "64 levels"},
		{"a node without an address", strings.Replace(minimalConfig, `127.0.0.1:1"}`, `127.0.0.1:1"}, {"name": "m"}`, 1), `nodes.list[1]`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse("f", []byte(c.text))
			var violations *Violations
			if !errors.As(err, &violations) || !strings.Contains(err.Error(), c.want) {
				t.Errorf("got %v\nwant a violation with %s", err, c.want)
			}
		})
	}
	_, err := Parse("f", []byte(`{"hall": "x", "limits": {"attempts": 99}, "listen": {"flightsql": "here"}}`))
	var violations *Violations
	if !errors.As(err, &violations) || len(violations.All) < 6 {
		t.Errorf("want all violations together, at least 6: %v", err)
	}
}

func TestEffectiveConfigurationRoundTrip(t *testing.T) {
	c, err := Parse("f", []byte(minimalConfig))
	if err != nil {
		t.Fatal(err)
	}
	text, err := c.Effective()
	if err != nil {
		t.Fatal(err)
	}
	reparsed, err := Parse("again", text)
	if err != nil {
		t.Fatal(err)
	}
	if secondText, _ := reparsed.Effective(); string(secondText) != string(text) {
		t.Errorf("the effective configuration differs after a second Parse:\n%s\n%s", text, secondText)
	}
	// The updates of a class have a class of their own, which is unsafe unless the configuration says otherwise.
	if s := c.Settings.Classes; len(s) != 2 || s[0].Effect != policy.Idempotent || s[1].Effect != policy.NonIdempotent ||
		c.Classes.Updates[0] != 1 {
		t.Errorf("got classes %+v and updates %v, want a safe class and an unsafe one for its updates", s, c.Classes.Updates)
	}
}

func TestExamples(t *testing.T) {
	files, err := filepath.Glob("../examples/*.dispatcher.jsonc")
	if err != nil || len(files) < 2 {
		t.Fatalf("%v, %v", files, err)
	}
	for _, f := range files {
		if _, err := Load(f); err != nil {
			t.Error(err)
		}
	}
	text, err := os.ReadFile("../examples/nodes.jsonc")
	if err != nil {
		t.Fatal(err)
	}
	c, err := Load("../examples/one-hall.dispatcher.jsonc")
	if err != nil {
		t.Fatal(err)
	}
	if nodes, err := c.ParseNodes("nodes.jsonc", text); err != nil || len(nodes) == 0 {
		t.Errorf("%v, %v", nodes, err)
	}
}

// FuzzParse checks that every error of Parse is *Violations, and that an accepted configuration can be printed.
func FuzzParse(f *testing.F) {
	f.Add([]byte(minimalConfig))
	f.Add([]byte(`{"classes": [{"name": "c", /* x */ "aim": "1s",}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		c, err := Parse("f", text)
		if err == nil {
			if _, err := c.Effective(); err != nil {
				t.Error(err)
			}
			return
		}
		var violations *Violations
		if !errors.As(err, &violations) {
			t.Errorf("%T: %v", err, err)
		}
	})
}
