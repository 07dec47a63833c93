package headers

import (
	"strconv"
	"strings"
	"time"
)

// LoadReport is the value of the Load header: the load measured by a guard.
type LoadReport struct {
	Running, Waiting, Slots int
	// ServiceTime is how long a slot is held on average. GuardTime is how long this
	// request was at the guard; the entry subtracts it to obtain the RTT.
	ServiceTime, GuardTime time.Duration
}

const loadFieldCount = 5

// String returns the numbers in order, with times in microseconds. It omits names
// because the bytes count against the measuring budget.
func (l LoadReport) String() string {
	text := make([]byte, 0, 32)
	for i, v := range []int64{
		int64(l.Running), int64(l.Waiting), int64(l.Slots), l.ServiceTime.Microseconds(), l.GuardTime.Microseconds(),
	} {
		if i > 0 {
			text = append(text, ',')
		}
		text = strconv.AppendInt(text, v, 10)
	}
	return string(text)
}

// LineSize returns the size of a header line in HTTP/1.1, in bytes.
func LineSize(name, value string) int { return len(name) + len(": ") + len(value) + len("\r\n") }

// ParseLoad parses the output of String; ok is false for any other text.
func ParseLoad(text string) (l LoadReport, ok bool) {
	fields := strings.Split(text, ",")
	if len(fields) != loadFieldCount {
		return l, false
	}
	var v [loadFieldCount]int64
	for i, f := range fields {
		n, err := strconv.ParseUint(f, 10, 31)
		if err != nil {
			return l, false
		}
		v[i] = int64(n)
	}
	return LoadReport{
		Running: int(v[0]), Waiting: int(v[1]), Slots: int(v[2]),
		ServiceTime: time.Duration(v[3]) * time.Microsecond, GuardTime: time.Duration(v[4]) * time.Microsecond,
	}, true
}
