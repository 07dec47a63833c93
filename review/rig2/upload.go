package main

import (
	"math/rand"
	"net/http"
	"sync"
	"time"
)

const (
	// uploadBytes is the size of a large upload, of the 67108864 that the configuration allows, and
	// usualUploadBytes the mean size on the site's days.
	uploadBytes      = 19 << 20
	usualUploadBytes = 60_000
	// uploadWaves is how often each machine's client uploads once more, and uploadPause the time between.
	uploadWaves = 3
	uploadPause = 4 * time.Second
	// uploadMachines is how many machines there are besides the one of the service that takes the uploads.
	uploadMachines = 13
)

// largeUploads lets one client at each machine upload a large body at the same time.
func largeUploads(rec *record, trouble bool) (int, error) {
	places := []place{{"sc-fln", "sc", uploads}}
	for i := range uploadMachines {
		places = append(places, []place{{"rs-poa", "rs", booking}, {"sc-fln", "sc", catalogue}, {"pr-cwb", "pr", catalogue}}[i%3])
	}
	f, err := startCase(rec, places)
	if err != nil {
		return exitNotRun, err
	}
	defer f.close()
	load := startOrders(16, f.machines[0])
	time.Sleep(2 * time.Second)
	size := usualUploadBytes
	if trouble {
		size = uploadBytes
	}
	body := make([]byte, size)
	_, _ = rand.New(rand.NewSource(1)).Read(body)
	for range uploadWaves {
		var wave sync.WaitGroup
		for _, m := range f.machines {
			wave.Go(func() {
				c := &client{m: m}
				defer c.close()
				c.send(http.MethodPost, "/fiti832/ti23/2f", body, 2500*time.Millisecond)
			})
		}
		wave.Wait()
		time.Sleep(uploadPause)
	}
	load.end()
	return f.judgeLost(load), nil
}
