// Package policy makes the decisions of one gateway among many that share a fleet of query nodes:
// admission, priority level, endpoint, memory grant and retries. It does no I/O, reads no clock and starts
// no goroutine: Step receives events and the time and returns actions, and the same events always lead
// to the same actions. Admission uses priority pricing after Konana et al.; docs/design.md lists which
// parts of the paper are used and what was added.
//
// The files, in the order in which a request passes through them:
//
//	settings.go, validation.go    settings of a gateway and their validation
//	events.go, actions.go         input and output of Step
//	gateway.go                    Gateway, New, Step, dispatch of events
//	endpoints.go                  endpoint list and the state of each endpoint
//	requests.go                   ledger of open requests; state of a class
//	admission.go                  decision to admit, queue or shed; priority weight
//	pricing.go                    prices (tolls) of classes at priority levels, choice of the level
//	admission_queue.go            requests that wait for capacity; price of a place in the queue
//	routing.go                    eligibility of endpoints, weighted random choice among them
//	health_check.go               health checks before that choice
//	table_affinity.go             table locks, subsets of endpoints for loads, cached table groups
//	capacity.go                   test of an endpoint for capacity; control loop that sets the capacity
//	load.go                       load estimates of one endpoint from reports, gossip and own attempts
//	fleet.go                      summary of all endpoints
//	slow_start.go                 work budget of endpoints that have just started
//	key_order.go                  order of requests with the same order key, one at a time
//	memory_grants.go              memory grant of an attempt
//	attempts.go                   ledger of attempts: send, result, progress
//	retry.go                      rules for retries, retry budget, overdue attempts
//	outlier.go                    outlier detection, ejection, latency inflation
//	traffic.go                    request rates, this gateway's share, tenants, means over its queries
//	gossip.go, gossip_codec.go    messages between gateways; their wire format
//	estimates.go                  running mean, running median, power fit
//	maintenance.go                periodic work: deadlines, prices, polls, overdue attempts
//	learned.go                    stored form of learned estimates
//	change.go                     new settings in a running gateway
package policy
