package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/limpetdock/limpetdock/standin/deploy"
)

// Names of the node metrics that are evaluated.
const (
	metricRequests        = "limpetdock_requests_total"
	metricHops            = "limpetdock_hops_total"
	metricHedges          = "limpetdock_hedges_total"
	metricHedgesWon       = "limpetdock_hedges_won_total"
	metricRevision        = "limpetdock_config_revision"
	metricMeasureRequests = "limpetdock_measuring_requests_total"
	metricMeasureBytes    = "limpetdock_measuring_bytes_total"
	metricMeasureCross    = "limpetdock_measuring_cross_region_bytes_total"
	metricControlSent     = "limpetdock_control_sent_bytes_total"
	metricPlatformCalls   = "limpetdock_platform_calls_total"
	metricCPU             = "process_cpu_seconds_total"
	metricRSS             = "process_resident_memory_bytes"
)

// sample maps metric names to values of one node or the sum over nodes. Values
// are summed over all labels.
type sample map[string]float64

// scrape reads a node's metrics.
func scrape(ctx context.Context, p deploy.VM) (sample, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.Admin()+"/metrics", nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	s := sample{}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		name, value, ok := parseMetric(lines.Text())
		if ok {
			s[name] += value
		}
	}
	return s, lines.Err()
}

// parseMetric parses a line of the Prometheus text format and drops its labels.
func parseMetric(line string) (name string, value float64, ok bool) {
	if strings.HasPrefix(line, "#") {
		return "", 0, false
	}
	at := strings.LastIndexByte(line, ' ')
	if at < 0 {
		return "", 0, false
	}
	name, _, _ = strings.Cut(line[:at], "{")
	value, err := strconv.ParseFloat(line[at+1:], 64)
	return strings.TrimSpace(name), value, err == nil
}

// scrapeAll reads the metrics of all nodes. It retries for nodes that are being
// restarted.
func scrapeAll(ctx context.Context, d *deploy.Deployment) ([]sample, error) {
	const tries, pause = 100, 50 * time.Millisecond
	all := make([]sample, len(d.VMs))
	for i, p := range d.VMs {
		var err error
		for range tries {
			if all[i], err = scrape(ctx, p); err == nil || ctx.Err() != nil {
				break
			}
			time.Sleep(pause)
		}
		if err != nil {
			return nil, err
		}
	}
	return all, nil
}

// sum returns the sum of the nodes' metrics.
func sum(all []sample) sample {
	total := sample{}
	for _, s := range all {
		for name, v := range s {
			total[name] += v
		}
	}
	return total
}

// increase returns the increase of the counters summed over all nodes. A counter
// that is lower than before was reset by a restart and counts from 0.
func increase(before, after []sample) sample {
	total := sample{}
	for i, s := range after {
		for name, v := range s {
			if v >= before[i][name] {
				v -= before[i][name]
			}
			total[name] += v
		}
	}
	return total
}

// measureDuring returns the increase of the counters while f ran, and the values
// after it.
func measureDuring(ctx context.Context, d *deploy.Deployment, f func() error) (diff, after sample, err error) {
	before, err := scrapeAll(ctx, d)
	if err != nil {
		return nil, nil, err
	}
	if err := f(); err != nil {
		return nil, nil, err
	}
	now, err := scrapeAll(ctx, d)
	if err != nil {
		return nil, nil, err
	}
	return increase(before, now), sum(now), nil
}

// awaitRevision waits until a revision is in force at every node.
func awaitRevision(ctx context.Context, d *deploy.Deployment, revision uint64) error {
	const limit, pause = 20 * time.Second, 50 * time.Millisecond
	end := time.Now().Add(limit)
	for _, p := range d.VMs {
		for {
			s, err := scrape(ctx, p)
			if err == nil && s[metricRevision] == float64(revision) {
				break
			}
			if time.Now().After(end) || ctx.Err() != nil {
				return fmt.Errorf("%s doesn't have revision %d in force", p.Name, revision)
			}
			time.Sleep(pause)
		}
	}
	return nil
}

// crossRegion returns the number of bytes sent between regions so far.
func crossRegion(ctx context.Context, d *deploy.Deployment) (float64, error) {
	region := map[string]string{}
	for _, z := range d.Fleet().Zones {
		region[z.Name] = z.Region
	}
	links, err := d.Bytes(ctx)
	sum := 0.0
	for _, l := range links {
		if region[l.From] != region[l.To] {
			sum += float64(l.Bytes)
		}
	}
	return sum, err
}
