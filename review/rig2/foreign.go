package main

import (
	"fmt"
	"math/rand"
	"time"
)

const (
	// foreignEntries is how many entries another writer leaves among the registrations, and foreignBytes the
	// size of each: the platform's value_bytes.
	foreignEntries = 100
	foreignBytes   = 1 << 20
	// foreignPause makes 50 writes a second, of the 400 that the platform takes.
	foreignPause = 20 * time.Millisecond
	// foreignWatch is how long the deployment is watched after the last entry.
	foreignWatch = 30 * time.Second
)

// unreadableEntries lets another writer put entries into the store which can't be read.
func unreadableEntries(rec *record, trouble bool) (int, error) {
	f, err := startCase(rec, []place{
		{"rs-poa", "rs", catalogue},
		{"rs-poa", "rs", booking},
		{"sc-fln", "sc", catalogue},
		{"sc-fln", "sc", booking},
		{"pr-cwb", "pr", uploads},
		{"pr-cwb", "pr", booking},
	})
	if err != nil {
		return exitNotRun, err
	}
	defer f.close()
	load := startOrders(2, f.machines...)
	time.Sleep(2 * time.Second)
	if trouble {
		random := rand.New(rand.NewSource(1))
		for i := range foreignEntries {
			value := make([]byte, foreignBytes)
			_, _ = random.Read(value)
			f.store.put(fmt.Sprintf("servers/other-%d", i), value)
			time.Sleep(foreignPause)
		}
		rec.say("%d entries of %d bytes that can't be read are in the store", foreignEntries, foreignBytes)
	}
	time.Sleep(foreignWatch)
	load.end()
	return f.judgeLost(load), nil
}
