package diff

import (
	"slices"
	"strings"

	"github.com/limpetdock/limpetdock/fleet"
	"github.com/limpetdock/limpetdock/internal/config"
)

// anyMethod stands for the methods that no route names.
const anyMethod = "OTHER"

// compareRoutes compares what happens to requests, rather than the rules: a rule
// that moves, widens or goes away changes requests that another rule then takes.
// For each rule of either side it tries a request of each method.
func compareRoutes(l *list, before, after *config.Service) {
	for _, pattern := range patterns(before, after) {
		path := sample(pattern)
		var once, twice []string
		for _, method := range methods(before, after) {
			b, a := before.Match(method, path), after.Match(method, path)
			switch was, is := idempotent(b), idempotent(a); {
			case !was && is:
				twice = append(twice, method)
			case was && !is:
				once = append(once, method)
			}
		}
		if len(twice) > 0 {
			l.warnf("%s %s goes from at most once to idempotent: requests may be repeated", strings.Join(twice, ","), pattern)
		}
		if len(once) > 0 {
			l.notef("%s %s goes from idempotent to at most once: requests are no longer retried", strings.Join(once, ","), pattern)
		}
	}
	compareRules(l, before.Routes, after.Routes)
}

func idempotent(r *fleet.Route) bool { return r != nil && r.Idempotent }

// patterns are the paths of all routes of both sides, each once.
func patterns(services ...*config.Service) []string {
	var list []string
	for _, s := range services {
		for _, r := range s.Routes {
			list = append(list, r.Path)
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}

func methods(services ...*config.Service) []string {
	list := []string{anyMethod}
	for _, s := range services {
		for _, r := range s.Routes {
			list = append(list, r.Methods...)
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// unlikely ends the sample path of a prefix, so that no exact route takes it.
const unlikely = "~any~"

func sample(pattern string) string {
	if prefix, ok := strings.CutSuffix(pattern, "*"); ok {
		return prefix + unlikely
	}
	return pattern
}

// compareRules notes what else changes in routes of the same name.
func compareRules(l *list, before, after []fleet.Route) {
	for _, a := range after {
		at := slices.IndexFunc(before, func(b fleet.Route) bool { return b.Name == a.Name })
		if at < 0 {
			l.notef("route %s is new: %s %s", a.Name, methodWord(a), a.Path)
			continue
		}
		b := before[at]
		value(l, "route "+a.Name+": path", b.Path, a.Path)
		value(l, "route "+a.Name+": methods", methodWord(b), methodWord(a))
		value(l, "route "+a.Name+": class under overload", b.Class, a.Class)
		value(l, "route "+a.Name+": retries", b.Retries, a.Retries)
		limit(l, "route "+a.Name+": ", b.InFlight, a.InFlight)
	}
	for _, b := range before {
		if !slices.ContainsFunc(after, func(a fleet.Route) bool { return a.Name == b.Name }) {
			l.notef("route %s is gone: %s %s", b.Name, methodWord(b), b.Path)
		}
	}
	if !slices.Equal(shared(before, after), shared(after, before)) {
		l.notef("routes are tried in another order")
	}
}

func methodWord(r fleet.Route) string {
	if len(r.Methods) == 0 {
		return "every method"
	}
	return strings.Join(r.Methods, ",")
}

// shared are the names of routes that other has too, in order.
func shared(routes, other []fleet.Route) []string {
	var list []string
	for _, r := range routes {
		if slices.ContainsFunc(other, func(o fleet.Route) bool { return o.Name == r.Name }) {
			list = append(list, r.Name)
		}
	}
	return list
}
