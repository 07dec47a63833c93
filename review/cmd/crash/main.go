// Case: a request that crashes each target that runs it, after some seconds of work, comes again and again.
package main

import (
	"fmt"
	"net/http"
	"os"
	"sort"
	"sync"
	"time"

	"review/lab"
)

const config = `{"version":"r12","services":[{"name":"konto","health_path":"/healthz","max_connections":860},{"name":"verlauf","health_path":"/healthz","max_connections":860}],
"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_s":3,"idle_timeout_s":15},
"virtual_hosts":[{"host":"hulo84.example","paths":[
{"name":"history-report","prefix":"/lepu270/","kind":"idempotent","service":"verlauf","timeout_s":5,"aim_s":2,"max_attempts":2,"priority":2},
{"name":"history-entry","prefix":"/xapu221/","kind":"non_idempotent","service":"verlauf","timeout_s":5,"aim_s":2,"max_attempts":2,"priority":1}]}]}`

const (
	crashingPath = "/lepu270/2f"
	settle       = 3 * time.Second
	calm         = 4 * time.Second
	length       = 36 * time.Second
	// crashAfter is how long a target works on the request before it crashes, and restart after which time the
	// target is back.
	crashAfter = 2500 * time.Millisecond
	restart    = 3 * time.Second
	// work is how long other requests take.
	work = 500 * time.Millisecond
	// pause is how long a client waits before it sends such a request again.
	pause = 500 * time.Millisecond
	limit = 10 * time.Second
	// entryClients is the number of clients that send other requests, one each in entryPause.
	entryClients = 6
	entryPause   = 600 * time.Millisecond
	// stableWindow and maxRetries are the bounds of the pages.
	stableWindow = 3 * time.Second
	maxRetries   = 3
)

func main() { os.Exit(run()) }

func run() int {
	l, err := lab.New([][2]string{{"obb-a", "obb"}, {"obb-b", "obb"}, {"ndb-a", "ndb"}})
	if err != nil {
		fmt.Println(err)
		return lab.CannotRun
	}
	defer l.Close()
	l.Bounds["budget_slack"] = "164"
	decide := func(r *http.Request) lab.Arrival {
		a := lab.Arrival{Work: work}
		if l.Trouble && r.URL.Path == crashingPath {
			a.Crash = crashAfter
		}
		return a
	}
	var entries, servers []*lab.Machine
	for zone := range 2 {
		entries = append(entries, l.Add(zone, "konto", &lab.Target{Slots: 12, Decide: decide}))
	}
	for zone := range l.Zones {
		t := &lab.Target{Slots: 12, Decide: decide}
		m := l.Add(zone, "verlauf", t)
		t.Crashed = func() {
			time.Sleep(restart)
			if err := t.Start(); err != nil {
				l.Record.Printf("target %s can't start again: %v", t.ID, err)
				return
			}
			l.Store.Put("servers/"+m.TargetID, t.Entry(m.Zone, "ready"))
			l.Record.Printf("target %s is back", t.ID)
		}
		servers = append(servers, m)
	}
	if err := l.Start(config); err != nil {
		fmt.Println(err)
		return lab.CannotRun
	}
	time.Sleep(settle)
	var mu sync.Mutex
	var wait sync.WaitGroup
	statuses, crashing := map[int]int{}, map[int]int{}
	end := time.Now().Add(calm + length)
	for n := range entryClients {
		wait.Add(1)
		go func() {
			defer wait.Done()
			c := &lab.Client{Addr: entries[n%len(entries)].Addr(lab.OutboundPort), Host: "hulo84.example", Record: l.Record}
			time.Sleep(time.Duration(n) * entryPause / entryClients)
			for i := 0; time.Now().Before(end); i++ {
				o := c.Do(http.MethodPost, "/xapu221/2f", fmt.Sprintf("%04x%012x", 0x100+n, i+1), limit, "an entry")
				mu.Lock()
				statuses[o.Status]++
				mu.Unlock()
				time.Sleep(max(entryPause-o.Took, 0))
			}
		}()
	}
	// The crashing request comes again after its answer, at any machine of the same service.
	wait.Add(1)
	go func() {
		defer wait.Done()
		time.Sleep(calm)
		for i := 0; time.Now().Before(end); i++ {
			c := &lab.Client{Addr: entries[i%len(entries)].Addr(lab.OutboundPort), Host: "hulo84.example", Record: l.Record}
			o := c.Do(http.MethodGet, crashingPath, fmt.Sprintf("0200%012x", i+1), limit, "")
			mu.Lock()
			crashing[o.Status]++
			mu.Unlock()
			c.Close()
			time.Sleep(pause)
		}
	}()
	wait.Wait()
	time.Sleep(time.Second)
	return judge(l, servers, statuses, crashing)
}

// judge checks the rule BUDGET for requests that crash targets.
func judge(l *lab.Lab, servers []*lab.Machine, statuses, crashing map[int]int) int {
	var runs []lab.Run
	others := 0
	for _, m := range servers {
		for _, r := range m.Target.Runs() {
			if r.URI == crashingPath {
				runs = append(runs, r)
			} else {
				others++
			}
		}
	}
	sort.Slice(runs, func(i, j int) bool { return runs[i].At.Before(runs[j].At) })
	late := 0
	if l.Trouble && len(runs) > maxRetries {
		third := runs[maxRetries-1].At.Add(crashAfter)
		for n, r := range runs {
			after := r.At.Sub(third)
			l.Record.Printf("run %d of the crashing request: %s at target %s, begun %.3f s after the third crash", n+1, r.RequestID, r.Target, after.Seconds())
			if after > stableWindow {
				late++
			}
		}
	}
	summary := fmt.Sprintf("runs of the crashing request %d, of these later than %v after the third crash %d (%d allowed), its answers by status %v; other requests run %d, answered by status %v",
		len(runs), stableWindow, late, maxRetries, crashing, others, statuses)
	l.Record.Printf("%s", summary)
	fmt.Println(summary)
	switch {
	case late > maxRetries:
		return lab.Broken
	case others == 0:
		return lab.CannotRun
	}
	return lab.Held
}
