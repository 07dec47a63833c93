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
	Hedges   []int    `long:"hedge" description:"hedged requests in percent, 0 is off; may be repeated"`
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
	hedges := c.Hedges
	if len(hedges) == 0 {
		hedges = []int{0}
	}
	var list []variant
	for _, p := range names {
		if !slices.Contains(allPolicies, p) {
			return nil, fmt.Errorf("no policy %q; there are %s", p, strings.Join(allPolicies, ", "))
		}
		for _, h := range hedges {
			list = append(list, variant{name: hedgedName(p, h), policy: p, hedge: h})
		}
	}
	return list, nil
}

func hedgedName(policy string, hedge int) string {
	if hedge == 0 {
		return policy
	}
	return fmt.Sprintf("%s, hedges %d %%", policy, hedge)
}
