package flightsql

import (
	"strconv"
	"time"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/protoadapt"
	"google.golang.org/protobuf/types/known/durationpb"

	"embershunt/dispatch"
	"embershunt/frontend"
	"embershunt/internal/flightwire"
	"embershunt/internal/seal"
	"embershunt/session"
)

// A transaction's id is a sealed token that says where its state is, so that any dispatcher with the same key can go on
// with it, this one after a restart too (docs/design-session.md).

func sealPin(user string, p *frontend.StickySession) []byte {
	b := flightwire.AppendBytes(nil, 1, user)
	b = flightwire.AppendBytes(b, 2, p.ID)
	b = flightwire.AppendBytes(b, 3, p.Node)
	b = flightwire.AppendBytes(b, 4, p.Handle)
	b = flightwire.AppendBytes(b, 5, p.Tenant)
	if !p.Started.IsZero() {
		b = flightwire.AppendVarint(b, 6, uint64(p.Started.UnixMicro()))
	}
	return flightwire.AppendVarint(b, 7, uint64(p.Since.UnixMicro()))
}

func openPin(b []byte) (user string, p *frontend.StickySession, err error) {
	fields, varints, err := flightwire.Fields(b)
	if err != nil {
		return "", nil, malformed(err)
	}
	p = &frontend.StickySession{Since: time.UnixMicro(int64(varints[7]))}
	if v := varints[6]; v > 0 {
		p.Started = time.UnixMicro(int64(v))
	}
	for _, f := range fields {
		switch f.Number {
		case 1:
			user = string(f.Value)
		case 2:
			p.ID = string(f.Value)
		case 3:
			p.Node = string(f.Value)
		case 4:
			p.Handle = f.Value
		case 5:
			p.Tenant = string(f.Value)
		}
	}
	return user, p, nil
}

// transaction opens a transaction's id; nil where a call has none.
func (f *Front) transaction(c *caller, token []byte) (*frontend.StickySession, error) {
	if len(token) == 0 {
		return nil, nil
	}
	b, err := f.open(seal.Transaction, token)
	if err != nil {
		return nil, err
	}
	user, p, err := openPin(b)
	if err == nil && user != c.user {
		return nil, status.Error(codes.PermissionDenied, "this transaction was begun by another user")
	}
	return p, err
}

// within makes a call part of a transaction.
func (f *Front) within(c *caller, w *work, token []byte) error {
	p, err := f.transaction(c, token)
	if err != nil || p == nil {
		return err
	}
	w.tx, w.call.Tx = p, p.Handle
	return nil
}

// statementIn is a statement's command, in the node's transaction where there is one.
func statementIn(name, text string, tx *frontend.StickySession) []byte {
	body := flightwire.AppendBytes(nil, 1, text)
	if tx != nil {
		body = flightwire.AppendBytes(body, 2, tx.Handle)
	}
	return flightwire.NewCommand(name, body)
}

// beginTransaction asks a node for a transaction: the module chooses it, and all that follows stays there.
func (f *Front) beginTransaction(c *caller, body []byte) ([]byte, error) {
	if f.opt.Sessions == nil {
		return nil, status.Error(codes.Unimplemented, "transactions are not served here")
	}
	if err := named(body, "ActionBeginTransactionRequest"); err != nil {
		return nil, err
	}
	w := &work{command: "ActionBeginTransactionRequest", statement: "BEGIN", call: &flightwire.Call{Kind: flightwire.Do,
		Action: flightwire.Action{Type: "BeginTransaction", Body: flightwire.NewCommand("ActionBeginTransactionRequest", nil)}},
		use: &frontend.Statement{Kind: session.Begin, ID: frontend.NewSessionID(), Handle: handleOf}}
	if f.opt.Idle > 0 { // were this dispatcher to vanish, the node ends it a little later than we would have
		w.call.Headers = append(w.call.Headers, flightwire.HeaderIdle, strconv.FormatInt((f.opt.Idle+f.opt.Idle/2).Milliseconds(), 10))
	}
	v, err := f.ask(c, w)
	if err == nil {
		err = verdictError(v)
	}
	if err != nil {
		return nil, err
	}
	token := f.opt.Seal.Seal(seal.Transaction, time.Now().Add(f.opt.Age), sealPin(c.user, w.pin))
	return flightwire.StatementCommand("ActionBeginTransactionResult", token), nil
}

// handleOf is what a node calls the transaction that it began (ActionBeginTransactionResult, field 1).
func handleOf(v dispatch.Outcome) []byte {
	b, _ := v.Result.([]byte)
	c, err := flightwire.ParseCommand(b)
	if err != nil {
		return nil
	}
	h, _ := flightwire.Field(c.Body, 1)
	return h
}

// named checks what an action's body holds.
func named(body []byte, name string) error {
	cmd, err := flightwire.ParseCommand(body)
	if err != nil {
		return malformed(err)
	}
	if cmd.Name != name {
		return status.Errorf(codes.InvalidArgument, "body is a %s, wanted is an %s", cmd.Name, name)
	}
	return nil
}

// endTransaction commits or rolls back. A commit is sent once: whether one whose answer was lost has happened is not known,
// and is said so.
func (f *Front) endTransaction(c *caller, body []byte) error {
	tx, _, end, err := f.ended(c, body, "ActionEndTransactionRequest", f.transaction)
	if err != nil {
		return err
	}
	kind, text := session.Commit, "COMMIT"
	if end == flightwire.EndRollback {
		kind, text = session.Rollback, "ROLLBACK"
	}
	request := flightwire.AppendVarint(flightwire.AppendBytes(nil, 1, tx.Handle), 2, end)
	return f.act(c, &work{command: "ActionEndTransactionRequest", statement: text, use: &frontend.Statement{Kind: kind, Token: tx}},
		"EndTransaction", "ActionEndTransactionRequest", request)
}

