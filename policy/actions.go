package policy

// Action is something to do: output of Gateway.Step.
type Action interface{ isAction() }

// The actions. Attempts of a request count from 0 in the order of their Send.
type (
	// Send starts an attempt that is abandoned after Timeout. An attempt that has not begun by
	// StartBefore must not begin any more, since endpoints may have forgotten its idempotency key
	// by then (0: it may begin at any time).
	Send struct {
		ID, Endpoint string
		Timeout      Micros
		StartBefore  Micros
	}
	// Resources sets the memory grant of further sends and, at once, the priority (0 to 3).
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
	// Shed is a final answer: the request may be retried after RetryAfter without harm.
	Shed struct {
		ID         string
		RetryAfter Micros
	}
	// Fail is a final answer that says nothing about whether the request ran.
	Fail struct{ ID string }
	// HealthCheck asks an endpoint for its load.
	HealthCheck struct{ Endpoint string }
	// SetTimer asks for a TimerFired event.
	SetTimer struct{ After Micros }
	// SendGossip sends a message of up to 256 bytes to one peer.
	SendGossip struct {
		To   int
		Data []byte
	}
	// WatchEndpoints subscribes to the endpoint list.
	WatchEndpoints struct{}
	// FetchEndpoints asks for the complete endpoint list once.
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
