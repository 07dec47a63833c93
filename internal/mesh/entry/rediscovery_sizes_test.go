//go:build !race

package entry_test

// rediscoverySizes are the deployments in which the loss of all nodes is played.
var rediscoverySizes = []rediscovery{{18, 6, 1}, {81, 27, 1}, {81, 27, 2}, {300, 100, 1}, {890, 297, 1}}

// overloadSizes are the deployments in which overload with a crashing request is played.
var overloadSizes = []rediscovery{{18, 6, 1}, {18, 6, 2}, {81, 27, 1}, {81, 27, 2}, {300, 100, 1}}
