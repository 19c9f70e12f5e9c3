// Package policy decides for one gateway of many that share query nodes: admission, priority level,
// endpoint, memory grant, retries. It is free of I/O, clocks and goroutines: events and the time go
// in, actions come out, and equal events give equal actions. The ordinary path is priority pricing
// after Konana et al.; docs/design.md says what was kept of the paper and what was added.
//
// The files, in the order in which a request meets them:
//
//	settings.go, validation.go    what a gateway is configured with
//	events.go, actions.go         input and output of Step
//	gateway.go                    Gateway, New, Step, dispatch of events
//	endpoints.go                  the endpoint list and what is known of each endpoint
//	requests.go                   ledger of open requests; the state of a class
//	admission.go                  admit, queue or shed; priority weight
//	pricing.go                    prices (tolls) of classes at priority levels, choice of the level
//	admission_queue.go            requests that wait for capacity, and the price of a place there
//	routing.go                    which endpoints are eligible, weighted draw among them
//	health_check.go               health checks before the draw
//	table_affinity.go             table locks, subsets of endpoints for loads, cached groups
//	capacity.go                   whether an endpoint has capacity; adjustment of the capacity
//	load.go                       load estimates of one endpoint from reports, gossip and own attempts
//	fleet.go                      summary of all endpoints
//	slow_start.go                 budget of endpoints that have just started
//	key_order.go                  requests of one order key run one at a time
//	memory_grants.go              memory grant of an attempt
//	attempts.go                   ledger of attempts: send, result, progress
//	retry.go                      which retries are allowed, retry budget, overdue attempts
//	outlier.go                    outlier detection, ejection, latency inflation
//	traffic.go                    rates, this gateway's share, tenants, means of its queries
//	gossip.go, gossip_codec.go    what gateways exchange; its wire form
//	estimates.go                  running mean, running median, power fit
//	maintenance.go                work of the timer: deadlines, prices, polls, overdue attempts
//	learned.go                    stored form of what was learned
//	change.go                     new settings in a running gateway
package policy
