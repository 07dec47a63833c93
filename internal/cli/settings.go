package cli

import (
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"
	"github.com/rotisserie/eris"

	"github.com/limpetdock/limpetdock/internal/settings"
)

const (
	settingsLong      = "Checks a node's static settings."
	settingsCheckLong = "Checks a node's settings file. Every fault is a line of its own: file, line, key, what is wrong, " +
		"what is allowed.\n\nExample:\n  limpetdock settings check /etc/limpetdock/node.ini"
)

func addSettings(p *flags.Parser) error {
	group, err := p.AddCommand("settings", "check a node's settings", settingsLong, &struct{}{})
	if err != nil {
		return err
	}
	return registerAll(group, []commandSpec{{"check", "check a settings file", settingsCheckLong, &settingsCheck{}}})
}

type settingsCheck struct {
	command
	Args struct {
		File string `positional-arg-name:"FILE" description:"settings file (INI)" required:"true"`
	} `positional-args:"true" required:"true"`
}

func (c *settingsCheck) run(out io.Writer) error {
	s, err := settings.Load(c.Args.File)
	var faults settings.Faults
	if err != nil && !errors.As(err, &faults) {
		return eris.Errorf("%s can't be read: %v", c.Args.File, fileCause(err))
	}
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%s: good: VM %s of fleet %s in %s (%s)\n", c.Args.File, s.VM, s.Fleet, s.Zone, s.Region)
	return err
}
