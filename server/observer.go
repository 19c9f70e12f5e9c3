package server

import (
	"context"
	"log/slog"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"embershunt/backend"
	"embershunt/config"
	"embershunt/dispatch"
	"embershunt/frontend"
	"embershunt/frontend/clickhouse"
	"embershunt/permit"
	"embershunt/policy"
)

// metricsNamespace is the prefix of all metric names.
const metricsNamespace = "embershunt"

var _ dispatch.Observer = (*observer)(nil)

// observer turns the notifications of a core into metrics, log lines and spans. The collectors are safe for concurrent use; once the
// loop runs, only its goroutine uses the other fields.
type observer struct {
	log      *slog.Logger
	registry *prometheus.Registry
	tracer   trace.Tracer           // nil: no spans
	classes  []string               // class names, by their index in the settings in force
	spans    map[string]*querySpans // by query id; empty without a tracer

	queries  *prometheus.CounterVec // final answers
	latency  *prometheus.HistogramVec
	attempts *prometheus.CounterVec // attempts ended
	sent     *prometheus.CounterVec
	faults   *prometheus.CounterVec
	steps    prometheus.Counter
	events   prometheus.Counter
	actions  prometheus.Counter
	pending  prometheus.Gauge
	limit    prometheus.Gauge     // upper bound of pending
	version  prometheus.Gauge     // number of settings changes since the start
	pause    prometheus.Histogram // duration of steps with a change of settings
}

// querySpans are the open spans of one pending query.
type querySpans struct {
	ctx      context.Context
	query    trace.Span
	decision trace.Span // from receipt to the first attempt or the final answer; nil once an attempt was sent
}

// codeNames has the names of attempts' result codes in metrics and logs.
var codeNames = map[policy.Code]string{policy.OK: "ok", policy.Failed: "failed", policy.Rejected: "full",
	policy.TimedOut: "timed_out", policy.ConnectionRefused: "refused", policy.ConnectionReset: "reset", policy.Cancelled: "cancelled",
	policy.NeverSent: "moot"}

func newObserver(log *slog.Logger, r *prometheus.Registry, t trace.Tracer, cfg *config.Config) *observer {
	o := &observer{log: log, registry: r, tracer: t, spans: map[string]*querySpans{}}
	o.setClasses(cfg.Settings)
	o.registerQueryMetrics()
	o.registerStepMetrics()
	o.limit.Set(float64(cfg.Settings.MaxInFlight))
	return o
}

func (o *observer) setClasses(s policy.Settings) {
	o.classes = nil
	for _, c := range s.Classes {
		o.classes = append(o.classes, c.Name)
	}
}

// registerQueryMetrics creates and registers the metrics of queries, attempts and faults.
func (o *observer) registerQueryMetrics() {
	o.queries = o.counterVec("queries_total", "Final answers.", "class", "final", "reason")
	o.attempts = o.counterVec("attempts_ended_total", "Ends of attempts.", "node", "code")
	o.sent = o.counterVec("attempts_sent_total", "Attempts sent; further ones are those beyond a query's first.", "further")
	o.faults = o.counterVec("faults_total", "Things that must not happen.", "kind")
	for _, k := range dispatch.FaultKinds {
		o.faults.WithLabelValues(string(k))
	}
	o.latency = prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: metricsNamespace, Name: "answer_seconds",
		Help:    "Time from taking a query to its final answer.",
		Buckets: prometheus.ExponentialBuckets(0.0005, 2, 17)}, []string{"class", "final"})
	o.registry.MustRegister(o.latency)
}

// registerStepMetrics creates and registers the metrics of the loop's steps and of changes of settings.
func (o *observer) registerStepMetrics() {
	o.steps = o.counter("steps_total", "Steps of the decision module.")
	o.events = o.counter("events_total", "Events told to the decision module.")
	o.actions = o.counter("actions_total", "Actions of the decision module.")
	o.pending = o.gauge("held_queries", "Queries without a final answer.")
	o.limit = o.gauge("held_queries_limit", "Most queries that may be held.")
	o.version = o.gauge("settings_changes", "Changes of settings since the start.")
	o.pause = prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: metricsNamespace, Name: "change_pause_seconds",
		Help: "How long the loop was held by a change of the settings.", Buckets: prometheus.ExponentialBuckets(1e-6, 4, 12)})
	o.registry.MustRegister(o.pause)
}

