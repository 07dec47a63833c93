//go:build race

package entry_test

// rediscoverySizes and overloadSizes leave out the largest deployments, which take too long with the race detector. The
// Makefile also runs the tests without it.
var rediscoverySizes = []rediscovery{{18, 6, 1}, {18, 6, 2}, {81, 27, 1}, {81, 27, 2}, {300, 100, 1}}

var overloadSizes = []rediscovery{{18, 6, 1}, {81, 27, 1}}
