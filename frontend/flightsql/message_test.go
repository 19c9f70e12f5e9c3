package flightsql

import (
	"bytes"
	"slices"
	"testing"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"embershunt/internal/flightwire"
)

func TestParseEnd(t *testing.T) {
	const name = "ActionEndTransactionRequest"
	body := func(token string, end uint64) []byte {
		return flightwire.NewCommand(name, flightwire.AppendVarint(flightwire.AppendBytes(nil, 1, token), 2, end))
	}
	for _, end := range []uint64{flightwire.EndCommit, flightwire.EndRollback} {
		if token, got, err := parseEnd(body("token", end), name); err != nil || string(token) != "token" || got != end {
			t.Errorf("end %d: %q, %d, %v", end, token, got, err)
		}
	}
	for description, b := range map[string][]byte{
		"no token":        body("", flightwire.EndCommit),
		"no end":          body("token", 0),
		"an unknown end":  body("token", 3),
		"another message": flightwire.NewCommand("ActionEndSavepointRequest", nil),
		"not a message":   {0xff},
	} {
		if _, _, err := parseEnd(b, name); status.Code(err) != codes.InvalidArgument {
			t.Errorf("%s: %v", description, err)
		}
	}
}

func TestWithoutDescriptor(t *testing.T) {
	header := flightwire.AppendBytes(nil, 2, "header")
	rest, hasHeader, err := withoutDescriptor(append(flightwire.AppendBytes(nil, 1, "descriptor"), header...))
	if err != nil || !hasHeader || !bytes.Equal(rest, header) {
		t.Errorf("with a header: %x, %t, %v", rest, hasHeader, err)
	}
	if rest, hasHeader, err = withoutDescriptor(flightwire.AppendBytes(nil, 1, "descriptor")); err != nil || hasHeader || len(rest) != 0 {
		t.Errorf("the descriptor alone: %x, %t, %v", rest, hasHeader, err)
	}
	if _, _, err = withoutDescriptor([]byte{0xff}); status.Code(err) != codes.InvalidArgument {
		t.Errorf("not a message: %v", err)
	}
}

func TestRunningQueries(t *testing.T) {
	r := newRunningQueries()
	r.add("", "without a ticket")
	r.add("ticket", "1")
	r.add("ticket", "2")
	ids := r.idsOf("ticket")
	if slices.Sort(ids); !slices.Equal(ids, []string{"1", "2"}) {
		t.Errorf("ids %v", ids)
	}
	if ids := r.idsOf(""); len(ids) != 0 {
		t.Errorf("ids without a ticket: %v", ids)
	}
	r.remove("", "without a ticket")
	r.remove("ticket", "1")
	r.remove("ticket", "2")
	if len(r.ids) != 0 {
		t.Errorf("ids after all queries were removed: %v", r.ids)
	}
}
