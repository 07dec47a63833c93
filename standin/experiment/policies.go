package main

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/limpetdock/limpetdock/fleet"
)

// policies compares routing policies.
type policies struct {
	comparison
	Policies []string `long:"policy" description:"only this one; may be repeated"`
}

var allPolicies = []string{
	fleet.PolicyRandom, fleet.PolicyRoundRobin, fleet.PolicyTwoChoices, fleet.PolicyTwoLoad,
	fleet.PolicyLeastLoad, fleet.PolicyIdleHints, fleet.PolicyProbe,
}

func (c *policies) run(ctx context.Context) error {
	variants, err := c.variants()
	if err != nil {
		return err
	}
	return c.comparison.run(ctx, "policies", variants)
}

func (c *policies) variants() ([]variant, error) {
	names := c.Policies
	if len(names) == 0 {
		names = allPolicies
	}
	var list []variant
	for _, p := range names {
		if !slices.Contains(allPolicies, p) {
			return nil, fmt.Errorf("no policy %q; there are %s", p, strings.Join(allPolicies, ", "))
		}
		list = append(list, variant{name: p, policy: p})
	}
	return list, nil
}
