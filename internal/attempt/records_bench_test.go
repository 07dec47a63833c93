package attempt

import (
	"fmt"
	"net/http"
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/google/uuid"
)

// BenchmarkRecords fills a table with one minute of a node's calls, of which a share
// are bookings, and continues for another minute in which records are also dropped. It
// reports the memory of a record with and without a stored answer of 200 bytes, the
// share of attempts refused because the table was full, and how long the guard's mutex
// is held.
func BenchmarkRecords(b *testing.B) {
	for _, rate := range []int{371, 4079} {
		for _, percent := range []int{10, 100} {
			for _, size := range []int{0, 200} {
				name := fmt.Sprintf("%d-calls/%d-percent/answers-%d-B", rate, percent, size)
				b.Run(name, func(b *testing.B) {
					for b.Loop() {
						fillRecords(b, rate*percent/100, size)
					}
				})
			}
		}
	}
}

func fillRecords(b *testing.B, rate, size int) {
	table := NewTable(1)
	before := heapInUse()
	now, refused, most := time.Duration(0), 0, 0
	var begin, finish, worst time.Duration
	calls := rate * int(2*retention/time.Second)
	for range calls {
		now += time.Second / time.Duration(rate)
		id := uuid.NewString()
		answer := &Answer{Status: http.StatusOK, Body: make([]byte, size)}
		start := time.Now()
		v, _ := table.Begin(Claim{ID: id, Incarnation: 1, Tick: Tick(now)}, now)
		begun := time.Now()
		table.Finish(id, answer, now)
		ended := time.Now()
		if v != Start {
			refused++
		}
		begin += begun.Sub(start)
		finish += ended.Sub(begun)
		worst = max(worst, begun.Sub(start))
		most = max(most, len(table.records))
	}
	n, _ := table.Len()
	b.ReportMetric(float64(heapInUse()-before)/float64(n), "B/record")
	b.ReportMetric(float64(most), "records")
	b.ReportMetric(float64(refused)/float64(calls)*100, "%-refused")
	b.ReportMetric(float64(begin.Nanoseconds())/float64(calls), "ns/begin")
	b.ReportMetric(float64(finish.Nanoseconds())/float64(calls), "ns/finish")
	b.ReportMetric(float64(worst.Microseconds()), "us-worst-begin")
	runtime.KeepAlive(table)
}

func heapInUse() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkRecordsSweep drops the records of a full table, as after a burst, and
// reports the longest time that one call held the guard's mutex.
func BenchmarkRecordsSweep(b *testing.B) {
	for b.Loop() {
		table := NewTable(1)
		for i := range maxRecords {
			id := strconv.Itoa(i)
			table.Begin(Claim{ID: id, Incarnation: 1}, 0)
			table.Finish(id, &Answer{}, 0)
		}
		worst, calls := time.Duration(0), 0
		for now := retention + time.Second; len(table.records) > 0; calls++ {
			start := time.Now()
			table.Check(Claim{ID: "x", Incarnation: 1}, now)
			worst = max(worst, time.Since(start))
			now += time.Millisecond
		}
		b.ReportMetric(float64(worst.Microseconds()), "us-worst")
		b.ReportMetric(float64(calls), "calls")
	}
}
