package cli

import (
	"fmt"
	"io"
	"net/url"
	"strings"
	"text/tabwriter"

	"github.com/limpetdock/limpetdock/internal/admin"
)

const explainLong = "Says which target a node would offer a request to now and why, and which rules and limits hold for it. " +
	"REQUEST is SERVICE/PATH, or http://HOST/PATH for a service that is selected by host.\n\nExamples:\n" +
	"  limpetdock explain 127.10.1.1:7400 catalogue/catalogue/week\n" +
	"  limpetdock explain --method POST 127.10.1.1:7400 orders/orders/confirm\n" +
	"  limpetdock explain --json 127.10.1.1:7400 http://orders.example/"

type explainCommand struct {
	command
	Method string `short:"X" long:"method" default:"GET" description:"HTTP method of the request"`
	JSON   bool   `long:"json" description:"print as JSON"`
	Args   struct {
		Node    string `positional-arg-name:"NODE" description:"address of the node's administration API, IP:PORT" required:"true"`
		Request string `positional-arg-name:"REQUEST" description:"SERVICE/PATH or http://HOST/PATH" required:"true"`
	} `positional-args:"true" required:"true"`
}

func (c *explainCommand) run(out io.Writer) error {
	query, err := requestQuery(c.Method, c.Args.Request)
	if err != nil {
		return err
	}
	e, err := fetchJSON[admin.Explanation](c.Args.Node, admin.PathExplain+"?"+query.Encode())
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(out, e)
	}
	return printExplanation(out, e)
}

func requestQuery(method, request string) (url.Values, error) {
	q := url.Values{"method": {strings.ToUpper(method)}}
	if rest, ok := strings.CutPrefix(request, "http://"); ok {
		host, path, _ := strings.Cut(rest, "/")
		q.Set("host", host)
		q.Set("path", "/"+path)
		return q, nil
	}
	service, path, _ := strings.Cut(request, "/")
	if service == "" {
		return nil, usagef("%q is no SERVICE/PATH", request)
	}
	q.Set("service", service)
	q.Set("path", "/"+path)
	return q, nil
}

func printExplanation(out io.Writer, e admin.Explanation) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	route := e.Route
	if route == "" {
		route = "none matches"
	}
	chosen := e.Chosen
	if chosen == "" {
		chosen = "none"
	}
	_, _ = fmt.Fprintf(w, "service\t%s (team %s)\nroute\t%s\nruns\t%s\nclass\t%d\n", e.Service, e.Team, route, e.Runs, e.Class)
	_, _ = fmt.Fprintf(w, "deadline\t%s unless the request brings one, up to %s\n", e.Timeout, e.MaxTimeout)
	_, _ = fmt.Fprintf(w, "offered to\tup to %d targets\n", e.Hops)
	if e.HedgeAfter != "" {
		_, _ = fmt.Fprintf(w, "hedged\tsent to a second target as well after %s without an answer\n", e.HedgeAfter)
	}
	for _, l := range e.Limits {
		_, _ = fmt.Fprintf(w, "limit\t%s: %d\n", l.What, l.Value)
	}
	_, _ = fmt.Fprintf(w, "chosen now\t%s\nwhy\t%s\n\n", chosen, e.Why)
	printTargets(w, e.Targets)
	return w.Flush()
}

func printTargets(w io.Writer, targets []admin.TargetState) {
	_, _ = fmt.Fprintln(w, "TARGET\tZONE\tDISTANCE\tIN FLIGHT\tSLOTS\tESTIMATE\tSTATE")
	for _, t := range targets {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%.1f ms\t%s\n", t.VM, t.Zone, t.Distance, t.InFlight, t.Slots, t.EstimateMs, t.State)
	}
}
