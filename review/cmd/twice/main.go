// Case: targets that reject part of their requests, of which some answer twice, late.
package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"os"
	"sync"
	"time"

	"review/lab"
)

const config = `{"version":"r12","services":[{"name":"huvo11a","health_path":"/healthz","max_connections":220},{"name":"pemo42b","health_path":"/healthz","max_connections":220}],
"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_s":3,"idle_timeout_s":15},
"virtual_hosts":[{"host":"hulo84.example","paths":[
{"name":"pedido","prefix":"/xapu221/","kind":"non_idempotent","service":"pemo42b","timeout_s":1.2,"aim_s":0.4,"max_attempts":2,"priority":1}]}]}`

const (
	settle   = 3 * time.Second
	warmUp   = 11 * time.Second
	trouble  = 5 * time.Second
	spells   = 3
	pause    = time.Second
	after    = 2 * time.Second
	clients  = 8
	interval = 160 * time.Millisecond
	work     = 60 * time.Millisecond
	// The largest doses of the site files are 0.55 and 0.03, in spells of 8.5 s and 5 s.
	shedShare, repeatShare = 0.2, 0.03
)

func main() { os.Exit(run()) }

func run() int {
	l, err := lab.New([][2]string{{"rs-poa", "rs"}, {"rs-cxs", "rs"}, {"pr-cwb", "pr"}})
	if err != nil {
		fmt.Println(err)
		return lab.CannotRun
	}
	defer l.Close()
	var mu sync.Mutex
	random := rand.New(rand.NewSource(time.Now().UnixNano()))
	var troubleUntil time.Time
	// due grows by repeatShare with each answer of the target that garbles, and each second answer takes 1. So
	// no more than that share of its answers comes twice.
	due := 0.0
	decide := func(garbles bool) func(*http.Request) lab.Arrival {
		return func(*http.Request) lab.Arrival {
			mu.Lock()
			defer mu.Unlock()
			a := lab.Arrival{Work: work}
			if !time.Now().Before(troubleUntil) {
				return a
			}
			a.Shed = random.Float64() < shedShare
			if !garbles {
				return a
			}
			if due += repeatShare; a.Shed && due >= 1 {
				a.Repeat = true
				due--
			}
			return a
		}
	}
	entry := l.Add(0, "huvo11a", &lab.Target{Slots: 6, Decide: decide(false)})
	servers := []*lab.Machine{
		l.Add(1, "pemo42b", &lab.Target{Slots: 6, Decide: decide(true)}),
		l.Add(2, "pemo42b", &lab.Target{Slots: 6, Decide: decide(false)}),
	}
	if err := l.Start(config); err != nil {
		fmt.Println(err)
		return lab.CannotRun
	}
	time.Sleep(settle)
	end := time.Now().Add(warmUp + spells*(trouble+pause) + after)
	var wait sync.WaitGroup
	var outcomes []lab.Outcome
	for n := range clients {
		wait.Add(1)
		go func() {
			defer wait.Done()
			c := &lab.Client{Addr: entry.Addr(lab.OutboundPort), Host: "hulo84.example", Record: l.Record}
			time.Sleep(time.Duration(n) * interval / clients)
			for i := 0; time.Now().Before(end); i++ {
				o := c.Do(http.MethodPost, "/xapu221/2f", fmt.Sprintf("%04x%012x", n+1, i+1), 2500*time.Millisecond, "one basket")
				mu.Lock()
				outcomes = append(outcomes, o)
				mu.Unlock()
				time.Sleep(max(interval-o.Took, 0))
			}
		}()
	}
	time.Sleep(warmUp)
	for range spells {
		if l.Trouble {
			mu.Lock()
			troubleUntil = time.Now().Add(trouble)
			mu.Unlock()
			l.Record.Printf("disruption begins, for %v", trouble)
		}
		time.Sleep(trouble + pause)
	}
	wait.Wait()
	time.Sleep(time.Second)
	return judge(l, servers, outcomes)
}

// judge checks the rules TWICE and REFUSED.
func judge(l *lab.Lab, servers []*lab.Machine, outcomes []lab.Outcome) int {
	runs := map[string]int{}
	for _, m := range servers {
		for _, r := range m.Target.Runs() {
			runs[r.RequestID]++
		}
	}
	statuses := map[int]int{}
	twice, refused, served := 0, 0, 0
	for _, o := range outcomes {
		statuses[o.Status]++
		if runs[o.ID] > 1 {
			twice++
			l.Record.Printf("TWICE: %s, which isn't idempotent, ran %d times; answered %d", o.ID, runs[o.ID], o.Status)
		}
		if (o.Status == 503 || o.Status == 429) && runs[o.ID] > 0 {
			refused++
			l.Record.Printf("REFUSED: %s was answered %d and ran %d times", o.ID, o.Status, runs[o.ID])
		}
		if o.Status == 200 {
			served++
		}
	}
	summary := fmt.Sprintf("requests %d, answers by status %v, ran more than once %d, refused though run %d", len(outcomes), statuses, twice, refused)
	l.Record.Printf("%s", summary)
	fmt.Println(summary)
	switch {
	case twice+refused > 0:
		return lab.Broken
	case served == 0:
		return lab.CannotRun
	}
	return lab.Held
}
