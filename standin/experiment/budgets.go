package main

import (
	"context"
	"fmt"
	"math"
	"strconv"

	"github.com/limpetdock/limpetdock/fleet"
)

// defaultRepeat is the default number of runs of each scenario in comparisons
// with small differences.
const defaultRepeat = 3

// budgets compares budgets for measuring load.
type budgets struct {
	comparison
	Budgets []string `long:"budget" description:"multiple of the default budget; may be repeated" default:"0" default:"0.25" default:"1" default:"4"`
}

func (c *budgets) run(ctx context.Context) error {
	variants, err := c.variants()
	if err != nil {
		return err
	}
	c.defaults("steady", "slow")
	return c.comparison.run(ctx, "budgets", variants)
}

// defaults sets options that weren't given on the command line.
func (c *comparison) defaults(scenarios ...string) {
	if len(c.Scenarios) == 0 {
		c.Scenarios = scenarios
	}
	if c.Repeat == 0 {
		c.Repeat = defaultRepeat
	}
	if c.Length == 0 {
		c.Length = shortLength
	}
}

func (c *budgets) variants() ([]variant, error) {
	var list []variant
	for _, text := range c.Budgets {
		times, err := strconv.ParseFloat(text, 64)
		if err != nil || times < 0 || math.IsInf(times, 0) || math.IsNaN(times) {
			return nil, fmt.Errorf("--budget %q is no multiple of the default", text)
		}
		list = append(list, variant{name: text + " x default", budget: budgetOf(times)})
	}
	return list, nil
}

// budgetOf returns a multiple of the default budget. A budget of 0 can't be
// declared; the minimum of 1 byte has the same effect, as no report fits into it.
func budgetOf(times float64) fleet.Budget {
	scaled := func(n int) int { return max(1, int(times*float64(n))) }
	return fleet.Budget{
		Requests: scaled(fleet.DefaultRequests), Bytes: scaled(fleet.DefaultBytes),
		CrossRegionBytes: scaled(fleet.DefaultCrossBytes),
	}
}
