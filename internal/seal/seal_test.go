package seal

import (
	"bytes"
	"errors"
	"testing"
	"time"
)

func TestTokens(t *testing.T) {
	old, young := bytes.Repeat([]byte{1}, KeySize), bytes.Repeat([]byte{2}, KeySize)
	before, _ := New(old)
	after, _ := New(young, old) // the key was changed; what the old one sealed is still good
	stranger, _ := New()
	now := time.Unix(1000, 0)
	token := before.Seal(Ticket, now.Add(time.Second), []byte("SELECT 1"))
	flipped := bytes.Clone(token)
	flipped[5] ^= 1
	cases := []struct {
		name  string
		by    *Sealer
		p     Purpose
		at    time.Time
		token []byte
		want  error
	}{
		{"its own", before, Ticket, now, token, nil},
		{"after the key was changed", after, Ticket, now, token, nil},
		{"of another service", stranger, Ticket, now, token, ErrForged},
		{"changed by a bit", before, Ticket, now, flipped, ErrForged},
		{"for another purpose", before, Prepared, now, token, ErrForged},
		{"too late", before, Ticket, now.Add(2 * time.Second), token, ErrExpired},
		{"cut short", before, Ticket, now, token[:20], ErrForged},
		{"empty", before, Ticket, now, nil, ErrForged},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, err := c.by.Open(c.p, c.at, c.token)
			if !errors.Is(err, c.want) || err == nil && string(got) != "SELECT 1" {
				t.Errorf("%q, %v, want %v", got, err, c.want)
			}
		})
	}
	if _, err := New([]byte("short")); err == nil {
		t.Error("a key of 5 bytes was taken")
	}
}

// Nobody makes a token without the key.
func FuzzOpen(f *testing.F) {
	s, _ := New(bytes.Repeat([]byte{3}, KeySize))
	now := time.Unix(1000, 0)
	made := s.Seal(Ticket, now.Add(time.Hour), []byte("x"))
	f.Add(made)
	f.Add(made[:len(made)-1])
	f.Fuzz(func(t *testing.T, token []byte) {
		if _, err := s.Open(Ticket, now, token); err == nil && !bytes.Equal(token, made) {
			t.Errorf("taken: %x", token)
		}
	})
}
