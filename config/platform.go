package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strconv"

	"embershunt/internal/wire"
	"embershunt/nodelist"
	"embershunt/policy"
)

// Platform is the validated configuration that the platform supplies to a dispatcher.
type Platform struct {
	Name               string
	Listen             string
	Seed               uint64
	Cores              float64 // processors, may be fractional
	MemoryMB           float64
	Sockets            int // number of file descriptors
	PeerListen         string
	Peers              []string
	Resolver           string
	Initial            nodelist.VersionedList
	Names              nodelist.Names
	Settings           policy.Settings
	ConnectionSettings wire.ConnectionSettings
}

// platformFile is the JSON form of the platform's file. Unknown keys are ignored.
type platformFile struct {
	Name   string `json:"name"`
	Listen string `json:"listen"`
	Seed   string `json:"seed"`
	Limits struct {
		Cores    float64 `json:"cores"`
		MemoryMB float64 `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	PeerListen string          `json:"peer_listen"`
	Peers      []string        `json:"peers"`
	Resolver   string          `json:"resolver"`
	Known      json.RawMessage `json:"known"`
	Settings   json.RawMessage `json:"settings"`
}

// MinSockets is the minimum number of file descriptors for a dispatcher.
const MinSockets = 64

// LoadPlatform reads and validates the platform's file. An error names the file.
func LoadPlatform(path string) (*Platform, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	p, err := ParsePlatform(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return p, nil
}

// ParsePlatform validates the text of the platform's file. The error describes the first violations found: the field, the value
// found and the values allowed.
func ParsePlatform(text []byte) (*Platform, error) {
	var f platformFile
	if err := json.Unmarshal(text, &f); err != nil {
		var syntax *json.SyntaxError
		if errors.As(err, &syntax) {
			return nil, fmt.Errorf("byte %d: %w", syntax.Offset, err)
		}
		return nil, err
	}
	p := &Platform{Name: f.Name, Listen: f.Listen, Cores: f.Limits.Cores, MemoryMB: f.Limits.MemoryMB, Sockets: f.Limits.Sockets,
		PeerListen: f.PeerListen, Peers: f.Peers, Resolver: f.Resolver}
	checkAddress := func(field, value string) error {
		if _, err := netip.ParseAddrPort(value); err != nil {
			return fmt.Errorf("%s: found %q; allowed: ADDRESS:PORT", field, value)
		}
		return nil
	}
	var err error
	if p.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed: found %q; allowed: up to 16 hex digits", f.Seed)
	}
	if err := errors.Join(checkAddress("listen", f.Listen), checkAddress("resolver", f.Resolver)); err != nil {
		return nil, err
	}
	switch {
	case !(p.Cores > 0):
		return nil, fmt.Errorf("limits.cores: found %v; allowed: above 0", p.Cores)
	case !(p.MemoryMB > 0):
		return nil, fmt.Errorf("limits.memory_mb: found %v; allowed: above 0", p.MemoryMB)
	case p.Sockets < MinSockets:
		return nil, fmt.Errorf("limits.sockets: found %d; allowed: %d and more", p.Sockets, MinSockets)
	}
	s, connections, err := wire.DecodeSettings(f.Settings)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	p.Settings, p.ConnectionSettings = *s, connections
	p.Names = nodelist.Names{Zones: connections.Zones, Kinds: connections.Models}
	if _, err := policy.New(p.Seed, *s); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if s.CanGossip {
		if err := checkAddress("peer_listen", f.PeerListen); err != nil {
			return nil, err
		}
		if len(f.Peers) != s.Peers {
			return nil, fmt.Errorf("peers: found %d; allowed: %d, as in settings.peersTotal", len(f.Peers), s.Peers)
		}
		for i, a := range f.Peers {
			if err := checkAddress(fmt.Sprintf("peers[%d]", i), a); err != nil {
				return nil, err
			}
		}
	}
	if p.Initial, err = nodelist.ParseInitial(f.Known, p.Names); err != nil {
		return nil, fmt.Errorf("known: %w", err)
	}
	return p, nil
}
