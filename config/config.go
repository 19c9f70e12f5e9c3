package config

import (
	"encoding/json"
	"os"

	"embershunt/classify"
	"embershunt/policy"
)

// Config is a validated configuration with all defaults, and what is derived from it.
type Config struct {
	File     File
	Settings policy.Settings
	Classes  classify.Table
	Keys     [][]byte // decoded File.Keys
}

// Load reads and validates a configuration file. An error about its content is *Violations.
func Load(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// FromFile validates a configuration that was built in memory. An error about its content is *Violations.
func FromFile(f File) (*Config, error) {
	text, err := json.Marshal(f)
	if err != nil {
		return nil, err
	}
	return Parse(f.Name, text)
}

// Parse reads and validates a configuration; name stands for the file in errors. The error is *Violations.
func Parse(name string, text []byte) (*Config, error) {
	c := &Config{}
	d, err := parse(name, text, &c.File)
	if err != nil {
		return nil, err
	}
	c.File.setDefaults()
	c.validate(validator{d})
	if len(d.violations) > 0 {
		return nil, &Violations{name, d.violations}
	}
	return c, nil
}

// Effective returns the configuration with all defaults as JSON.
func (c *Config) Effective() ([]byte, error) { return json.MarshalIndent(c.File, "", "  ") }
