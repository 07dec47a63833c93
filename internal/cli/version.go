package cli

import (
	"fmt"
	"io"

	"github.com/limpetdock/limpetdock/internal/version"
)

const (
	versionLong    = "Shows the version of the tool.\n\nExample:\n  limpetdock version --json"
	completionLong = "Prints a script that completes commands and options. It works in bash, and in zsh after bashcompinit." +
		"\n\nExample:\n  limpetdock completion > /etc/bash_completion.d/limpetdock"
)

type versionCommand struct {
	command
	JSON bool `long:"json" description:"print as JSON"`
}

func (c *versionCommand) run(out io.Writer) error {
	build := version.Current()
	if c.JSON {
		return printJSON(out, build)
	}
	_, err := fmt.Fprintln(out, "limpetdock", build)
	return err
}

// completionScript calls the tool itself to list completions: the flags library
// prints them if GO_FLAGS_COMPLETION is set.
const completionScript = `_limpetdock() {
    local args=("${COMP_WORDS[@]:1:$COMP_CWORD}")
    local IFS=$'\n'
    COMPREPLY=($(GO_FLAGS_COMPLETION=1 ${COMP_WORDS[0]} "${args[@]}"))
}
complete -F _limpetdock limpetdock
`

type completionCommand struct{ command }

func (c *completionCommand) run(out io.Writer) error {
	_, err := io.WriteString(out, completionScript)
	return err
}
