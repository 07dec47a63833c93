package mesh

import (
	"fmt"
	"runtime/debug"

	"github.com/limpetdock/limpetdock/internal/decision"
	"github.com/limpetdock/limpetdock/internal/kind"
)

// PanicError logs a recovered panic and returns the error for the request that caused it. The
// request may have been sent before.
func PanicError(log *decision.Log, id string, cause any) *kind.Error {
	log.Warn("handling a request panicked", "id", id, "panic", fmt.Sprint(cause), "stack", string(debug.Stack()))
	return kind.New(kind.OutcomeUnknown, "the node failed while it handled the request")
}
