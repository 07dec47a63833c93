package cli

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"github.com/limpetdock/limpetdock/internal/admin"
	"github.com/limpetdock/limpetdock/internal/wire"
)

const dumpLong = "Shows every table of a node's state as JSON, or the main ones as tables." +
	"\n\nExamples:\n  limpetdock dump 127.10.1.1:7400\n  limpetdock dump --table 127.10.1.1:7400"

type dumpCommand struct {
	command
	Table bool `long:"table" description:"print tables instead of JSON"`
	Args  struct {
		Node string `positional-arg-name:"NODE" description:"address of the node's administration API, IP:PORT" required:"true"`
	} `positional-args:"true" required:"true"`
}

func (c *dumpCommand) run(out io.Writer) error {
	text, err := fetch(c.Args.Node, admin.PathDump)
	if err != nil {
		return err
	}
	if c.Table {
		return dumpTables(out, c.Args.Node, text)
	}
	var pretty bytes.Buffer
	if err := json.Indent(&pretty, text, "", "  "); err != nil {
		return eris.Errorf("%s didn't answer as a node does", c.Args.Node)
	}
	pretty.WriteByte('\n')
	_, err = pretty.WriteTo(out)
	return err
}

func dumpTables(out io.Writer, node string, text []byte) error {
	var d admin.Dump
	if err := json.Unmarshal(text, &d); err != nil {
		return eris.Errorf("%s didn't answer as a node does", node)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	self, conf := d.Control.Self, d.Control.Config
	_, _ = fmt.Fprintf(w, "vm\t%s\nzone\t%s (%s)\nincarnation\t%x\nleaving\t%v\n", self.VM, self.Zone, self.Region, self.Incarnation, d.Control.Leaving)
	_, _ = fmt.Fprintf(w, "configuration\t%s, in force for %s\n", conf.Version, conf.InForceFor.Round(time.Second))
	_, _ = fmt.Fprintf(w, "slots\t%d of %d in use, %d waiting\n", d.Load.InUse, d.Load.Slots, d.Load.Waiting)
	_, _ = fmt.Fprintf(w, "attempts\t%d records, %d bytes of answers\n", d.Attempts.Records, d.Attempts.StoredBytes)
	_, _ = fmt.Fprintf(w, "suspect requests\t%d\n\n", len(d.Control.Suspects))
	printMembers(w, d)
	_, _ = fmt.Fprintln(w)
	targets := slices.SortedFunc(maps.Values(d.Targets), func(a, b admin.TargetState) int { return cmp.Compare(a.VM, b.VM) })
	printTargets(w, targets)
	return w.Flush()
}

func printMembers(w io.Writer, d admin.Dump) {
	_, _ = fmt.Fprintln(w, "MEMBER\tLISTED\tSTATE\tINCARNATION\tHEARD\tFAILURES")
	rows := d.Control.Members
	for _, name := range slices.Sorted(maps.Keys(rows)) {
		m := rows[name]
		listed := "no"
		if vm, ok := d.Control.VMs.Rows[name]; ok {
			listed = string(vm.State)
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%x\t%s ago\t%d\n", name, listed, memberStateName(m.State), m.Incarnation,
			m.LastSeenAgo.Round(time.Millisecond), m.Failures)
	}
}

func memberStateName(s wire.MemberState) string {
	switch s {
	case wire.MemberAlive:
		return "alive"
	case wire.MemberSuspect:
		return "suspect"
	case wire.MemberLeaving:
		return "leaving"
	}
	return fmt.Sprint(s)
}
