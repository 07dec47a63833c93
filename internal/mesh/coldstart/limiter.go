// Package coldstart limits the rate of requests to a backend server that is cold, or that may
// have become cold since it last reported to be warm. It reads no clock: times are passed in as
// durations since the node's start.
package coldstart

import (
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Rate is the limit of requests to a cold backend server. In any period of length p, no more than
// PerSecond*p + Burst requests are permitted. PerSecond 0 means no limit.
type Rate struct {
	PerSecond float64
	Burst     int
}

// Policy is the operators' bound on the requests to a cold backend server: in any second, no more
// may arrive than Ratio times those that it tolerates per second, plus Slack.
type Policy struct {
	Ratio, Slack float64
}

const (
	// usedShare is the share of the bound that is used. The rest is left for requests that bunch up
	// on their way to the backend server.
	usedShare = 0.9
	// burstShare is the part of what is used that may be sent at once.
	burstShare = 0.15
)

// Rate returns the limit for a service whose cold backend servers tolerate perSecond requests; 0
// means that they tolerate any number.
func (p Policy) Rate(perSecond float64) Rate {
	if perSecond <= 0 {
		return Rate{}
	}
	used := usedShare * (perSecond*p.Ratio + p.Slack)
	burst := max(int(used*burstShare), 1)
	return Rate{PerSecond: max(used-float64(burst), minPerSecond), Burst: burst}
}

// minPerSecond is the lowest rate of a limit, in requests per second.
const minPerSecond = 0.1

// Limiter permits requests to one backend server. A backend server may become cold at any moment
// and tells it only when it is asked. Therefore requests are counted also while it is warm, and
// after each report that it is warm those sent before it no longer count. Without such reports the Limiter
// behaves as if the server were cold. Safe for concurrent use.
type Limiter struct {
	mu     sync.Mutex
	rate   Rate
	bucket *rate.Limiter
	// permitted holds when the requests of the last maxReportDelay were permitted, oldest first.
	permitted []time.Duration
	// coldUntil is when the backend server expects to be warm, by its last report.
	coldUntil time.Duration
}

// maxReportDelay is the longest time that a report may take from the question to the answer to
// be of use.
const maxReportDelay = time.Second

// epoch is the time of the bucket's clock at the node's start.
var epoch = time.Unix(0, 0)

func at(now time.Duration) time.Time { return epoch.Add(now) }

// SetRate changes the limit. A Limiter permits its whole burst only after a report that the
// backend server is warm: a process that ran before this one may just have used it up.
func (l *Limiter) SetRate(r Rate, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r == l.rate {
		return
	}
	l.rate, l.bucket = r, nil
	if r.PerSecond > 0 {
		l.bucket = rate.NewLimiter(rate.Limit(r.PerSecond), r.Burst)
		l.bucket.AllowN(at(now), r.Burst)
	}
}

// Limited reports whether there is a limit while the backend server is cold.
func (l *Limiter) Limited() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bucket != nil
}

// Rate returns the limit.
func (l *Limiter) Rate() Rate {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rate
}

// Permit takes a permit for one request that is sent now, and reports whether there was one.
func (l *Limiter) Permit(now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.bucket == nil {
		return true
	}
	if !l.bucket.AllowN(at(now), 1) {
		return false
	}
	expired := 0
	for expired < len(l.permitted) && l.permitted[expired] < now-maxReportDelay {
		expired++
	}
	l.permitted = append(slices.Delete(l.permitted, 0, expired), now)
	return true
}

// NextPermit returns the time until there is a permit, if no other request takes it.
func (l *Limiter) NextPermit(now time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.bucket == nil {
		return 0
	}
	missing := 1 - l.bucket.TokensAt(at(now))
	if missing <= 0 {
		return 0
	}
	// Rounded up, as there would be no permit yet a moment too early.
	return time.Duration(missing/l.rate.PerSecond*float64(time.Second)) + time.Millisecond
}

// ReportWarm records that the backend server answered a question that was sent at asked, and was
// not cold. Requests permitted before that no longer count. Reports that took longer than
// maxReportDelay have no effect.
func (l *Limiter) ReportWarm(asked, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.coldUntil = 0
	if l.bucket == nil || asked < now-maxReportDelay {
		return
	}
	l.bucket = rate.NewLimiter(rate.Limit(l.rate.PerSecond), l.rate.Burst)
	for _, t := range l.permitted {
		if t >= asked {
			l.bucket.ReserveN(at(t), 1)
		}
	}
}

// ReportCold records that the backend server answered at now that it will be cold for remaining.
func (l *Limiter) ReportCold(remaining, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.coldUntil = now + remaining
}

// Cold reports whether the backend server is cold according to its last report.
func (l *Limiter) Cold(now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now < l.coldUntil
}
