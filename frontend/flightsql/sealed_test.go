package flightsql

import (
	"encoding/hex"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"embershunt/frontend"
	"embershunt/internal/seal"
)

// storedTokens is a file of tokens that an earlier build sealed with the key of testSealer, before the identifiers were renamed. They
// expire in the year 2100. Clients keep such tokens during an upgrade.
const storedTokens = "testdata/tokens.txt"

func testSealer(t *testing.T) *seal.Sealer {
	s, err := seal.New([]byte(strings.Repeat("k", 32)))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func storedStatement() sealedStatement {
	return sealedStatement{user: "pobocka", text: "SELECT 1", serial: "12345678",
		params: [][]byte{[]byte("first"), []byte("second")}, transaction: []byte("token")}
}

func storedTransaction() *frontend.StickySession {
	return &frontend.StickySession{ID: "transaction", Node: "node-1", Handle: []byte("handle"), Tenant: "tenant",
		Started: time.UnixMicro(1_700_000_000_000_001), Since: time.UnixMicro(1_700_000_000_000_002)}
}

// TestTokensOfEarlierBuild checks that this build reads every value in the tokens of an earlier build, and seals the same values as the
// same bytes.
func TestTokensOfEarlierBuild(t *testing.T) {
	text, err := os.ReadFile(storedTokens)
	if err != nil {
		t.Fatal(err)
	}
	sealer := testSealer(t)
	expires := time.Date(2100, 1, 1, 0, 0, 0, 0, time.UTC)
	payloads := map[seal.Purpose][]byte{
		seal.Ticket:      storedStatement().encode(),
		seal.Prepared:    storedStatement().encode(),
		seal.Transaction: encodeTransaction("pobocka", storedTransaction()),
	}
	lines := strings.Fields(string(text))
	if len(lines) != len(payloads) {
		t.Fatalf("%d tokens in %s, want %d", len(lines), storedTokens, len(payloads))
	}
	for i, purpose := range []seal.Purpose{seal.Ticket, seal.Prepared, seal.Transaction} {
		token, err := hex.DecodeString(lines[i])
		if err != nil {
			t.Fatal(err)
		}
		payload, err := sealer.Open(purpose, time.Now(), token)
		if err != nil {
			t.Errorf("%s: %v", purpose, err)
			continue
		}
		if resealed := sealer.Seal(purpose, expires, payloads[purpose]); string(resealed) != string(token) {
			t.Errorf("%s is sealed as %x, the earlier build sealed it as %x", purpose, resealed, token)
		}
		if purpose == seal.Transaction {
			user, transaction, err := decodeTransaction(payload)
			if err != nil || user != "pobocka" || !reflect.DeepEqual(transaction, storedTransaction()) {
				t.Errorf("%s is read as %q, %+v, %v", purpose, user, transaction, err)
			}
			continue
		}
		if s, err := decodeStatement(payload); err != nil || !reflect.DeepEqual(s, storedStatement()) {
			t.Errorf("%s is read as %+v, %v", purpose, s, err)
		}
	}
}
