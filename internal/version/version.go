// Package version provides the build information of the running program.
package version

import (
	"runtime/debug"
	"sync"
)

// shortRevision is the number of characters of the commit hash that are shown.
const shortRevision = 12

// Build describes a program's build.
type Build struct {
	// Version is the module's version, or "devel" for a build from a work tree.
	Version string `json:"version"`
	// Commit is the abbreviated commit hash, with "+changes" if the work tree had
	// uncommitted changes; empty if unknown.
	Commit string `json:"commit,omitempty"`
	// Go is the version of the toolchain.
	Go string `json:"go"`
}

// String returns the build on one line.
func (b Build) String() string {
	s := b.Version
	if b.Commit != "" {
		s += " " + b.Commit
	}
	return s + " " + b.Go
}

// Current returns the build of the running program.
var Current = sync.OnceValue(func() Build {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return Build{Version: "unknown"}
	}
	return of(info)
})

func of(info *debug.BuildInfo) Build {
	b := Build{Version: info.Main.Version, Go: info.GoVersion}
	if b.Version == "" || b.Version == "(devel)" {
		b.Version = "devel"
	}
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			b.Commit = s.Value[:min(len(s.Value), shortRevision)]
		case s.Key == "vcs.modified" && s.Value == "true":
			b.Commit += "+changes"
		}
	}
	return b
}
