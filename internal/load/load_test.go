package load

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/headers"
	"github.com/limpetdock/limpetdock/internal/virtualtime"
)

func testPlan() Plan {
	return Plan{
		To: []string{"127.0.0.1:1"}, Rate: 100, Duration: 10 * time.Second, Seed: 7,
		Kinds: []Kind{{Service: "a", Weight: 3}, {Service: "b", Weight: 1, Timeout: 100 * time.Millisecond}},
	}.WithDefaults()
}

func allCalls(p Plan) []Call {
	var list []Call
	s := newSchedule(p)
	for c, ok := s.next(); ok; c, ok = s.next() {
		list = append(list, c)
	}
	return list
}

func TestScheduleIsDeterministicForAPlan(t *testing.T) {
	p := testPlan()
	first := allCalls(p)
	require.Equal(t, first, allCalls(p))
	p.Seed++
	require.NotEqual(t, first, allCalls(p))
	require.InDelta(t, 1000, len(first), 100)
	kinds := map[int]int{}
	for i, c := range first {
		require.Equal(t, i, c.No)
		require.True(t, i == 0 || c.At >= first[i-1].At)
		kinds[c.Kind]++
	}
	require.InDelta(t, 0.75, float64(kinds[0])/float64(len(first)), 0.05)
}

func TestConstantArrivalsAreEvenlySpaced(t *testing.T) {
	p := testPlan()
	p.Arrivals = Constant
	calls := allCalls(p)
	require.Len(t, calls, 999)
	for i, c := range calls {
		require.InDelta(t, float64(i+1)*0.01, c.At.Seconds(), 1e-6)
	}
}

func TestSurgeChangesTheRateOnlyInItsWindow(t *testing.T) {
	p := testPlan()
	p.Arrivals = Constant
	p.Surges = []Surge{{From: 2 * time.Second, To: 4 * time.Second, Factor: 3}}
	require.NoError(t, p.Check())
	perSecond := make([]int, 10)
	for _, c := range allCalls(p) {
		perSecond[c.At/time.Second]++
	}
	require.InDelta(t, 300, perSecond[2], 2)
	require.InDelta(t, 300, perSecond[3], 2)
	require.InDelta(t, 100, perSecond[5], 2)
}

// stallingSender answers after one millisecond, but sends no answer between from and
// to.
type stallingSender struct {
	start    time.Time
	from, to time.Duration
}

func (s stallingSender) Send(ctx context.Context, _ Call) Outcome {
	at := time.Since(s.start)
	if at >= s.from && at < s.to {
		time.Sleep(s.to - at)
	}
	time.Sleep(time.Millisecond)
	if ctx.Err() != nil {
		return CallerTimeout
	}
	return OK
}

// Guards against coordinated omission. The server stalls for two of ten seconds, so
// every call scheduled in that time, a fifth of all calls, is slow. Latency measured
// from sending would show only two slow calls, one for each busy worker.
func TestStalledServerRaisesP99WhenAllWorkersAreBusy(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		p := testPlan()
		p.Arrivals, p.Workers = Constant, 2
		sender := stallingSender{start: time.Now(), from: 4 * time.Second, to: 6 * time.Second}
		var seen []Progress
		r := Run(t.Context(), p, Options{
			Sender: sender, Every: time.Second, Progress: func(p Progress) { seen = append(seen, p) },
		})
		require.Equal(t, 999, r.All.Calls)
		require.Greater(t, r.All.Latency.P99, 1800.0)
		require.Greater(t, r.All.Latency.P90, 800.0)
		require.Less(t, r.All.Latency.P50, 1.5)
		require.Less(t, r.All.FromSending.P99, 1.5, "latency as closed-loop measurement would report it")
		require.False(t, r.ScheduleKept(), "two workers can't keep the schedule")
		require.InDelta(t, 1990, r.WorstLateMs, 15)
		require.Greater(t, r.Timeline[4].Latency.P50, 1000.0)
		require.Less(t, r.Timeline[8].Latency.P99, 1.5)
		require.GreaterOrEqual(t, len(seen), 9)
		require.Less(t, r.Kinds[1].Good, r.Kinds[1].Outcomes[OK], "answers after the deadline don't count as goodput")
	})
}

