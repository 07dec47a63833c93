// Case: a target leaves without reporting it, so that its entry is removed, while the store cuts watches that
// wait.
package main

import (
	"fmt"
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
	settle = 6 * time.Second
	// drain is the bound of the pages, drain_s.
	drain = 2 * time.Second
	// servesOn is how long the target serves on after its entry was removed: drain_s and some seconds.
	servesOn = 8 * time.Second
	after    = 2 * time.Second
	// syncTime is how long it takes until all watches wait.
	syncTime = 3 * time.Second
	clients  = 12
	interval = 300 * time.Millisecond
	work     = 120 * time.Millisecond
	// cutAfter is how long a watch waits before it is cut.
	cutAfter = time.Second
	// cutFor is how long watches are cut before the target leaves.
	cutFor = 4 * time.Second
	// backoff is the longest pause of a node after a call that failed.
	backoff = 150 * time.Millisecond
)

func main() { os.Exit(run()) }

func run() int {
	l, err := lab.New([][2]string{{"rs-poa", "rs"}, {"rs-cxs", "rs"}, {"rs-pel", "rs"}})
	if err != nil {
		fmt.Println(err)
		return lab.CannotRun
	}
	defer l.Close()
	decide := func(*http.Request) lab.Arrival { return lab.Arrival{Work: work} }
	entry := l.Add(0, "huvo11a", &lab.Target{Slots: 6, Decide: decide})
	leaves := l.Add(1, "pemo42b", &lab.Target{Slots: 6, Decide: decide})
	stays := l.Add(2, "pemo42b", &lab.Target{Slots: 6, Decide: decide})
	if err := l.Start(config); err != nil {
		fmt.Println(err)
		return lab.CannotRun
	}
	time.Sleep(settle)
	var mu sync.Mutex
	var wait sync.WaitGroup
	var outcomes []lab.Outcome
	end := time.Now().Add(settle + cutFor + syncTime + servesOn + after)
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
	time.Sleep(settle)
	key := "servers/" + leaves.TargetID
	var rev uint64
	if l.Trouble {
		l.Store.SetCutAfter(cutAfter)
		time.Sleep(cutFor)
		awaitWatches(l)
		l.Store.CutWatches()
		time.Sleep(2 * backoff)
		awaitWatches(l)
		time.Sleep(backoff)
		rev = l.Store.CutWatchesAndRemove(key)
	} else {
		rev = l.Store.Put(key, nil)
	}
	acked := time.Now()
	l.Record.Printf("the entry of target %s is removed, acknowledged as revision %d", leaves.TargetID, rev)
	time.Sleep(servesOn)
	l.Record.Printf("target %s ends", leaves.TargetID)
	leaves.Target.Stop()
	wait.Wait()
	return judge(l, leaves, stays, acked, outcomes)
}

// awaitWatches waits until the watches of all nodes wait.
func awaitWatches(l *lab.Lab) {
	for until := time.Now().Add(10 * time.Second); l.Store.Waiting() < len(l.Machines) && time.Now().Before(until); {
		time.Sleep(10 * time.Millisecond)
	}
}

// judge checks the rule DRAIN: no request reaches the target later than drain_s after the ack.
func judge(l *lab.Lab, leaves, stays *lab.Machine, acked time.Time, outcomes []lab.Outcome) int {
	before, late, last := 0, 0, time.Duration(0)
	for _, r := range leaves.Target.Runs() {
		if r.At.Before(acked) {
			before++
		}
		if at := r.At.Sub(acked); at > drain {
			late++
			last = at
			l.Record.Printf("DRAIN: %s reached target %s %.3f s after the ack", r.RequestID, r.Target, at.Seconds())
		}
	}
	statuses := map[int]int{}
	for _, o := range outcomes {
		statuses[o.Status]++
	}
	summary := fmt.Sprintf("requests %d, answers by status %v; at the leaving target: %d before the ack, %d later than %v after it, the last at %v; at the other: %d",
		len(outcomes), statuses, before, late, drain, last.Round(time.Millisecond), len(stays.Target.Runs()))
	l.Record.Printf("%s", summary)
	fmt.Println(summary)
	switch {
	case late > 0:
		return lab.Broken
	case before == 0:
		return lab.CannotRun
	}
	return lab.Held
}
