package seal

import (
	"bytes"
	"errors"
	"testing"
	"time"
)

func TestTokens(t *testing.T) {
	oldKey, newKey := bytes.Repeat([]byte{1}, KeySize), bytes.Repeat([]byte{2}, KeySize)
	before, _ := New(oldKey)
	after, _ := New(newKey, oldKey) // the key was changed; tokens made with the old key are still accepted
	other, _ := New()
	now := time.Unix(1000, 0)
	token := before.Seal(Ticket, now.Add(time.Second), []byte("SELECT 1"))
	flipped := bytes.Clone(token)
	flipped[5] ^= 1
	cases := []struct {
		name    string
		opener  *Sealer
		purpose Purpose
		at      time.Time
		token   []byte
		want    error
	}{
		{"same key", before, Ticket, now, token, nil},
		{"after the key was changed", after, Ticket, now, token, nil},
		{"opened with another key", other, Ticket, now, token, ErrForged},
		{"one bit changed", before, Ticket, now, flipped, ErrForged},
		{"for another purpose", before, Prepared, now, token, ErrForged},
		{"expired", before, Ticket, now.Add(2 * time.Second), token, ErrExpired},
		{"truncated", before, Ticket, now, token[:20], ErrForged},
		{"empty", before, Ticket, now, nil, ErrForged},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, err := c.opener.Open(c.purpose, c.at, c.token)
			if !errors.Is(err, c.want) || err == nil && string(got) != "SELECT 1" {
				t.Errorf("payload %q, error %v, want error %v", got, err, c.want)
			}
		})
	}
	if _, err := New([]byte("short")); err == nil {
		t.Error("New accepted a key of 5 bytes")
	}
}

// Open accepts no token other than those that Seal has made with the key.
func FuzzOpen(f *testing.F) {
	s, _ := New(bytes.Repeat([]byte{3}, KeySize))
	now := time.Unix(1000, 0)
	made := s.Seal(Ticket, now.Add(time.Hour), []byte("x"))
	f.Add(made)
	f.Add(made[:len(made)-1])
	f.Fuzz(func(t *testing.T, token []byte) {
		if _, err := s.Open(Ticket, now, token); err == nil && !bytes.Equal(token, made) {
			t.Errorf("Open accepted a forged token: %x", token)
		}
	})
}
