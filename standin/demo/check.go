package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/limpetdock/limpetdock/examples/deployments"
	"github.com/limpetdock/limpetdock/fleet"
	"github.com/limpetdock/limpetdock/standin/deploy"
)

// call is one kind of request in the load of the check.
type call struct {
	service, method, path string
	body                  int
	once                  bool
}

// deployment is a fleet that the demo can start and the load of its check.
type deployment struct {
	declare func(revision uint64) fleet.Fleet
	calls   []call
}

var deploymentsByName = map[string]deployment{
	"cestaviva": {deployments.CestaViva, []call{
		{"catalogue", "GET", "/catalogue/week", 0, false},
		{"orders", "POST", "/stock/check", 100, false},
		{"orders", "POST", "/orders/confirm", 300, true},
		{"depot", "PUT", "/uploads/plan", 200_000, false},
		{"depot", "POST", "/payouts/run", 300, true},
	}},
	"eisbruecke": {deployments.Eisbruecke, []call{
		{"manifest", "GET", "/board", 0, false},
		{"cargo", "POST", "/slots/status", 100, false},
		{"cargo", "POST", "/bookings/crate", 300, true},
		{"ground", "PUT", "/uploads/chart", 200_000, false},
		{"ground", "POST", "/airframes/status", 100, false},
		{"ground", "POST", "/fuel-drops/confirm", 300, true},
	}},
}

// tally collects the results of the check. answeredOnce holds the ids of
// answered at-most-once requests.
type tally struct {
	mu           sync.Mutex
	counts       map[string]int
	wrong        []string
	answeredOnce map[string]bool
}

func (t *tally) count(c call, what string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts[fmt.Sprintf("%-10s %-4s %-16s %s", c.service, c.method, c.path, what)]++
}

func (t *tally) wrongf(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.wrong = append(t.wrong, fmt.Sprintf(format, args...))
}

// callersAtOnce is the number of concurrent callers. Each sends its next request
// after the answer to the last.
const callersAtOnce = 24

// check sends a mixed load to all nodes and compares the answers with the ledgers.
func check(ctx context.Context, d *deploy.Deployment, calls []call, length time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	t := &tally{counts: map[string]int{}, answeredOnce: map[string]bool{}}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callersAtOnce}}
	var wg sync.WaitGroup
	for i := range callersAtOnce {
		wg.Go(func() {
			rnd := rand.New(rand.NewPCG(1, uint64(i)))
			for ctx.Err() == nil {
				sendOne(d, calls, client, rnd, t)
			}
		})
	}
	wg.Wait()
	client.CloseIdleConnections()
	checkLedgers(d, t)
	return t.report()
}

func sendOne(d *deploy.Deployment, calls []call, client *http.Client, rnd *rand.Rand, t *tally) {
	c := calls[rnd.IntN(len(calls))]
	p := d.VMs[rnd.IntN(len(d.VMs))]
	body := make([]byte, c.body)
	for i := range body {
		body[i] = byte(rnd.Uint32())
	}
	id := uuid.NewString()
	req, err := http.NewRequest(c.method, "http://"+p.Callers()+c.path, bytes.NewReader(body))
	if err != nil {
		t.wrongf("%v", err)
		return
	}
	req.Header.Set("Limpetdock-Service", c.service)
	req.Header.Set("X-Request-Id", id)
	resp, err := client.Do(req)
	if err != nil {
		t.wrongf("%s %s at %s: %v", c.service, c.path, p.Name, err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		t.wrongf("%s %s at %s: answer cut: %v", c.service, c.path, p.Name, err)
		return
	}
	if k := resp.Header.Get("Limpetdock-Kind"); k != "" {
		t.count(c, k)
		t.wrongf("%s %s at %s: %s", c.service, c.path, p.Name, got)
		return
	}
	t.count(c, resp.Status)
	if c.once {
		t.mu.Lock()
		t.answeredOnce[id] = true
		t.mu.Unlock()
	}
	if resp.Header.Get("X-Request-Id") != id || c.body > 0 && !bytes.Equal(got, body) {
		t.wrongf("%s %s at %s: not the answer to this request", c.service, c.path, p.Name)
	}
}

// checkLedgers reports answered at-most-once requests that didn't run exactly once.
func checkLedgers(d *deploy.Deployment, t *tally) {
	starts := map[string]int{}
	for _, p := range d.VMs {
		text, err := os.ReadFile(d.Ledger(p.Name))
		if err != nil {
			t.wrongf("%v", err)
			continue
		}
		for line := range strings.SplitSeq(string(text), "\n") {
			if !strings.Contains(line, `"event":"start"`) {
				continue
			}
			_, rest, _ := strings.Cut(line, `"id":"`)
			id, _, _ := strings.Cut(rest, `"`)
			starts[id]++
		}
	}
	for id := range t.answeredOnce {
		if starts[id] != 1 {
			t.wrongf("at-most-once request %s was answered and ran %d times", id, starts[id])
		}
	}
}

func (t *tally) report() error {
	rows := make([]string, 0, len(t.counts))
	total := 0
	for row, n := range t.counts {
		rows = append(rows, fmt.Sprintf("%s: %d", row, n))
		total += n
	}
	slices.Sort(rows)
	for _, row := range rows {
		fmt.Println(row)
	}
	fmt.Printf("demo check: %d answered, %d wrong\n", total, len(t.wrong))
	const shown = 10
	for _, w := range t.wrong[:min(shown, len(t.wrong))] {
		fmt.Println("wrong:", w)
	}
	if len(t.wrong) > 0 || total == 0 {
		return errors.New("the check failed")
	}
	return nil
}