func (o *observer) counterVec(name, help string, labels ...string) *prometheus.CounterVec {
	c := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: metricsNamespace, Name: name, Help: help}, labels)
	o.registry.MustRegister(c)
	return c
}

func (o *observer) counter(name, help string) prometheus.Counter {
	c := prometheus.NewCounter(prometheus.CounterOpts{Namespace: metricsNamespace, Name: name, Help: help})
	o.registry.MustRegister(c)
	return c
}

func (o *observer) gauge(name, help string) prometheus.Gauge {
	g := prometheus.NewGauge(prometheus.GaugeOpts{Namespace: metricsNamespace, Name: name, Help: help})
	o.registry.MustRegister(g)
	return g
}

// counterFunc registers a counter whose value another part of the dispatcher maintains.
func (o *observer) counterFunc(name, help string, labels prometheus.Labels, value func() float64) {
	o.registry.MustRegister(prometheus.NewCounterFunc(
		prometheus.CounterOpts{Namespace: metricsNamespace, Name: name, Help: help, ConstLabels: labels}, value))
}

// gaugeFunc registers a gauge whose value another part of the dispatcher maintains.
func (o *observer) gaugeFunc(name, help string, value func() float64) {
	o.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: metricsNamespace, Name: name, Help: help}, value))
}

// registerParts registers the metrics whose values the intake, the fleet and the native frontend maintain.
func (o *observer) registerParts(intake *frontend.Intake, f *backend.Fleet, native *clickhouse.Frontend, maxInsertBytes int) {
	o.counterFunc("queries_unruled_total", "Queries that no rule and no hint gave a class.", nil,
		func() float64 { return float64(intake.Unclassified()) })
	o.counterFunc("node_list_failures_total", "Node lists that failed or could not be used.", nil,
		func() float64 { return float64(f.ListFailures()) })
	o.gaugeFunc("drain_last_send_seconds", "Longest time from a drain notice to a send to that node after it; 0: none was sent.",
		func() float64 { return f.MaxSendDelayAfterDrain().Seconds() })
	o.gaugeFunc("native_connections", "Open connections of native clients.", func() float64 { return float64(native.Conns()) })
	o.gaugeFunc("held_insert_bytes", "Bytes of clients' rows and external tables held until their queries have an answer.",
		func() float64 { b, _, _ := native.BufferedInserts(); return float64(b) })
	o.gaugeFunc("held_insert_bytes_limit", "Most of them.", func() float64 { return float64(maxInsertBytes) })
	o.counterFunc("inserts_too_large_total", "Queries turned away because they alone brought more than allowed.", nil,
		func() float64 { _, large, _ := native.BufferedInserts(); return float64(large) })
	o.counterFunc("inserts_no_room_total", "Queries turned away because there was no room for what they brought.", nil,
		func() float64 { _, _, full := native.BufferedInserts(); return float64(full) })
	o.registerAudit(f.Audit())
}

// registerAudit registers, by reason, the counts of attempts that were withheld and of those that began against a rule.
func (o *observer) registerAudit(a *permit.Audit) {
	for _, reason := range permit.Reasons() {
		labels := prometheus.Labels{"reason": reason.String()}
		o.counterFunc("attempts_withheld_total", "Attempts that were not permitted when they would have begun.", labels,
			func() float64 { return float64(a.Withheld(reason)) })
		o.counterFunc("rule_violations_total", "Attempts that began against a rule; must be 0.", labels,
			func() float64 { return float64(a.Violated(reason)) })
	}
}

// registerSessions registers the metrics of sessions.
func (o *observer) registerSessions(s *frontend.Sessions, maxSessions int) {
	o.gaugeFunc("sessions_held", "Sessions whose state a node holds, those that begin and end among them.",
		func() float64 { _, withState, _ := s.Status(); return float64(withState) })
	o.gaugeFunc("sessions_held_limit", "Most of them.", func() float64 { return float64(maxSessions) })
	o.gaugeFunc("sessions_known", "Sessions remembered, ended ones among them.",
		func() float64 { known, _, _ := s.Status(); return float64(known) })
	o.gaugeFunc("sessions_on_one_node", "Most sessions of this dispatcher on one node.", func() float64 {
		largest := 0
		_, _, byNode := s.Status()
		for _, n := range byNode {
			largest = max(largest, n)
		}
		return float64(largest)
	})
}

