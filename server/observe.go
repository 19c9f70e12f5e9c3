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

// observer turns what the loop does into metrics, log lines and spans. All but the collectors' own locks is used by
// the loop alone.
type observer struct {
	log      *slog.Logger
	registry *prometheus.Registry
	tracer   trace.Tracer // nil: no spans
	classes  []string
	spans    map[string]*querySpans

	queries  *prometheus.CounterVec
	latency  *prometheus.HistogramVec
	attempts *prometheus.CounterVec
	sent     *prometheus.CounterVec
	faults   *prometheus.CounterVec
	steps    prometheus.Counter
	events   prometheus.Counter
	actions  prometheus.Counter
	held     prometheus.Gauge
	limit    prometheus.Gauge
	version  prometheus.Gauge
	pause    prometheus.Histogram
}

// querySpans are the open spans of one query.
type querySpans struct {
	ctx      context.Context
	query    trace.Span
	decision trace.Span
}

var codeNames = map[policy.Code]string{policy.OK: "ok", policy.Failed: "failed", policy.Rejected: "full",
	policy.TimedOut: "timed_out", policy.ConnectionRefused: "refused", policy.ConnectionReset: "reset", policy.Cancelled: "cancelled",
	policy.NeverSent: "moot"}

func newObserver(log *slog.Logger, r *prometheus.Registry, t trace.Tracer, cfg *config.Config) *observer {
	o := &observer{log: log, registry: r, tracer: t, spans: map[string]*querySpans{}}
	for _, c := range cfg.Settings.Classes {
		o.classes = append(o.classes, c.Name)
	}
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		c := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "embershunt", Name: name, Help: help}, labels)
		r.MustRegister(c)
		return c
	}
	o.queries = counter("queries_total", "Final answers.", "class", "final", "reason")
	o.attempts = counter("attempts_ended_total", "Ends of attempts.", "node", "code")
	o.sent = counter("attempts_sent_total", "Attempts sent; further ones are those beyond a query's first.", "further")
	o.faults = counter("faults_total", "Things that must not happen.", "kind")
	for _, k := range dispatch.FaultKinds {
		o.faults.WithLabelValues(string(k))
	}
	o.latency = prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: "embershunt", Name: "answer_seconds",
		Help:    "Time from taking a query to its final answer.",
		Buckets: prometheus.ExponentialBuckets(0.0005, 2, 17)}, []string{"class", "final"})
	o.steps = prometheus.NewCounter(prometheus.CounterOpts{Namespace: "embershunt", Name: "steps_total",
		Help: "Steps of the decision module."})
	o.events = prometheus.NewCounter(prometheus.CounterOpts{Namespace: "embershunt", Name: "events_total",
		Help: "Events told to the decision module."})
	o.actions = prometheus.NewCounter(prometheus.CounterOpts{Namespace: "embershunt", Name: "actions_total",
		Help: "Actions of the decision module."})
	o.held = prometheus.NewGauge(prometheus.GaugeOpts{Namespace: "embershunt", Name: "held_queries",
		Help: "Queries without a final answer."})
	o.version = prometheus.NewGauge(prometheus.GaugeOpts{Namespace: "embershunt", Name: "settings_changes",
		Help: "Changes of settings since the start."})
	o.pause = prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: "embershunt", Name: "change_pause_seconds",
		Help: "How long the loop was held by a change of the settings.", Buckets: prometheus.ExponentialBuckets(1e-6, 4, 12)})
	o.limit = prometheus.NewGauge(prometheus.GaugeOpts{Namespace: "embershunt", Name: "held_queries_limit",
		Help: "Most queries that may be held."})
	o.limit.Set(float64(cfg.Settings.MaxInFlight))
	r.MustRegister(o.latency, o.steps, o.events, o.actions, o.held, o.limit, o.version, o.pause)
	return o
}

