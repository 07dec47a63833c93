package cli

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"github.com/limpetdock/limpetdock/internal/admin"
)

const statusLong = "Asks many nodes at once and compares them: revisions in force and their spread, versions, drains, suspects. " +
	"Ends with 3 if a node doesn't answer or doesn't serve, has refused a configuration, or if the nodes aren't all under " +
	"the same configuration. FILE has a header line and columns parted by tabs; the one named 'admin address' is used." +
	"\n\nExamples:\n  limpetdock status 127.10.1.1:7400 127.10.2.1:7400\n  limpetdock status --nodes build/demo/nodes.tsv\n" +
	"  limpetdock status --json --nodes build/demo/nodes.tsv"

// maxConcurrentFetches is the maximum number of concurrent requests to nodes.
const maxConcurrentFetches = 32

type statusCommand struct {
	command
	Nodes string `long:"nodes" value-name:"FILE" description:"table of nodes, as the demo writes it"`
	JSON  bool   `long:"json" description:"print as JSON"`
	Args  struct {
		Nodes []string `positional-arg-name:"NODE" description:"address of a node's administration API, IP:PORT"`
	} `positional-args:"true"`
}

// Report is the JSON output of the status command.
type Report struct {
	Nodes []NodeReport `json:"nodes"`
	// Revisions is the number of nodes at each configuration revision. Spread is the
	// difference between the highest and the lowest revision if configurations differ.
	Revisions map[uint64]int `json:"revisions"`
	Spread    uint64         `json:"revision_spread"`
	// Builds is the number of nodes running each version of the program.
	Builds map[string]int `json:"builds"`
	// Findings lists what needs attention, one line each.
	Findings []string `json:"found"`
}

// NodeReport is the status of one node.
type NodeReport struct {
	Node   string        `json:"node"`
	Status *admin.Status `json:"status,omitempty"`
	// Error is the reason why the status couldn't be fetched.
	Error string `json:"error,omitempty"`
}

func (c *statusCommand) run(out io.Writer) error {
	nodes := c.Args.Nodes
	if c.Nodes != "" {
		listed, err := readNodes(c.Nodes)
		if err != nil {
			return err
		}
		nodes = append(nodes, listed...)
	}
	if len(nodes) == 0 {
		return usagef("a NODE or --nodes FILE is needed")
	}
	for _, n := range nodes {
		if err := checkNodeAddress(n); err != nil {
			return err
		}
	}
	r := compare(fetchStatuses(nodes))
	if err := c.print(out, r); err != nil {
		return err
	}
	if len(r.Findings) > 0 {
		return errFindings
	}
	return nil
}

const adminColumn = "admin address"

// readNodes returns the administration addresses in a table of nodes.
func readNodes(file string) ([]string, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, eris.Errorf("%s can't be read: %v", file, fileCause(err))
	}
	defer func() { _ = f.Close() }()
	lines := bufio.NewScanner(f)
	lines.Scan()
	at := slices.Index(strings.Split(lines.Text(), "\t"), adminColumn)
	if at < 0 {
		return nil, eris.Errorf("%s has no column %q", file, adminColumn)
	}
	var nodes []string
	for lines.Scan() {
		cells := strings.Split(lines.Text(), "\t")
		if len(cells) <= at {
			return nil, eris.Errorf("%s: a line is too short: %q", file, lines.Text())
		}
		nodes = append(nodes, cells[at])
	}
	if err := lines.Err(); err != nil {
		return nil, eris.Errorf("%s can't be read: %v", file, fileCause(err))
	}
	if len(nodes) == 0 {
		return nil, eris.Errorf("%s lists no node", file)
	}
	return nodes, nil
}

// fetchStatuses fetches the status of every node, up to maxConcurrentFetches at
// once. It returns the rows in the order of nodes.
func fetchStatuses(nodes []string) []NodeReport {
	rows := make([]NodeReport, len(nodes))
	slots := make(chan struct{}, maxConcurrentFetches)
	var wg sync.WaitGroup
	for i, node := range nodes {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			rows[i].Node = node
			s, err := fetchJSON[admin.Status](node, admin.PathStatus)
			if err != nil {
				rows[i].Error = err.Error()
				return
			}
			rows[i].Status = &s
		})
	}
	wg.Wait()
	return rows
}

func compare(rows []NodeReport) Report {
	r := Report{Nodes: rows, Revisions: map[uint64]int{}, Builds: map[string]int{}, Findings: []string{}}
	digests := map[string]bool{}
	for _, row := range rows {
		s := row.Status
		if s == nil {
			r.Findings = append(r.Findings, row.Error)
			continue
		}
		r.Revisions[s.Config.Revision]++
		r.Builds[s.Build.String()]++
		digests[s.Config.Digest] = true
		if !s.Serving {
			r.Findings = append(r.Findings, s.VM+" doesn't serve")
		}
		if s.Refused != "" {
			r.Findings = append(r.Findings, s.VM+" refused a configuration: "+s.Refused)
		}
	}
	if len(digests) > 1 {
		revisions := slices.Sorted(maps.Keys(r.Revisions))
		r.Spread = revisions[len(revisions)-1] - revisions[0]
		r.Findings = append(r.Findings, fmt.Sprintf("%d configurations are in force, %d revisions apart", len(digests), r.Spread))
	}
	return r
}

func (c *statusCommand) print(out io.Writer, r Report) error {
	if c.JSON {
		return printJSON(out, r)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "VM\tZONE\tCONFIGURATION\tIN FORCE FOR\tSTATE\tSLOTS\tWAITING\tLEAVING PEERS\tSUSPECTS")
	for _, row := range r.Nodes {
		if row.Status == nil {
			_, _ = fmt.Fprintf(w, "?\t\t\t\t%s\n", row.Error)
			continue
		}
		printStatus(w, row.Status)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	return printSummary(out, r)
}

func printStatus(w io.Writer, s *admin.Status) {
	state := "serving"
	switch {
	case !s.Serving:
		state = "not ready"
	case s.Leaving:
		state = "leaving"
	}
	_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d/%d\t%d\t%s\t%s\n", s.VM, s.Zone, s.Config, s.InForceFor.Round(time.Second),
		state, s.Load.InUse, s.Load.Slots, s.Load.Waiting, joinOrDash(s.Leavers), joinOrDash(s.Suspects))
}

func joinOrDash(names []string) string {
	if len(names) == 0 {
		return "-"
	}
	return strings.Join(names, ",")
}

func printSummary(out io.Writer, r Report) error {
	_, _ = fmt.Fprintf(out, "\n%d nodes; revision spread %d\n", len(r.Nodes), r.Spread)
	for _, rev := range slices.Sorted(maps.Keys(r.Revisions)) {
		_, _ = fmt.Fprintf(out, "revision %d: %d nodes\n", rev, r.Revisions[rev])
	}
	for _, build := range slices.Sorted(maps.Keys(r.Builds)) {
		_, _ = fmt.Fprintf(out, "version %s: %d nodes\n", build, r.Builds[build])
	}
	for _, f := range r.Findings {
		_, _ = fmt.Fprintf(out, "look at: %s\n", f)
	}
	return nil
}
