package node

import (
	"bytes"
	"context"
	"os"
	"time"

	"go.uber.org/fx"

	"github.com/limpetdock/limpetdock/internal/decision"
	"github.com/limpetdock/limpetdock/internal/mesh/entry"
	"github.com/limpetdock/limpetdock/internal/mesh/guard"
	"github.com/limpetdock/limpetdock/internal/mesh/settings"
)

// lookEvery is the pause between looks at the settings file, which may change
// without a signal.
const lookEvery = 2 * time.Second

// tunables are the parts that take changed settings over.
type tunables struct {
	fx.In
	Entry *entry.Entry
	Guard *guard.Guard
}

// watcher takes over the settings that may change while a node runs. Others need
// a restart; a file with anything wrong changes nothing.
type watcher struct {
	path  string
	parts tunables
	log   *decision.Log
	// content is the file as last looked at.
	content []byte
	inForce settings.Settings
}

func newWatcher(path string, s *settings.Settings, t tunables, log *decision.Log) *watcher {
	content, err := os.ReadFile(path)
	if err != nil {
		// The next look reads it again, and finds it changed.
		log.Trouble("settings can't be read", "error", err.Error())
	}
	return &watcher{path: path, parts: t, log: log, content: content, inForce: *s}
}

// run looks at the file whenever hup tells, and every now and then, until ctx ends.
func (w *watcher) run(ctx context.Context, hup <-chan os.Signal) {
	ticker := time.NewTicker(lookEvery)
	defer ticker.Stop()
	for {
		signalled := false
		select {
		case <-hup:
			signalled = true
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		w.look(signalled)
	}
}

func (w *watcher) look(signalled bool) {
	content, err := os.ReadFile(w.path)
	if err != nil {
		if signalled {
			w.log.Trouble("settings kept, as the file can't be read", "error", err.Error())
		}
		return
	}
	if bytes.Equal(content, w.content) {
		if signalled {
			w.log.Change("settings unchanged")
		}
		return
	}
	w.content = content
	next, err := settings.Parse(w.path, content)
	if err != nil {
		w.log.Trouble("settings refused, the former ones stay in force", "error", err.Error())
		return
	}
	w.parts.Entry.SetPrices(next.Tunable.Prices)
	w.parts.Guard.SetFill(next.Tunable.Fill)
	restart := next.Here != w.inForce.Here || next.Callers != w.inForce.Callers || next.Peers != w.inForce.Peers ||
		next.Backend != w.inForce.Backend || next.Store != w.inForce.Store
	w.inForce.Tunable = next.Tunable
	w.log.Change("settings reloaded", "fill", next.Tunable.Fill, "zone_price", next.Tunable.Prices.ZonePerKB.String(),
		"region_price", next.Tunable.Prices.RegionPerKB.String(), "other_changes_need_a_restart", restart)
}
