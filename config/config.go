package config

import (
	"encoding/json"
	"os"

	"embershunt/classify"
	"embershunt/policy"
)

// Config is a configuration in effect.
type Config struct {
	File     File
	Settings policy.Settings
	Classes  classify.Table
	Keys     [][]byte
}

// Load reads and validates a file.
func Load(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// FromFile validates a configuration that was made in memory.
func FromFile(f File) (*Config, error) {
	text, err := json.Marshal(f)
	if err != nil {
		return nil, err
	}
	return Parse(f.Name, text)
}

// Parse validates a configuration. Its error is *Violations.
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

// Effective is the configuration with all defaults, as JSON.
func (c *Config) Effective() ([]byte, error) { return json.MarshalIndent(c.File, "", "  ") }