// class returns the name of the class with index i, or the index itself where the settings in force have no such class.
func (o *observer) class(i int) string {
	if i >= 0 && i < len(o.classes) {
		return o.classes[i]
	}
	return strconv.Itoa(i)
}

// QueryReceived implements dispatch.Observer.
func (o *observer) QueryReceived(q *dispatch.Query) {
	if o.tracer == nil {
		return
	}
	s := &querySpans{}
	s.ctx, s.query = o.tracer.Start(context.Background(), "query", trace.WithAttributes(
		attribute.String("query", q.ID), attribute.String("class", o.class(q.Class))))
	_, s.decision = o.tracer.Start(s.ctx, "decision")
	o.spans[q.ID] = s
}

// Sent implements dispatch.Observer.
func (o *observer) Sent(a dispatch.Attempt) {
	o.sent.WithLabelValues(strconv.FormatBool(a.Number > 0)).Inc()
	if s := o.spans[a.Query.ID]; s != nil && s.decision != nil {
		s.decision.SetAttributes(attribute.String("node", a.Node), attribute.Int("priority", a.Priority))
		s.decision.End()
		s.decision = nil
	}
}

// AttemptEnded implements dispatch.Observer.
func (o *observer) AttemptEnded(_ *dispatch.Query, node string, ev dispatch.AttemptEnded) {
	o.attempts.WithLabelValues(node, codeNames[ev.Code]).Inc()
	if o.log.Enabled(context.Background(), slog.LevelDebug) && ev.Err != nil {
		o.log.Debug("attempt ended", "query", ev.ID, "attempt", ev.Number, "node", node, "code", codeNames[ev.Code],
			"error", ev.Err)
	}
	if s := o.spans[ev.ID]; s != nil {
		_, span := o.tracer.Start(s.ctx, "attempt", trace.WithTimestamp(time.Now().Add(
			-time.Duration(ev.Latency)*time.Microsecond)), trace.WithAttributes(attribute.String("node", node),
			attribute.Int("attempt", ev.Number), attribute.String("code", codeNames[ev.Code])))
		span.End()
	}
}

// Answered implements dispatch.Observer.
func (o *observer) Answered(q *dispatch.Query, outcome dispatch.Outcome, duration dispatch.Micros) {
	class := o.class(q.Class)
	o.queries.WithLabelValues(class, outcome.Kind.String(), string(outcome.Reason)).Inc()
	o.latency.WithLabelValues(class, outcome.Kind.String()).Observe(float64(duration) / 1e6)
	if s := o.spans[q.ID]; s != nil {
		if s.decision != nil {
			s.decision.End()
		}
		s.query.SetAttributes(attribute.String("final", outcome.Kind.String()), attribute.String("reason", string(outcome.Reason)),
			attribute.Int("attempts", outcome.Attempts))
		s.query.End()
		delete(o.spans, q.ID)
	}
}

// Fault implements dispatch.Observer.
func (o *observer) Fault(f dispatch.Fault) {
	o.faults.WithLabelValues(string(f.Kind)).Inc()
	o.log.Error("fault", "kind", f.Kind, "query", f.ID, "history", f.History)
}

// SettingsChanged implements dispatch.Observer.
func (o *observer) SettingsChanged(version uint64, s policy.Settings) {
	o.setClasses(s)
	o.version.Set(float64(version))
	o.limit.Set(float64(s.MaxInFlight))
}

// SettingsChangeDuration implements dispatch.Observer.
func (o *observer) SettingsChangeDuration(d dispatch.Micros) { o.pause.Observe(float64(d) / 1e6) }

// LogLine implements dispatch.Observer.
func (o *observer) LogLine(text string) { o.log.Info(text, "from", "module") }

// StepCompleted implements dispatch.Observer.
func (o *observer) StepCompleted(events, actions, pending int) {
	o.steps.Inc()
	o.events.Add(float64(events))
	o.actions.Add(float64(actions))
	o.pending.Set(float64(pending))
}
