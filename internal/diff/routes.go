package diff

import (
	"slices"
	"strings"

	"github.com/limpetdock/limpetdock/fleet"
	"github.com/limpetdock/limpetdock/internal/config"
)

// anyMethod represents all methods that are not listed in any route.
const anyMethod = "OTHER"

// compareRoutes compares how requests are routed rather than the routes: if a route
// is moved, widened or removed, requests change that then match another route. It
// tries a request of each method for the path of each route of before and after.
func compareRoutes(l *changeList, before, after *config.Service) {
	for _, pattern := range patterns(before, after) {
		path := samplePath(pattern)
		var nowAtMostOnce, nowIdempotent []string
		for _, method := range methods(before, after) {
			b, a := before.Match(method, path), after.Match(method, path)
			switch was, is := idempotent(b), idempotent(a); {
			case !was && is:
				nowIdempotent = append(nowIdempotent, method)
			case was && !is:
				nowAtMostOnce = append(nowAtMostOnce, method)
			}
		}
		if len(nowIdempotent) > 0 {
			l.warnf("%s %s goes from at most once to idempotent: requests may be repeated", strings.Join(nowIdempotent, ","), pattern)
		}
		if len(nowAtMostOnce) > 0 {
			l.notef("%s %s goes from idempotent to at most once: requests are no longer retried", strings.Join(nowAtMostOnce, ","), pattern)
		}
	}
	compareRules(l, before.Routes, after.Routes)
}

func idempotent(r *fleet.Route) bool { return r != nil && r.Idempotent }

// patterns returns the distinct paths of all routes of the services.
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

// sampleSuffix is appended to a prefix to form a sample path that no exact route matches.
const sampleSuffix = "~any~"

func samplePath(pattern string) string {
	if prefix, ok := strings.CutSuffix(pattern, "*"); ok {
		return prefix + sampleSuffix
	}
	return pattern
}

// compareRules compares routes of the same name and adds notes on new, removed and
// reordered ones.
func compareRules(l *changeList, before, after []fleet.Route) {
	for _, a := range after {
		at := slices.IndexFunc(before, func(b fleet.Route) bool { return b.Name == a.Name })
		if at < 0 {
			l.notef("route %s is new: %s %s", a.Name, formatMethods(a), a.Path)
			continue
		}
		b := before[at]
		compareValue(l, "route "+a.Name+": path", b.Path, a.Path)
		compareValue(l, "route "+a.Name+": methods", formatMethods(b), formatMethods(a))
		compareValue(l, "route "+a.Name+": class under overload", b.Class, a.Class)
		compareValue(l, "route "+a.Name+": retries", b.Retries, a.Retries)
		compareLimit(l, "route "+a.Name+": ", b.InFlight, a.InFlight)
	}
	for _, b := range before {
		if !slices.ContainsFunc(after, func(a fleet.Route) bool { return a.Name == b.Name }) {
			l.notef("route %s is gone: %s %s", b.Name, formatMethods(b), b.Path)
		}
	}
	if !slices.Equal(commonNames(before, after), commonNames(after, before)) {
		l.notef("routes are tried in another order")
	}
}

func formatMethods(r fleet.Route) string {
	if len(r.Methods) == 0 {
		return "every method"
	}
	return strings.Join(r.Methods, ",")
}

// commonNames returns the names of the routes that other also has, in order.
func commonNames(routes, other []fleet.Route) []string {
	var list []string
	for _, r := range routes {
		if slices.ContainsFunc(other, func(o fleet.Route) bool { return o.Name == r.Name }) {
			list = append(list, r.Name)
		}
	}
	return list
}