// ended reads the request that ends a transaction or savepoint: field 1 is its token, field 2 how it ends.
func (f *Front) ended(c *caller, body []byte, name string, open func(*caller, []byte) (*frontend.StickySession, error)) (tx *frontend.StickySession, token []byte, end uint64, err error) {
	if err = named(body, name); err != nil {
		return nil, nil, 0, err
	}
	cmd, _ := flightwire.ParseCommand(body)
	_, varints, err := flightwire.Fields(cmd.Body)
	if err != nil {
		return nil, nil, 0, malformed(err)
	}
	if token, err = flightwire.Field(cmd.Body, 1); err != nil || len(token) == 0 {
		return nil, nil, 0, status.Errorf(codes.InvalidArgument, "%s: field 1 is empty", name)
	}
	if end = varints[2]; end != flightwire.EndCommit && end != flightwire.EndRollback {
		return nil, nil, 0, status.Errorf(codes.InvalidArgument, "%s: field 2 is %d, allowed are 1 and 2", name, end)
	}
	tx, err = open(c, token)
	return tx, token, end, err
}

// act runs an action at the node of a transaction.
func (f *Front) act(c *caller, w *work, action, name string, request []byte) error {
	w.call = &flightwire.Call{Kind: flightwire.Do, Action: flightwire.Action{Type: action, Body: flightwire.NewCommand(name, request)}}
	v, err := f.ask(c, w)
	if err == nil {
		err = verdictError(v)
	}
	return err
}

// beginSavepoint sets a savepoint: its id is sealed with the transaction's.
func (f *Front) beginSavepoint(c *caller, body []byte) ([]byte, error) {
	if err := named(body, "ActionBeginSavepointRequest"); err != nil {
		return nil, err
	}
	cmd, _ := flightwire.ParseCommand(body)
	token, err := flightwire.Field(cmd.Body, 1)
	if err != nil {
		return nil, malformed(err)
	}
	tx, err := f.transaction(c, token)
	if err != nil {
		return nil, err
	}
	if tx == nil {
		return nil, status.Error(codes.InvalidArgument, "ActionBeginSavepointRequest: field 1 (transaction_id) is empty")
	}
	label, _ := flightwire.Field(cmd.Body, 2)
	request := flightwire.AppendBytes(flightwire.AppendBytes(nil, 1, tx.Handle), 2, label)
	w := &work{command: cmd.Name, statement: "SAVEPOINT", use: &frontend.Statement{Kind: session.Plain, Token: tx}, call: &flightwire.Call{
		Kind: flightwire.Do, Action: flightwire.Action{Type: "BeginSavepoint", Body: flightwire.NewCommand(cmd.Name, request)}}}
	v, err := f.ask(c, w)
	if err == nil {
		err = verdictError(v)
	}
	if err != nil {
		return nil, err
	}
	inner := flightwire.AppendBytes(flightwire.AppendBytes(nil, 1, token), 2, handleOf(v))
	sealed := f.opt.Seal.Seal(seal.Savepoint, time.Now().Add(f.opt.Age), inner)
	return flightwire.StatementCommand("ActionBeginSavepointResult", sealed), nil
}

// endSavepoint releases a savepoint or rolls back to it.
func (f *Front) endSavepoint(c *caller, body []byte) error {
	var handle []byte
	tx, _, end, err := f.ended(c, body, "ActionEndSavepointRequest", func(c *caller, token []byte) (*frontend.StickySession, error) {
		b, err := f.open(seal.Savepoint, token)
		if err != nil {
			return nil, err
		}
		if handle, err = flightwire.Field(b, 2); err != nil {
			return nil, malformed(err)
		}
		inner, _ := flightwire.Field(b, 1)
		return f.transaction(c, inner)
	})
	if err != nil {
		return err
	}
	request := flightwire.AppendVarint(flightwire.AppendBytes(nil, 1, handle), 2, end)
	return f.act(c, &work{command: "ActionEndSavepointRequest", statement: "ROLLBACK TO", use: &frontend.Statement{Kind: session.Plain, Token: tx}},
		"EndSavepoint", "ActionEndSavepointRequest", request)
}

// sessionError is the status of a statement that its session turned away or took with it.
func sessionError(e *frontend.SessionError) error {
	code, final := codes.Aborted, "failed"
	switch e.Reason {
	case session.ReasonTooManySessions, session.ReasonTooManyTables:
		code, final = codes.ResourceExhausted, "refused"
	case session.ReasonNodesUnknown:
		code, final = codes.Unavailable, "refused"
	case session.ReasonBusy, session.ReasonNoTransaction, session.ReasonTransactionOpen, session.ReasonTransactionDone:
		code, final = codes.FailedPrecondition, "refused"
	case session.ReasonClosed:
		code = codes.Canceled
	}
	commit := "known not to have run"
	if !e.CommitKnown() {
		commit = "unknown"
	}
	details := []protoadapt.MessageV1{&errdetails.ErrorInfo{Reason: string(e.Reason), Domain: Domain,
		Metadata: map[string]string{"final": final, "session": e.State.String(), "commit": commit}}}
	if e.RetryAfter > 0 {
		details = append(details, &errdetails.RetryInfo{RetryDelay: durationpb.New(e.RetryAfter)})
	}
	s, err := status.New(code, final+": "+e.Error()).WithDetails(details...)
	if err != nil { // the details always marshal
		return status.Error(code, e.Error())
	}
	return s.Err()
}
