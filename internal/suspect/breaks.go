package suspect

import (
	"sync"
	"time"
)

const (
	// breaksWindow is how long a server's broken and completed exchanges count.
	breaksWindow = 10 * time.Second
	// breaksParts is the number of parts that the window is counted in.
	breaksParts = 10
	// maxBreakShare is the share of broken exchanges from which a server is taken to break off requests
	// whatever they are.
	maxBreakShare = 0.1
	// maxOtherBreaks is the number of broken exchanges of other requests from which it is so whatever the
	// share, which bounds the deaths that a node records.
	maxOtherBreaks = 2
	// maxBreaks bounds the broken exchanges that are remembered.
	maxBreaks = 64
)

// Breaks tells the broken exchanges that the requests may have caused from those of a backend server
// that breaks off many whatever they are. The zero value is ready for use. Safe for concurrent use.
type Breaks struct {
	mu sync.Mutex
	// completed counts by part of the window, of which current is the last.
	completed [breaksParts]int
	current   int64
	broken    []brokenExchange
}

type brokenExchange struct {
	fingerprint uint64
	at          time.Duration
}

// Completed counts an answer of the backend server.
func (b *Breaks) Completed(now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.completed[b.current%breaksParts]++
}

// Broke counts a broken exchange and reports whether hardly any other ones break off there.
func (b *Breaks) Broke(fingerprint uint64, now time.Duration) (unexpected bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	others, completed := 0, 0
	for _, x := range b.broken {
		if x.fingerprint != fingerprint {
			others++
		}
	}
	for _, n := range b.completed {
		completed += n
	}
	if len(b.broken) >= maxBreaks {
		b.broken = b.broken[1:]
	}
	b.broken = append(b.broken, brokenExchange{fingerprint, now})
	return others < maxOtherBreaks && float64(others) < maxBreakShare*float64(completed)
}

// advance drops what is older than the window. The mutex must be held.
func (b *Breaks) advance(now time.Duration) {
	part := int64(now / (breaksWindow / breaksParts))
	for n := max(b.current+1, part-breaksParts+1); n <= part; n++ {
		b.completed[n%breaksParts] = 0
	}
	b.current = max(b.current, part)
	for len(b.broken) > 0 && now-b.broken[0].at >= breaksWindow {
		b.broken = b.broken[1:]
	}
}
