package budget

import "strconv"

// ChainRetries is the number of retries that one call chain may use over all its calls.
const ChainRetries = 2

// Chain is the number of retries that remain to a call chain. It is passed down
// with each call: a call that is a retry, or follows one, has fewer remaining, so
// that retries at eleven levels add up and don't multiply.
type Chain int

// ParseChain parses the header value that a caller sent. Without one the call
// starts a chain and has all retries. Greater values are reduced to ChainRetries,
// and an invalid value means that none remain.
func ParseChain(text string) Chain {
	if text == "" {
		return ChainRetries
	}
	remaining, err := strconv.Atoi(text)
	if err != nil || remaining < 0 {
		return 0
	}
	return Chain(min(remaining, ChainRetries))
}

// Unused reports whether no call of the chain has been retried so far.
func (c Chain) Unused() bool { return c == ChainRetries }

// String returns the header value.
func (c Chain) String() string { return strconv.Itoa(int(c)) }