func TestRunStopsOnContextEndAndReportsSentCalls(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 2500*time.Millisecond)
		defer cancel()
		p := testPlan()
		p.Arrivals = Constant
		r := Run(ctx, p, Options{Sender: stallingSender{start: time.Now()}})
		require.InDelta(t, 250, r.All.Calls, 2)
		require.True(t, r.ScheduleKept())
	})
}

func TestClientDistinguishesOutcomes(t *testing.T) {
	handler := func(w http.ResponseWriter, r *http.Request) {
		// net/http detects a disconnected caller only after the body has been read.
		_, _ = io.Copy(io.Discard, r.Body)
		switch r.URL.Path {
		case "/refused":
			w.Header().Set(headers.Kind, "overloaded")
			w.WriteHeader(http.StatusServiceUnavailable)
		case "/failed":
			w.WriteHeader(http.StatusInternalServerError)
		case "/cut":
			w.Header().Set("Content-Length", "10")
			_, _ = w.Write([]byte("12345"))
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		case "/broken":
			panic(http.ErrAbortHandler)
		case "/silent":
			<-r.Context().Done()
		}
	}
	server := httptest.NewServer(http.HandlerFunc(handler))
	defer server.Close()
	for path, want := range map[string]Outcome{
		"/": OK, "/refused": "overloaded", "/failed": BackendError, "/cut": Cut, "/broken": Broken, "/silent": CallerTimeout,
	} {
		p := Plan{Kinds: []Kind{{Method: "POST", Path: path, Body: 3, Timeout: time.Millisecond}}}.WithDefaults()
		c := NewClient(p)
		require.Equal(t, want, c.Send(t.Context(), Call{To: strings.TrimPrefix(server.URL, "http://")}), path)
		c.Close()
	}
}

func TestReadPlanParsesEveryKey(t *testing.T) {
	p, err := ReadPlan([]byte(`
[load]
to = 127.0.0.1:1, 127.0.0.1:2
rate = 12.5
duration = 3s
arrivals = constant
seed = 9
[kind deep]
service = a
method = POST
path = /x
weight = 2
body = 100
timeout = 1s
chain = b, c
[kind plain]
service = b
`))
	require.NoError(t, err)
	p = p.WithDefaults()
	require.NoError(t, p.Check())
	require.Equal(t, []string{"127.0.0.1:1", "127.0.0.1:2"}, p.To)
	require.Equal(t, Kind{
		Name: "deep", Service: "a", Method: "POST", Path: "/x", Weight: 2, Body: 100, Timeout: time.Second, Chain: []string{"b", "c"},
	}, p.Kinds[0])
	require.Equal(t, DefaultTimeout, p.Kinds[1].Timeout)
}

func TestInvalidPlansAreRejectedWithReason(t *testing.T) {
	const good = "[load]\nto=a:1\nrate=1\nduration=1s\n"
	for text, reason := range map[string]string{
		"[load]\nrate = many":                   "must be a number",
		"[load]\nspeed = 1":                     "speed is unknown",
		"[else]\na = 1":                         "[else] is unknown",
		good:                                    "no kind of call",
		good + "[kind x]\nservice=a\nweight=-1": "weight must be",
		good + "[kind x]\nchain=1,2,3,4,5,6,7,8,9,0,1": "at most 10",
		good + "[kind x]\npath=x":                      "begin with /",
		good + "[kind x]\ntimeout=1":                   "a duration such as 2s",
		"[load]\nto=a:1\nduration=1s\n[kind x]":        "rate must be",
		"[load]\nrate=1\nduration=1s\n[kind x]":        "no address",
	} {
		p, err := ReadPlan([]byte(text))
		if err == nil {
			err = p.WithDefaults().Check()
		}
		require.ErrorContains(t, err, reason, text)
	}
}

func TestReportAndPlotShowEachKind(t *testing.T) {
	rec := newRecorder(testPlan())
	rec.recordStart(0)
	rec.recordEnd(Call{Kind: 1, At: 1500 * time.Millisecond}, OK, 1500*time.Millisecond, 1540*time.Millisecond)
	r := rec.report(10 * time.Second)
	require.Equal(t, 1, r.Kinds[1].Good)
	require.InDelta(t, 40, r.Kinds[1].Latency.P99, 0.1)
	var text, plot bytes.Buffer
	require.NoError(t, r.WriteText(&text))
	require.Contains(t, text.String(), "b GET /: ok 1")
	require.NoError(t, WritePlot(&plot, "title", "", Series{Name: "run", Report: r}))
	require.Contains(t, plot.String(), "run p99.9")
}
