package simulated

import (
	"context"
	"fmt"
	"time"

	arrowsql "github.com/apache/arrow-go/v18/arrow/flight/flightsql"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// BeginTransaction implements the Flight SQL action. It returns an ID that is unique over the node's incarnations.
func (s *flightServer) BeginTransaction(ctx context.Context, _ arrowsql.ActionBeginTransactionRequest) ([]byte, error) {
	if err := s.node.failByFault(ctx); err != nil {
		return nil, err
	}
	id := ""
	s.node.change(func() {
		sessions := &s.node.sessions
		sessions.serial++
		s.node.sessionRecord.Begun++
		id = fmt.Sprintf("%s-%d-%d", s.node.Name, s.process.started.UnixNano(), sessions.serial)
		sessions.transactions[id] = &transaction{session: sessionOf(ctx), idleLimit: idleLimitOf(ctx), lastUsed: time.Now(),
			savepoints: map[string]int{}}
		sessions.bySession[sessionOf(ctx)] = id
	})
	return []byte(id), s.node.loseAnswer(ctx)
}

// EndTransaction implements the Flight SQL action. Faults apply to a commit alone.
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

// BeginSavepoint implements the Flight SQL action. The savepoint's ID is made up of the transaction's ID and the savepoint's name.
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

// EndSavepoint implements the Flight SQL action. A rollback removes the transaction's writes after the savepoint.
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
