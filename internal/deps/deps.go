// Package deps keeps the declared libraries in go.mod while the packages that
// use them are being written. It goes away with the last of them.
package deps

import (
	_ "github.com/stretchr/testify/require"
	_ "go.uber.org/goleak"
	_ "golang.org/x/sys/unix"
	_ "golang.org/x/time/rate"
	_ "pgregory.net/rapid"
)
