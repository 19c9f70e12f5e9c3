package policy

// Action is an output of Gateway.Step, which the dispatcher carries out.
type Action interface{ isAction() }

// The actions. The attempts of a request are numbered from 0 in the order of their Send.
type (
	// Send starts an attempt that times out after Timeout. The attempt must not begin to run at or after
	// the time StartBefore, when endpoints may have forgotten its idempotency key (0: no such limit).
	Send struct {
		ID, Endpoint string
		Timeout      Micros
		StartBefore  Micros
	}
	// Resources sets the memory grant and the priority (0 to 3, 3 is the highest) of a request's further
	// sends. The change of priority applies to its attempts in flight at once.
	Resources struct {
		ID       string
		MemoryMB float64
		Priority int
	}
	// Cancel cancels one attempt.
	Cancel struct {
		ID      string
		Attempt int
	}
	// Shed is a final answer: the client can safely retry the request after RetryAfter.
	Shed struct {
		ID         string
		RetryAfter Micros
	}
	// Fail is a final answer that does not tell whether the request ran.
	Fail struct{ ID string }
	// HealthCheck requests a load report from an endpoint.
	HealthCheck struct{ Endpoint string }
	// SetTimer requests a TimerFired event after the time After; it replaces an earlier timer.
	SetTimer struct{ After Micros }
	// SendGossip sends a message of at most 256 bytes to the peer of index To.
	SendGossip struct {
		To   int
		Data []byte
	}
	// WatchEndpoints subscribes to the endpoint list.
	WatchEndpoints struct{}
	// FetchEndpoints requests the complete endpoint list once.
	FetchEndpoints struct{}
	// LogLine is a line for the operators' log.
	LogLine struct{ Text string }
)

func (Send) isAction()           {}
func (Resources) isAction()      {}
func (Cancel) isAction()         {}
func (Shed) isAction()           {}
func (Fail) isAction()           {}
func (HealthCheck) isAction()    {}
func (SetTimer) isAction()       {}
func (SendGossip) isAction()     {}
func (WatchEndpoints) isAction() {}
func (FetchEndpoints) isAction() {}
func (LogLine) isAction()        {}
