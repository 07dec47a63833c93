package node

import (
	"sync/atomic"

	"github.com/limpetdock/limpetdock/internal/control"
	"github.com/limpetdock/limpetdock/internal/core"
	"github.com/limpetdock/limpetdock/internal/entry"
	"github.com/limpetdock/limpetdock/internal/guard"
	"github.com/limpetdock/limpetdock/internal/link"
	"github.com/limpetdock/limpetdock/internal/metrics"
	"github.com/limpetdock/limpetdock/internal/platform"
)

// registerGauges registers the counters that the components of a node maintain.
func registerGauges(m *metrics.Metrics, c *link.Counters, p *platform.HTTP, l *control.Loop, e *entry.Entry, g *guard.Guard) {
	exposeGuard(m, g)
	exposeAttempts(m, e, g)
	exposeCore(m, l)
	exposeLink(m, c)
	m.Counter("limpetdock_platform_calls_total", "Calls to the platform, a waiting watch as one.", func() float64 { return float64(p.Calls.Load()) })
}

func exposeGuard(m *metrics.Metrics, g *guard.Guard) {
	m.Gauge("limpetdock_backend_slots", "Requests that the backend server runs at once, as declared.", func() float64 { return float64(g.Load().Slots) })
	m.Gauge("limpetdock_backend_slots_in_use", "Requests that the backend server runs now.", func() float64 { return float64(g.Load().InUse) })
	m.Gauge("limpetdock_backend_queue_length", "Requests that wait for a slot.", func() float64 { return float64(g.Load().Waiting) })
}

func exposeCore(m *metrics.Metrics, l *control.Loop) {
	m.Gauge("limpetdock_config_revision", "Revision in force; 0 is none.", func() float64 { return float64(l.Counters().Revision) })
	rows := []struct {
		name, help string
		read       func(core.Counters) uint64
	}{
		{"limpetdock_config_applied_total", "Configurations put in force.", func(c core.Counters) uint64 { return c.Applied }},
		{"limpetdock_config_refused_total", "Configurations refused; the dump says why.", func(c core.Counters) uint64 { return c.Refused }},
		{"limpetdock_config_older_total", "Reads of the platform that gave an older revision than the one in force.", func(c core.Counters) uint64 { return c.OlderIndexes }},
		{"limpetdock_config_behind_total", "Requests that showed a peer under another configuration.", func(c core.Counters) uint64 { return c.Behind }},
		{"limpetdock_suspicions_total", "Peers that this node came to suspect.", func(c core.Counters) uint64 { return c.Suspicions }},
		{"limpetdock_name_clashes_total", "News of another process under this VM's name.", func(c core.Counters) uint64 { return c.NameClashes }},
		{"limpetdock_key_tables_kept_total", "Key tables of stopping peers that this node has kept.", func(c core.Counters) uint64 { return c.Keys.Stored }},
		{"limpetdock_key_tables_given_total", "Key tables that this node gave to a peer's next process.", func(c core.Counters) uint64 { return c.Keys.Sent }},
		{"limpetdock_key_tables_dropped_total", "Key tables that this node kept and no process came for in time.", func(c core.Counters) uint64 { return c.Keys.Dropped }},
		{"limpetdock_key_tables_refused_total", "Offers of key tables, and questions for them, that this node refused.", func(c core.Counters) uint64 { return c.Keys.Refused }},
	}
	for _, r := range rows {
		m.Counter(r.name, r.help, func() float64 { return float64(r.read(l.Counters())) })
	}
	exposeKeys(m, l.KeyCounters())
}

func exposeKeys(m *metrics.Metrics, c *control.KeyCounters) {
	rows := []struct {
		name, help string
		value      *atomic.Uint64
	}{
		{"limpetdock_keys_handed_total", "Times that this node handed its keys to a peer for its next process.", &c.Handed},
		{"limpetdock_keys_not_handed_total", "Times that this node stopped and could not hand its keys on.", &c.NotHanded},
		{"limpetdock_keys_taken_total", "Times that this node took the keys of its process before.", &c.Taken},
		{"limpetdock_keys_not_taken_total", "Times that such keys came and could not be taken.", &c.NotTaken},
		{"limpetdock_keys_bytes_total", "Bytes of key tables that this node sent and took.", &c.Bytes},
	}
	for _, r := range rows {
		m.Counter(r.name, r.help, func() float64 { return float64(r.value.Load()) })
	}
}

func exposeLink(m *metrics.Metrics, c *link.Counters) {
	rows := []struct {
		name, help string
		value      interface{ Load() uint64 }
	}{
		{"limpetdock_control_sent_bytes_total", "Bytes of control frames sent.", &c.Sent},
		{"limpetdock_control_received_bytes_total", "Bytes of control frames received.", &c.Received},
		{"limpetdock_control_strangers_total", "Control connections refused because of who dialled.", &c.Strangers},
		{"limpetdock_control_bad_frames_total", "Control connections closed because of a bad frame.", &c.BadFrames},
		{"limpetdock_control_full_total", "Control connections refused because there were too many.", &c.Full},
		{"limpetdock_control_accept_errors_total", "Control connections that could not be accepted.", &c.AcceptErrors},
		{"limpetdock_control_dials_total", "Control connections opened to peers.", &c.Dials},
	}
	for _, r := range rows {
		m.Counter(r.name, r.help, func() float64 { return float64(r.value.Load()) })
	}
}

func exposeAttempts(m *metrics.Metrics, e *entry.Entry, g *guard.Guard) {
	counters := []struct {
		name, help string
		value      *atomic.Uint64
	}{
		{"limpetdock_progress_checks_total", "Questions to targets about exchanges in which nothing moved.", &e.Counters().ProgressChecks},
		{"limpetdock_silent_connections_total", "Exchanges given up because their connection had gone silent.", &e.Counters().UnresponsiveConnections},
		{"limpetdock_attempts_resolved_total", "At-most-once attempts whose fate had to be asked for.", &e.Counters().Resolved},
		{"limpetdock_attempts_refused_total", "Copies of attempts that the guard didn't run: stale, conflicting, or of a key not taken.", &g.Counters.Refused},
		{"limpetdock_attempts_sealed_total", "Answers of the guard that an attempt is sealed and will never run.", &g.Counters.Sealed},
		{"limpetdock_answers_redelivered_total", "Kept answers of attempts that were given again.", &g.Counters.Redelivered},
	}
	for _, c := range counters {
		m.Counter(c.name, c.help, func() float64 { return float64(c.value.Load()) })
	}
	m.Gauge("limpetdock_attempt_records", "Records of at-most-once attempts.", func() float64 { n, _ := g.Attempts(); return float64(n) })
	m.Gauge("limpetdock_attempt_answer_bytes", "Bytes of kept answers.", func() float64 { _, n := g.Attempts(); return float64(n) })
}
