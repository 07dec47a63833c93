// Package version tells which build of the programs runs.
package version

import (
	"runtime/debug"
	"sync"
)

// shortRevision is how much of a commit's digest is shown.
const shortRevision = 12

// Build is what is known of a program's build.
type Build struct {
	// Version is the module's version, or "devel" for a build of a work tree.
	Version string `json:"version"`
	// Commit is the start of the commit's digest, with "+changes" when the work
	// tree had any; empty when unknown.
	Commit string `json:"commit,omitempty"`
	// Go is the version of the toolchain.
	Go string `json:"go"`
}

// String gives the build in one line.
func (b Build) String() string {
	s := b.Version
	if b.Commit != "" {
		s += " " + b.Commit
	}
	return s + " " + b.Go
}

// Current is the build of the running program.
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
