package config

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"embershunt/policy"
)

const least = `{"any_user": true, "nodes": {"list": [{"name": "n", "address": "127.0.0.1:1"}]},
  "kinds": [{"name": "k", "cores": 8}], "classes": [{"name": "c", "aim": "1s", "deadline": "2s"}]}`

func TestMistakesAreToldWithTheirPlaces(t *testing.T) {
	cases := []struct{ name, text, want string }{
		{"an unknown field", strings.Replace(least, `"any_user"`, `"any_usr"`, 1), `1:2: any_usr: found the field "any_usr", allowed: one of any_user`},
		{"a wrong type", strings.Replace(least, `8}`, `"eight"}`, 1), `2:36: kinds[0].cores: found "eight", allowed: a whole number`},
		{"a span without its unit", strings.Replace(least, `"2s"`, `2`, 1), `2:92: classes[0].deadline: found 2, allowed: a span of time`},
		{"out of range", strings.Replace(least, `8}`, `0}`, 1), `kinds[0].cores: found 0, allowed: 1 to 10000`},
		{"a name that is not there", strings.Replace(least, `"2s"}`, `"2s", "halls": ["north"]}`, 1), `classes[0].halls[0]: found "north", allowed: hall`},
		{"keyed without a window", strings.Replace(least, `"2s"}`, `"2s", "effect": "keyed"}`, 1), `classes[0].window: found none`},
		{"no JSON", `{"any_user": tru}`, `allowed: JSON with comments`},
		{"a field twice", strings.Replace(least, `"any_user": true`, `"any_user": true, "any_user": true`, 1), `1:20: any_user: found the field a second time`},
		{"two sources of nodes", strings.Replace(least, `"nodes": {`, `"nodes": {"file": "x", `, 1), `nodes: found 2 sources`},
		{"a bad pattern", strings.Replace(least, `"any_user": true`, `"any_user": true, "rules": [{"name": "r", "user": "("}]`, 1), `rules[0].user: found error parsing regexp`},
		{"nested too deep", strings.Repeat("[", 100), "64 levels"},
		{"a node twice", strings.Replace(least, `127.0.0.1:1"}`, `127.0.0.1:1"}, {"name": "m"}`, 1), `nodes.list[1]`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse("f", []byte(c.text))
			var m *Violations
			if !errors.As(err, &m) || !strings.Contains(err.Error(), c.want) {
				t.Errorf("got %v\nwant one with %s", err, c.want)
			}
		})
	}
	_, err := Parse("f", []byte(`{"hall": "x", "limits": {"attempts": 99}, "listen": {"flightsql": "here"}}`))
	var m *Violations
	if !errors.As(err, &m) || len(m.All) < 6 {
		t.Errorf("all mistakes at once: %v", err)
	}
}

func TestEffectiveConfigurationCanBeReadAgain(t *testing.T) {
	c, err := Parse("f", []byte(least))
	if err != nil {
		t.Fatal(err)
	}
	text, err := c.Effective()
	if err != nil {
		t.Fatal(err)
	}
	again, err := Parse("again", text)
	if err != nil {
		t.Fatal(err)
	}
	if more, _ := again.Effective(); string(more) != string(text) {
		t.Errorf("read again it differs:\n%s\n%s", text, more)
	}
	// What writes is a class of its own, unsafe unless the class says otherwise.
	if s := c.Settings.Classes; len(s) != 2 || s[0].Effect != policy.Idempotent || s[1].Effect != policy.NonIdempotent || c.Classes.Updates[0] != 1 {
		t.Errorf("classes %+v, updates %v", s, c.Classes.Updates)
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

func FuzzParse(f *testing.F) {
	f.Add([]byte(least))
	f.Add([]byte(`{"classes": [{"name": "c", /* x */ "aim": "1s",}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		c, err := Parse("f", text)
		if err == nil {
			if _, err := c.Effective(); err != nil {
				t.Error(err)
			}
			return
		}
		var m *Violations
		if !errors.As(err, &m) {
			t.Errorf("%T: %v", err, err)
		}
	})
}
