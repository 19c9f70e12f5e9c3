package clickhouse

import (
	"reflect"
	"strconv"
	"testing"

	"embershunt/classify"
	"embershunt/frontend"
	"embershunt/internal/native"
	"embershunt/session"
)

func statementOf(s *sessionState, text string) *frontend.Statement {
	return s.statement(frontend.Call{Facts: classify.Facts{Statement: text}})
}

func TestQuerySettingsOverrideOptions(t *testing.T) {
	var s sessionState
	settings := []native.Setting{{Name: "b", Value: "query"}}
	if got := s.withOptions(settings); !reflect.DeepEqual(got, settings) {
		t.Fatalf("without options: %v", got)
	}
	for _, o := range []classify.Option{{Name: "a", Value: "1"}, {Name: "b", Value: "2"}, {Name: "a", Value: "3"}} {
		if err := s.setOption(o); err != nil {
			t.Fatal(err)
		}
	}
	want := []native.Setting{{Name: "a", Flags: settingFlagImportant, Value: "3"}, {Name: "b", Value: "query"}}
	if got := s.withOptions(settings); !reflect.DeepEqual(got, want) {
		t.Fatalf("with options: %v, wanted %v", got, want)
	}
}

func TestOptionsAreBounded(t *testing.T) {
	var s sessionState
	for i := range maxOptions {
		if err := s.setOption(classify.Option{Name: strconv.Itoa(i), Value: "1"}); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.setOption(classify.Option{Name: "one more", Value: "1"}); err == nil {
		t.Fatal("one option more than allowed was accepted")
	}
	if err := s.setOption(classify.Option{Name: "0", Value: "2"}); err != nil {
		t.Fatalf("replacing an option: %v", err)
	}
}

func TestSessionLastsAsLongAsItsTables(t *testing.T) {
	var s sessionState
	if statementOf(&s, "SELECT 1") != nil {
		t.Fatal("a session without tables")
	}
	create := statementOf(&s, "CREATE TEMPORARY TABLE a (x Int8)")
	if create == nil || create.Kind != session.CreateState || create.ID == "" {
		t.Fatalf("create: %+v", create)
	}
	if s.stickyID() != "" {
		t.Fatal("sticky before the table is created")
	}
	s.recordServed(create)
	if s.stickyID() != create.ID {
		t.Fatalf("the session is %q, wanted %q", s.stickyID(), create.ID)
	}
	if read := statementOf(&s, "SELECT x FROM a"); read == nil || read.Kind != session.Plain || read.ID != create.ID || !read.ReadOnly {
		t.Fatalf("read: %+v", read)
	}
	drop := statementOf(&s, "DROP TABLE a")
	if drop == nil || drop.Kind != session.DropState {
		t.Fatalf("drop: %+v", drop)
	}
	s.recordServed(drop)
	if s.stickyID() != "" || statementOf(&s, "SELECT 1") != nil {
		t.Fatal("the session outlives its last table")
	}
}

func TestSessionAfterFailedStatement(t *testing.T) {
	for _, c := range []struct {
		name   string
		tables int // number of tables before the statement
		ended  *frontend.SessionError
		sticky bool
	}{
		{"the first table was not created", 0, nil, false},
		{"a second table was not created", 1, nil, true},
		{"the statement was rejected", 1, &frontend.SessionError{State: session.Sticky}, true},
		{"the session is lost", 1, &frontend.SessionError{State: session.Lost}, false},
		{"the session has expired", 1, &frontend.SessionError{State: session.Expired}, false},
		{"the session is ending", 1, &frontend.SessionError{State: session.Ending}, false},
	} {
		var s sessionState
		for i := range c.tables {
			s.recordServed(statementOf(&s, "CREATE TEMPORARY TABLE t"+strconv.Itoa(i)+" (x Int8)"))
		}
		s.recordFailed(statementOf(&s, "CREATE TEMPORARY TABLE another (x Int8)"), c.ended)
		if got := s.stickyID() != ""; got != c.sticky {
			t.Errorf("%s: sticky %t, wanted %t", c.name, got, c.sticky)
		}
		if !c.sticky && s.id != "" {
			t.Errorf("%s: the id of the ended session is kept", c.name)
		}
	}
}
