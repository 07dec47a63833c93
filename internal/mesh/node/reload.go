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

// pollInterval is the pause between checks of the settings file, which may change without a
// signal.
const pollInterval = 2 * time.Second

// tunables are the components that accept changed settings.
type tunables struct {
	fx.In
	Entry *entry.Entry
	Guard *guard.Guard
}

// settingsWatcher applies settings that may change while a node runs. Others require a
// restart. A file with any error changes nothing.
type settingsWatcher struct {
	path     string
	tunables tunables
	log      *decision.Log
	// content is the file as last read.
	content []byte
	current settings.Settings
}

func newSettingsWatcher(path string, s *settings.Settings, t tunables, log *decision.Log) *settingsWatcher {
	content, err := os.ReadFile(path)
	if err != nil {
		// The next check reads it again and finds it changed.
		log.Warn("cannot read settings", "error", err.Error())
	}
	return &settingsWatcher{path: path, tunables: t, log: log, content: content, current: *s}
}

// run checks the file on each signal from hup and every pollInterval, until ctx ends.
func (w *settingsWatcher) run(ctx context.Context, hup <-chan os.Signal) {
	ticker := time.NewTicker(pollInterval)
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
		w.check(signalled)
	}
}

func (w *settingsWatcher) check(signalled bool) {
	content, err := os.ReadFile(w.path)
	if err != nil {
		if signalled {
			w.log.Warn("settings unchanged: cannot read the file", "error", err.Error())
		}
		return
	}
	if bytes.Equal(content, w.content) {
		if signalled {
			w.log.Event("settings unchanged")
		}
		return
	}
	w.content = content
	next, err := settings.Parse(w.path, content)
	if err != nil {
		w.log.Warn("settings refused, the previous ones stay in force", "error", err.Error())
		return
	}
	w.tunables.Entry.SetPrices(next.Tunable.Prices)
	w.tunables.Guard.SetSlotShare(next.Tunable.Fill)
	restart := next.Here != w.current.Here || next.Callers != w.current.Callers || next.Peers != w.current.Peers ||
		next.Backend != w.current.Backend || next.Store != w.current.Store
	w.current.Tunable = next.Tunable
	w.log.Event("settings reloaded", "fill", next.Tunable.Fill, "zone_price", next.Tunable.Prices.ZonePerKB.String(),
		"region_price", next.Tunable.Prices.RegionPerKB.String(), "other_changes_need_a_restart", restart)
}
