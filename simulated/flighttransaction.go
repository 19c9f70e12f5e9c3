package simulated

import (
	"context"
	"fmt"
	"time"

	arrowsql "github.com/apache/arrow-go/v18/arrow/flight/flightsql"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// BeginTransaction implements the Flight SQL action.
func (s *flightServer) BeginTransaction(ctx context.Context, _ arrowsql.ActionBeginTransactionRequest) ([]byte, error) {
	if err := s.node.failByFault(ctx); err != nil {
		return nil, err
	}
	id := ""
	s.node.change(func() {
		st := &s.node.sessions
		st.serial++
		s.node.tally.Begun++
		id = fmt.Sprintf("%s-%d-%d", s.node.Name, s.process.started.UnixNano(), st.serial)
		st.transactions[id] = &transaction{session: sessionOf(ctx), idle: idleOf(ctx), lastUsed: time.Now(), savepoints: map[string]int{}}
		st.bySession[sessionOf(ctx)] = id
	})
	return []byte(id), s.node.loseAnswer(ctx)
}

// EndTransaction implements the Flight SQL action.
func (s *flightServer) EndTransaction(ctx context.Context, r arrowsql.ActionEndTransactionRequest) error {
	commit := r.GetAction() == arrowsql.EndTransactionCommit
	name := "ROLLBACK"
	if commit {
		name = "COMMIT"
		if err := s.node.failByFault(ctx); err != nil {
			return err
		}
	}
	if err := s.node.useTransaction(r.GetTransactionId(), name); err != nil {
		return err
	}
	s.node.change(func() { s.node.endTransaction(string(r.GetTransactionId()), commit) })
	if commit {
		return s.node.loseAnswer(ctx)
	}
	return nil
}

// BeginSavepoint implements the Flight SQL action.
func (s *flightServer) BeginSavepoint(_ context.Context, r arrowsql.ActionBeginSavepointRequest) ([]byte, error) {
	if err := s.node.useTransaction(r.GetTransactionId(), "SAVEPOINT"); err != nil {
		return nil, err
	}
	id := string(r.GetTransactionId()) + "/" + r.GetName()
	s.node.change(func() {
		tx := s.node.sessions.transactions[string(r.GetTransactionId())]
		tx.savepoints[id] = len(tx.writes)
	})
	return []byte(id), nil
}

// EndSavepoint implements the Flight SQL action.
func (s *flightServer) EndSavepoint(_ context.Context, r arrowsql.ActionEndSavepointRequest) error {
	err := status.Errorf(codes.NotFound, "no savepoint %q here", r.GetSavepointId())
	s.node.change(func() {
		for _, tx := range s.node.sessions.transactions {
			if at, ok := tx.savepoints[string(r.GetSavepointId())]; ok {
				if r.GetAction() == arrowsql.EndSavepointRollback {
					tx.writes = tx.writes[:at]
				}
				delete(tx.savepoints, string(r.GetSavepointId()))
				err = nil
			}
		}
	})
	return err
}
