package deploy

import (
	"bytes"
	"encoding/json"
	"os"
)

// LedgerEntry is one line of a backend server stand-in's ledger.
type LedgerEntry struct {
	Event   string `json:"event"`
	ID      string `json:"id"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Outcome string `json:"outcome"`
}

// LedgerEntries reads the ledger of a VM. It skips lines that can't be parsed,
// such as a last line that is only partly written.
func (d *Deployment) LedgerEntries(vm string) ([]LedgerEntry, error) {
	text, err := os.ReadFile(d.Ledger(vm))
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var runs []LedgerEntry
	for line := range bytes.Lines(text) {
		var r LedgerEntry
		if json.Unmarshal(line, &r) == nil {
			runs = append(runs, r)
		}
	}
	return runs, nil
}

// StartCounts returns how often each request id was started, over all ledgers.
func (d *Deployment) StartCounts() (map[string]int, error) {
	starts := map[string]int{}
	for _, p := range d.VMs {
		runs, err := d.LedgerEntries(p.Name)
		if err != nil {
			return nil, err
		}
		for _, r := range runs {
			if r.Event == "start" && r.ID != "" {
				starts[r.ID]++
			}
		}
	}
	return starts, nil
}
