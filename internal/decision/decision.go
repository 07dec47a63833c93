// Package decision writes one structured line for each decision on a request and
// each change of what a node believes. It never makes a request wait: lines go
// through a bounded queue, and those that don't fit or exceed the rate are
// counted and dropped.
package decision

import (
	"context"
	"io"
	"log/slog"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// queueLines is how many lines wait for a slow reader.
	queueLines = 1024
	// linesPerSecond bounds decisions on requests: as many as the busiest node of 18
	// wrote in the worst second of a day of rolling stops under a burst, when most
	// requests were refused and offered again. More are in the metrics only.
	linesPerSecond = 300
	// burstLines may come at once: two seconds' worth.
	burstLines = 2 * linesPerSecond
	// dropsEvery is the least pause between two lines about drops.
	dropsEvery = 5 * time.Second
)

// Log is a bounded log. A nil Log drops everything. Safe for concurrent use.
type Log struct {
	out     *slog.Logger
	queue   chan record
	limit   *rate.Limiter
	dropped atomic.Uint64
	written atomic.Uint64
}

type record struct {
	at      time.Time
	level   slog.Level
	message string
	pairs   []any
}

// New returns a Log that writes JSON lines to w until ctx ends.
func New(ctx context.Context, w io.Writer, level slog.Level) *Log {
	l := &Log{
		out:   slog.New(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level})),
		queue: make(chan record, queueLines),
		limit: rate.NewLimiter(linesPerSecond, burstLines),
	}
	go l.run(ctx)
	return l
}

// Decide writes a decision that touches a request, as far as the rate allows.
func (l *Log) Decide(message string, pairs ...any) {
	if l == nil {
		return
	}
	if !l.limit.Allow() {
		l.dropped.Add(1)
		return
	}
	l.put(slog.LevelInfo, message, pairs)
}

// Change writes a change of what the node believes or does. Changes are few and
// aren't limited by rate, only by the queue.
func (l *Log) Change(message string, pairs ...any) {
	if l != nil {
		l.put(slog.LevelInfo, message, pairs)
	}
}

// Trouble writes a change for the worse.
func (l *Log) Trouble(message string, pairs ...any) {
	if l != nil {
		l.put(slog.LevelWarn, message, pairs)
	}
}

func (l *Log) put(level slog.Level, message string, pairs []any) {
	if !l.out.Enabled(context.Background(), level) {
		return
	}
	select {
	case l.queue <- record{time.Now(), level, message, pairs}:
	default:
		l.dropped.Add(1)
	}
}

// Counts gives how many lines were written and dropped.
func (l *Log) Counts() (written, dropped uint64) { return l.written.Load(), l.dropped.Load() }

func (l *Log) run(ctx context.Context) {
	told, toldAt := uint64(0), time.Time{}
	for {
		select {
		case r := <-l.queue:
			l.write(r)
		case <-ctx.Done():
			return
		}
		if n := l.dropped.Load(); n != told && time.Since(toldAt) >= dropsEvery {
			l.write(record{time.Now(), slog.LevelWarn, "log lines dropped", []any{"since_last", n - told, "total", n}})
			told, toldAt = n, time.Now()
		}
	}
}

func (l *Log) write(r record) {
	line := slog.NewRecord(r.at, r.level, r.message, 0)
	line.Add(r.pairs...)
	// A log that can't be written has nowhere to say so; the counter shows it.
	if err := l.out.Handler().Handle(context.Background(), line); err != nil {
		l.dropped.Add(1)
		return
	}
	l.written.Add(1)
}

// Flush waits until what was queued is written, at most for a while.
func (l *Log) Flush(within time.Duration) {
	for end := time.Now().Add(within); len(l.queue) > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
}
