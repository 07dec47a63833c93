// Package decision is a node's log: one structured line for each decision on a request and
// each change of the node's state. It never delays a request: lines go through a bounded
// queue, and lines that don't fit or exceed the rate limit are counted and dropped.
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
	// queueLines is how many lines may wait for a slow reader.
	queueLines = 1024
	// linesPerSecond limits lines about requests. It covers the peak of the busiest of 18
	// nodes during rolling restarts under a burst, when most requests are refused and
	// attempted again. Requests beyond it appear in the metrics only.
	linesPerSecond = 300
	// burstLines is the largest burst: the lines of two seconds.
	burstLines = 2 * linesPerSecond
	// dropReportInterval is the shortest pause between two lines about dropped lines.
	dropReportInterval = 5 * time.Second
)

// Log is a bounded log. A nil Log drops everything. Safe for concurrent use.
type Log struct {
	out   *slog.Logger
	queue chan record
	// pending counts lines that were queued and are not written yet.
	pending atomic.Int64
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

// InfoLimited logs a decision on a request at level INFO, subject to the rate limit.
func (l *Log) InfoLimited(message string, pairs ...any) {
	if l == nil {
		return
	}
	if !l.limit.Allow() {
		l.dropped.Add(1)
		return
	}
	l.put(slog.LevelInfo, message, pairs)
}

// Event logs a change of the node's state at level INFO. Such changes are few and therefore
// limited only by the queue.
func (l *Log) Event(message string, pairs ...any) {
	if l != nil {
		l.put(slog.LevelInfo, message, pairs)
	}
}

// Warn logs a failure or degradation at level WARN.
func (l *Log) Warn(message string, pairs ...any) {
	if l != nil {
		l.put(slog.LevelWarn, message, pairs)
	}
}

func (l *Log) put(level slog.Level, message string, pairs []any) {
	if !l.out.Enabled(context.Background(), level) {
		return
	}
	l.pending.Add(1)
	select {
	case l.queue <- record{time.Now(), level, message, pairs}:
	default:
		l.pending.Add(-1)
		l.dropped.Add(1)
	}
}

// Counts returns how many lines were written and dropped.
func (l *Log) Counts() (written, dropped uint64) { return l.written.Load(), l.dropped.Load() }

func (l *Log) run(ctx context.Context) {
	reported, reportedAt := uint64(0), time.Time{}
	for {
		select {
		case r := <-l.queue:
			l.write(r)
			l.pending.Add(-1)
		case <-ctx.Done():
			return
		}
		if n := l.dropped.Load(); n != reported && time.Since(reportedAt) >= dropReportInterval {
			l.write(record{time.Now(), slog.LevelWarn, "log lines dropped", []any{"since_last", n - reported, "total", n}})
			reported, reportedAt = n, time.Now()
		}
	}
}

func (l *Log) write(r record) {
	line := slog.NewRecord(r.at, r.level, r.message, 0)
	line.Add(r.pairs...)
	// A failed write can't be logged; the counter shows it.
	if err := l.out.Handler().Handle(context.Background(), line); err != nil {
		l.dropped.Add(1)
		return
	}
	l.written.Add(1)
}

// Flush waits until all lines are written, at most for the given time.
func (l *Log) Flush(within time.Duration) {
	for end := time.Now().Add(within); l.pending.Load() > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
}
