package node

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/limpetdock/limpetdock/internal/mesh/egress"
	"github.com/limpetdock/limpetdock/internal/mesh/peer"
	"github.com/limpetdock/limpetdock/internal/metrics"
)

// classNames are the label values of the classes of frames.
var classNames = [egress.Classes]string{egress.Control: "control", egress.Small: "small", egress.Bulk: "bulk"}

// registerLinkMetrics exposes the scheduling of the node's link. The metrics aren't part of the node's
// own ones, which have to fit into the few kilobytes that some monitors read.
func registerLinkMetrics(m *metrics.Metrics, u *peer.Uplink) {
	gauge := func(name, help string, labels map[string]string, read func() float64) {
		m.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help, ConstLabels: labels}, read))
	}
	for class, name := range classNames {
		labels := map[string]string{"class": name}
		m.LabelledCounter("limpetdock_link_sent_bytes_total", "Bytes handed over to connections to other nodes while the link is scheduled.",
			labels, func() uint64 { return u.State().Sent[class] })
		gauge("limpetdock_link_waiting_bytes", "Bytes that wait for the node's link.", labels, func() float64 { return float64(u.State().Waiting[class]) })
	}
	m.LabelledCounter("limpetdock_link_pieces_total", "Pieces of frames sent.", nil, func() uint64 { return u.State().Pieces })
	m.LabelledCounter("limpetdock_link_dropped_bytes_total", "Bytes dropped while they waited for the link, as their request was cancelled or their connection ended.",
		nil, func() uint64 { return u.State().Dropped })
	m.LabelledCounter("limpetdock_link_refused_total", "Requests with large answers that were refused because too many bytes wait for the link.",
		nil, func() uint64 { return u.State().Refused })
	gauge("limpetdock_link_incomplete_bytes", "Bytes received of frames that aren't complete.", nil, func() float64 { return float64(u.State().IncompleteBytes) })
	gauge("limpetdock_link_backlog_seconds", "Time that the link needs for the bytes that wait.", nil, func() float64 { return u.State().Backlog.Seconds() })
	gauge("limpetdock_link_rate_bytes_per_second", "Rate by which the link is scheduled; 0 is not scheduled.", nil, func() float64 {
		rate, _ := u.Load()
		return rate
	})
}
