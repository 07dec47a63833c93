package main

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/limpetdock/limpetdock/fleet"
)

// orders compares the orders of the guards' queues. Half of the calls have a
// short deadline, because with equal timeouts the deadline order equals FIFO.
type orders struct {
	comparison
	Orders []string `long:"order" description:"only this one; may be repeated"`
}

var allOrders = []string{fleet.OrderFIFO, fleet.OrderLIFO, fleet.OrderDeadline}

func (c *orders) run(ctx context.Context) error {
	variants, err := c.variants()
	if err != nil {
		return err
	}
	c.defaults("slow", "overload")
	c.shortDeadlines = true
	return c.comparison.run(ctx, "orders", variants)
}

func (c *orders) variants() ([]variant, error) {
	names := c.Orders
	if len(names) == 0 {
		names = allOrders
	}
	var list []variant
	for _, o := range names {
		if !slices.Contains(allOrders, o) {
			return nil, fmt.Errorf("no order %q; there are %s", o, strings.Join(allOrders, ", "))
		}
		list = append(list, variant{name: o, order: o})
	}
	return list, nil
}
