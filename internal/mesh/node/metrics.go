package node

import (
	"github.com/limpetdock/limpetdock/internal/decision"
	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/mesh"
	"github.com/limpetdock/limpetdock/internal/mesh/entry"
	"github.com/limpetdock/limpetdock/internal/mesh/exchange"
	"github.com/limpetdock/limpetdock/internal/mesh/front"
	"github.com/limpetdock/limpetdock/internal/mesh/guard"
	"github.com/limpetdock/limpetdock/internal/mesh/peer"
	"github.com/limpetdock/limpetdock/internal/mesh/quarantine"
	"github.com/limpetdock/limpetdock/internal/mesh/reader"
	"github.com/limpetdock/limpetdock/internal/metrics"
)

// registerMetrics exposes the counters kept by a node's components.
func registerMetrics(m *metrics.Metrics, log *decision.Log, c *storeCalls, s Source, r *reader.Follower, f *front.Server, e *entry.Entry, g *guard.Guard, b *exchange.Client, q *quarantine.Tracker, u *peer.Uplink) {
	registerLinkMetrics(m, u)
	count := func(name, help string, read func() uint64) {
		m.Counter(name, help, func() float64 { return float64(read()) })
	}
	count("limpetdock_log_lines_total", "Lines written to the log.", func() uint64 { n, _ := log.Counts(); return n })
	count("limpetdock_log_dropped_total", "Lines dropped to bound the log.", func() uint64 { _, n := log.Counts(); return n })
	count("limpetdock_store_calls_total", "Calls to the platform's store, a waiting watch as one.", func() uint64 { n, _ := s.Calls(); return n })
	count("limpetdock_store_calls_failed_total", "Calls to the store without an answer that could be used.", func() uint64 { _, n := s.Calls(); return n })
	for _, cause := range StoreCauses {
		m.LabelledCounter("limpetdock_store_calls_by_cause_total", "Calls to the platform's store by what they were made for.",
			map[string]string{"cause": string(cause)}, func() uint64 { return s.CallsFor(cause) })
	}
	count("limpetdock_store_received_bytes_total", "Bytes of answers of the store, also of those given up.", c.received.Load)
	m.Gauge("limpetdock_store_revision", "Revision of the store up to which the node knows everything.", func() float64 { return float64(s.Revision()) })
	m.Gauge("limpetdock_store_behind_seconds", "How long the node has known of a newer revision than its own; 0 is not.", func() float64 { return r.Lag().Seconds() })
	count("limpetdock_backend_sent_total", "Requests sent to the backend server.", func() uint64 { n, _ := g.Counts(); return n })
	count("limpetdock_backend_probes_total", "Questions to the backend server about its load.", func() uint64 { _, n := g.Counts(); return n })
	count("limpetdock_backend_deaths_total", "Deaths of the backend server with requests in flight.", g.Deaths)
	m.Gauge("limpetdock_backend_limit_per_second", "Requests per second that the backend server takes, as it names them; +Inf is no limit.", g.LimitPerSecond)
	m.Gauge("limpetdock_suspects", "Requests that were in flight when backend servers died, in the node's table.", func() float64 { return float64(q.Len()) })
	count("limpetdock_retries_granted_total", "Retries that the retry budgets of the services allowed.", func() uint64 { return e.RetryCounts().Granted })
	count("limpetdock_retries_denied_total", "Retries that the retry budgets of the services denied.", func() uint64 { return e.RetryCounts().Denied })
	count("limpetdock_retries_denied_by_calls_total", "Retries that were denied as their run would make calls to a service whose retry budget is used up.", func() uint64 { return e.RetryCounts().DeniedByCalls })
	count("limpetdock_retry_budget_requests_total", "Requests that are certainly callers' own and not calls of backend servers; the ratio of the retry budgets applies to these.", func() uint64 { return e.RetryCounts().Requests })
	m.Gauge("limpetdock_retry_slack_share", "Retries within a window that the node may make for a service beyond the ratio.", func() float64 { return e.RetryCounts().Share })
	m.Gauge("limpetdock_retry_slack_nodes", "Nodes by which the slack of the retry budget is divided.", func() float64 { return float64(e.RetryCounts().Nodes) })
	for _, proof := range kind.Proofs {
		m.LabelledCounter("limpetdock_not_run_total", "Requests that callers were told have not run, by what shows that.",
			map[string]string{"proof": string(proof)}, func() uint64 { return e.NotRun(proof) })
	}
	for _, statement := range mesh.Statements {
		m.LabelledCounter("limpetdock_backend_statements_total", "Answers of the backend server by what they say about whether the request ran.",
			map[string]string{"statement": statement.String()}, func() uint64 { return g.Statements(statement) })
	}
	count("limpetdock_backend_connections_total", "Connections opened to the backend server.", b.Opened)
	count("limpetdock_backend_reuse_pauses_total", "Times that the backend server sent bytes without a request, so that connections to it aren't reused for a while.", b.ReusePauses)
	count("limpetdock_backend_unmatched_answers_total", "Answers of the backend server that belonged to no waiting request, such as second answers.", b.UnmatchedAnswers)
	count("limpetdock_backend_repeats_diverted_total", "Idle connections to the backend server that a request was not sent on, as its id had been sent there before.", b.RepeatsDiverted)
	count("limpetdock_callers_connections_total", "Connections accepted from callers.", f.Counts.Accepted.Load)
	count("limpetdock_callers_requests_total", "Requests read whole.", f.Counts.Requests.Load)
	count("limpetdock_callers_rejected_total", "Requests that could not be read.", f.Counts.Rejected.Load)
	count("limpetdock_callers_left_total", "Requests whose caller left before the answer.", f.Counts.Abandoned.Load)
	m.Gauge("limpetdock_callers_body_bytes", "Memory that the larger bodies of callers' requests take, in bytes.", func() float64 { return float64(f.BodyBytes()) })
	m.Gauge("limpetdock_requests_in_flight", "Requests of callers being served.", func() float64 { return float64(e.Active()) })
	registerSlownessMetrics(m, g)
	m.Gauge("limpetdock_backend_slots_in_use", "Requests that the backend server runs now.", func() float64 { return float64(g.Load().Running) })
	m.Gauge("limpetdock_backend_queue_length", "Requests that wait for a slot.", func() float64 { return float64(g.Load().Waiting) })
	registerSchedulingMetrics(m, g)
	registerCallMetrics(m, e)
	m.Gauge("limpetdock_config_version", "Configuration in force; 0 is none.", func() float64 {
		if v := e.View(); v != nil {
			return float64(v.Config.Version)
		}
		return 0
	})
}