// watch adds the figures that others keep.
func (o *observer) watch(desk *frontend.Intake, f *backend.Fleet, n *clickhouse.Front, insertsHeld int) {
	o.registry.MustRegister(
		prometheus.NewCounterFunc(prometheus.CounterOpts{Namespace: "embershunt", Name: "queries_unruled_total",
			Help: "Queries that no rule and no hint gave a class."}, func() float64 { return float64(desk.Unclassified()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{Namespace: "embershunt", Name: "node_list_failures_total",
			Help: "Node lists that failed or could not be used."}, func() float64 { return float64(f.ListFailures()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "embershunt", Name: "native_connections",
			Help: "Open connections of native clients."}, func() float64 { return float64(n.Conns()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "embershunt", Name: "held_insert_bytes",
			Help: "Bytes of clients' rows and external tables held until their queries have an answer."},
			func() float64 { b, _, _ := n.Holding(); return float64(b) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "embershunt", Name: "held_insert_bytes_limit",
			Help: "Most of them."}, func() float64 { return float64(insertsHeld) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{Namespace: "embershunt", Name: "inserts_too_large_total",
			Help: "Queries turned away because they alone brought more than allowed."},
			func() float64 { _, large, _ := n.Holding(); return float64(large) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{Namespace: "embershunt", Name: "inserts_no_room_total",
			Help: "Queries turned away because there was no room for what they brought."},
			func() float64 { _, _, full := n.Holding(); return float64(full) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "embershunt", Name: "drain_last_send_seconds",
			Help: "Longest time from a drain notice to a send to that node after it; 0: none was sent."},
			func() float64 { return f.LastSendAfterDrain().Seconds() }))
	o.watchAudit(f.Audit())
}

// watchAudit adds the counts of acts that were not permitted.
func (o *observer) watchAudit(a *permit.Audit) {
	for _, reason := range permit.All() {
		labels := prometheus.Labels{"reason": reason.String()}
		o.registry.MustRegister(
			prometheus.NewCounterFunc(prometheus.CounterOpts{Namespace: "embershunt", Name: "attempts_withheld_total", ConstLabels: labels,
				Help: "Attempts that were not permitted when they would have begun."}, func() float64 { return float64(a.Withheld(reason)) }),
			prometheus.NewCounterFunc(prometheus.CounterOpts{Namespace: "embershunt", Name: "rule_violations_total", ConstLabels: labels,
				Help: "Attempts that began against a rule; must be 0."}, func() float64 { return float64(a.Violated(reason)) }))
	}
}

// watchSessions adds the figures of sessions.
func (o *observer) watchSessions(s *frontend.Sessions, most int) {
	o.registry.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "embershunt", Name: "sessions_held",
			Help: "Sessions whose state a node holds, those that begin and end among them."},
			func() float64 { _, held, _ := s.Status(); return float64(held) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "embershunt", Name: "sessions_held_limit", Help: "Most of them."},
			func() float64 { return float64(most) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "embershunt", Name: "sessions_known",
			Help: "Sessions remembered, ended ones among them."},
			func() float64 { known, _, _ := s.Status(); return float64(known) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "embershunt", Name: "sessions_on_one_node",
			Help: "Most sessions of this dispatcher on one node."}, func() float64 {
			most := 0
			_, _, by := s.Status()
			for _, n := range by {
				most = max(most, n)
			}
			return float64(most)
		}))
}

func (o *observer) class(i int) string {
	if i >= 0 && i < len(o.classes) {
		return o.classes[i]
	}
	return strconv.Itoa(i)
}

// Taken implements dispatch.Observer.
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

// Ended implements dispatch.Observer.
func (o *observer) AttemptEnded(q *dispatch.Query, node string, ev dispatch.AttemptEnded) {
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
func (o *observer) Answered(q *dispatch.Query, v dispatch.Outcome, took dispatch.Micros) {
	class := o.class(q.Class)
	o.queries.WithLabelValues(class, v.Kind.String(), string(v.Reason)).Inc()
	o.latency.WithLabelValues(class, v.Kind.String()).Observe(float64(took) / 1e6)
	if s := o.spans[q.ID]; s != nil {
		if s.decision != nil {
			s.decision.End()
		}
		s.query.SetAttributes(attribute.String("final", v.Kind.String()), attribute.String("reason", string(v.Reason)),
			attribute.Int("attempts", v.Attempts))
		s.query.End()
		delete(o.spans, q.ID)
	}
}

// Fault implements dispatch.Observer.
func (o *observer) Fault(f dispatch.Fault) {
	o.faults.WithLabelValues(string(f.Kind)).Inc()
	o.log.Error("fault", "kind", f.Kind, "query", f.ID, "history", f.History)
}

// Changed implements dispatch.Observer.
func (o *observer) Changed(version uint64, s policy.Settings) {
	o.classes = nil
	for _, c := range s.Classes {
		o.classes = append(o.classes, c.Name)
	}
	o.version.Set(float64(version))
	o.limit.Set(float64(s.MaxInFlight))
}

// Paused implements dispatch.Observer.
func (o *observer) Paused(d dispatch.Micros) { o.pause.Observe(float64(d) / 1e6) }

// Note implements dispatch.Observer.
func (o *observer) LogLine(text string) { o.log.Info(text, "from", "module") }

// Stepped implements dispatch.Observer.
func (o *observer) StepCompleted(events, actions, held int) {
	o.steps.Inc()
	o.events.Add(float64(events))
	o.actions.Add(float64(actions))
	o.held.Set(float64(held))
}

var _ dispatch.Observer = (*observer)(nil)
