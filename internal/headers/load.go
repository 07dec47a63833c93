package headers

import (
	"strconv"
	"strings"
	"time"
)

// LoadReport is the value of the Load header: a guard's own counts.
type LoadReport struct {
	Running, Waiting, Slots int
	// Service is how long a slot is held on average; Held is how long the
	// guard had this request, so that the entry can tell the way from the work.
	Service, Held time.Duration
}

const loadFields = 5

// String gives the numbers in order, times in microseconds: every byte of it is
// paid for, so there are no names in it.
func (l LoadReport) String() string {
	text := make([]byte, 0, 32)
	for i, v := range []int64{
		int64(l.Running), int64(l.Waiting), int64(l.Slots), l.Service.Microseconds(), l.Held.Microseconds(),
	} {
		if i > 0 {
			text = append(text, ',')
		}
		text = strconv.AppendInt(text, v, 10)
	}
	return string(text)
}

// LineSize is how many bytes a header takes on the wire in HTTP/1.1.
func LineSize(name, value string) int { return len(name) + len(": ") + len(value) + len("\r\n") }

// ParseLoad reads what String gave; ok is false for anything else.
func ParseLoad(text string) (l LoadReport, ok bool) {
	fields := strings.Split(text, ",")
	if len(fields) != loadFields {
		return l, false
	}
	var v [loadFields]int64
	for i, f := range fields {
		n, err := strconv.ParseUint(f, 10, 31)
		if err != nil {
			return l, false
		}
		v[i] = int64(n)
	}
	return LoadReport{
		Running: int(v[0]), Waiting: int(v[1]), Slots: int(v[2]),
		Service: time.Duration(v[3]) * time.Microsecond, Held: time.Duration(v[4]) * time.Microsecond,
	}, true
}
