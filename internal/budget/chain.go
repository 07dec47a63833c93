package budget

import "strconv"

// ChainRetries is how many retries one call chain may use over all its calls.
const ChainRetries = 2

// Chain is what is left of a call chain's retries. It is handed down: a call
// that was itself a retry, or comes after one, has fewer left, so that retries
// at eleven levels add up and don't multiply.
type Chain int

// ParseChain reads what a caller sent. Whoever starts a chain has all of it;
// nobody can claim more, and what can't be read counts as none left.
func ParseChain(text string) Chain {
	if text == "" {
		return ChainRetries
	}
	left, err := strconv.Atoi(text)
	if err != nil || left < 0 {
		return 0
	}
	return Chain(min(left, ChainRetries))
}

// Fresh says that no call of the chain has been retried so far.
func (c Chain) Fresh() bool { return c == ChainRetries }

// String gives the header's value.
func (c Chain) String() string { return strconv.Itoa(int(c)) }
