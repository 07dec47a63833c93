package cli

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/jessevdk/go-flags"
)

// daemonText refers to the daemon, which has no subcommands in this tool.
const daemonText = "The node is another program: `limpetdockd --settings FILE [--check]`, described in " +
	"[settings](operators/settings.md), and `limpetdockd mesh --settings FILE [--check]` for deployments whose " +
	"targets register themselves, in [platform](operators/platform.md). The commands below ask the first kind; " +
	"a mesh node tells its state by `curl http://IP:9464/state`."

// Reference returns the reference of all commands as Markdown, for docs/cli.md.
func Reference() (string, error) {
	p, err := newParser(nil)
	if err != nil {
		return "", err
	}
	var b strings.Builder
	b.WriteString("# limpetdock: reference\n\nGenerated from the help texts by `UPDATE=1 go test ./internal/cli`; a test checks it.\n\n")
	b.WriteString(exitCodesText + "\n\nShell completion: `source <(limpetdock completion)`.\n")
	b.WriteString("\n" + daemonText + "\n")
	for _, c := range p.Commands() {
		writeCommand(&b, "limpetdock", c)
	}
	return b.String(), nil
}

func writeCommand(b *strings.Builder, prefix string, c *flags.Command) {
	name := prefix + " " + c.Name
	if len(c.Commands()) > 0 {
		for _, sub := range c.Commands() {
			writeCommand(b, name, sub)
		}
		return
	}
	fmt.Fprintf(b, "\n## %s\n\n    %s\n\n", name, name+usage(c))
	writeLongDescription(b, c.LongDescription)
	if len(c.Options())+len(c.Args()) == 0 {
		return
	}
	b.WriteString("\n| argument | meaning | default |\n|---|---|---|\n")
	for _, a := range c.Args() {
		fmt.Fprintf(b, "| `%s` | %s | |\n", a.Name, a.Description)
	}
	for _, o := range c.Options() {
		fmt.Fprintf(b, "| `%s` | %s | %s |\n", optionName(o), o.Description, strings.Join(o.Default, ", "))
	}
}

func usage(c *flags.Command) string {
	text := ""
	if len(c.Options()) > 0 {
		text = " [OPTIONS]"
	}
	for _, a := range c.Args() {
		name := a.Name
		if a.Required < 1 {
			name = "[" + name + "]"
		}
		text += " " + name
	}
	return text
}

func optionName(o *flags.Option) string {
	name := "--" + o.LongName
	if o.ShortName != 0 {
		name = "-" + string(o.ShortName) + ", " + name
	}
	if o.Field().Type.Kind() != reflect.Bool {
		value := o.ValueName
		if value == "" {
			value = strings.ToUpper(o.LongName)
		}
		name += " " + value
	}
	return name
}

// writeLongDescription writes a long description as Markdown. Indented lines become
// code blocks.
func writeLongDescription(b *strings.Builder, long string) {
	inCode := false
	for line := range strings.SplitSeq(long, "\n") {
		example, code := strings.CutPrefix(line, "  ")
		if code != inCode && line != "" {
			b.WriteString("\n")
			inCode = code
		}
		if code {
			line = "    " + example
		}
		b.WriteString(line + "\n")
	}
}
