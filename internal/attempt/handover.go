package attempt

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/limpetdock/limpetdock/internal/wire"
)

const (
	// maxAnswersBytes bounds the bytes of stored answers that are handed over.
	maxAnswersBytes = 2 << 20
	// maxAnswerBytes bounds one of them, its header included.
	maxAnswerBytes = MaxAnswer + 32<<10
	// maxHold is the longest time that a peer stores a table for a successor.
	maxHold = time.Minute
	// maxConfirmationAge bounds how old the platform's last listing may be at a
	// handover.
	maxConfirmationAge = 15 * time.Second
	// recordBytes and answerBytes are the largest overhead of a record and an answer on
	// the wire besides id, header and body; nameBytes is the same for a name.
	recordBytes = 32
	answerBytes = 128
	nameBytes   = 3
)

// KeyTable is a stopping process's knowledge of callers' own keys. It is enough for
// its successor to act as the home without waiting.
type KeyTable struct {
	Head    wire.KeysHead
	Records []wire.KeyRecord
}

// holdTime is how long after its sealing a table may be used, and freshness how old
// the platform's last listing may be on either side. Together with the transfer time
// they are less than half of the retention. A third process of the same name that has
// not been seen here accepts no keys for twice the retention after its start. So a
// wrong listing by the platform does harm only if it lasts for a whole retention.
func (k *keyRules) holdTime() time.Duration  { return min(k.retention()/4, maxHold) }
func (k *keyRules) freshness() time.Duration { return min(k.retention()/8, maxConfirmationAge) }

// MaxConfirmationAge is how old the platform's last listing may be when keys are
// handed over or restored.
func (t *Table) MaxConfirmationAge() time.Duration { return t.keys.freshness() }

func (k *keyRules) confirmedRecently(now time.Duration) bool {
	return k.current.Addr != "" && k.hasListed && now-k.listedAt <= k.freshness()
}

// HandoverSize returns the largest size of the key table in bytes and how long a peer
// may store it. ok is false if this process isn't certain to be the home.
func (t *Table) HandoverSize(now time.Duration) (bytes int, hold time.Duration, ok bool) {
	t.sweepAll(now)
	k := &t.keys
	if k.sealed || !k.confirmedRecently(now) || k.contested(now) {
		return 0, 0, false
	}
	answers := 0
	bytes = k.headBytes()
	for id, r := range t.records {
		if ClassOf(id) != Key {
			continue
		}
		bytes += len(id) + recordBytes
		if r.answer != nil {
			answers += r.answer.size() + answerBytes
		}
	}
	return bytes + min(answers, maxAnswersBytes), k.holdTime(), true
}

func (k *keyRules) headBytes() int {
	n := namesBytes(k.current.Targets)
	for _, e := range k.past {
		n += namesBytes(e.targets)
	}
	return n + recordBytes
}

func namesBytes(names []string) int {
	n := recordBytes
	for _, name := range names {
		n += len(name) + nameBytes
	}
	return n
}

// RecordSize returns the largest size of a record on the wire, in bytes.
func RecordSize(r *wire.KeyRecord) int {
	n := len(r.ID) + recordBytes
	if r.Answer != nil {
		a := Answer{Header: r.Answer.Header, Body: r.Answer.Body}
		n += a.size() + answerBytes
	}
	return n
}

// SealKeys permanently ends this process's role as a home and returns its table. A run
// that hasn't ended is reported as one whose answer is lost. Later changes of this
// table don't reach the successor, so no key may start here, or be reported as "not
// run", any more.
func (t *Table) SealKeys(now time.Duration) (*KeyTable, bool) {
	if _, _, ok := t.HandoverSize(now); !ok {
		return nil, false
	}
	k := &t.keys
	k.sealed = true
	out := &KeyTable{Head: wire.KeysHead{
		Incarnation: t.incarnation, Service: k.current.Service, LifetimeMs: k.current.Lifetime.Milliseconds(),
		HistoryMs: ageMs(now, k.horizon), Targets: k.current.Targets,
	}}
	for _, e := range k.past {
		out.Head.Past = append(out.Head.Past, wire.KeysEpoch{Targets: e.targets, AgoMs: ageMs(now, e.until)})
	}
	out.Records = t.keyRecords(now)
	out.Head.Records = len(out.Records)
	return out, true
}

// ageMs rounds down, so that a successor treats events as later than they were.
func ageMs(now, at time.Duration) int64 {
	age := (now - at) / time.Millisecond
	if now < at {
		age--
	}
	return int64(age)
}

// keyRecords returns the records of keys, the latest first. Copies of the latest are
// the most likely, so their answers are handed over first, up to maxAnswersBytes.
func (t *Table) keyRecords(now time.Duration) []wire.KeyRecord {
	var out []wire.KeyRecord
	for id, r := range t.records {
		if ClassOf(id) != Key {
			continue
		}
		one := wire.KeyRecord{ID: id, State: r.state, Fingerprint: r.fingerprint, AgoMs: ageMs(now, r.changed)}
		if r.answer != nil {
			one.Answer = &wire.KeyAnswer{Status: r.answer.Status, Header: r.answer.Header, Body: r.answer.Body}
		}
		out = append(out, one)
	}
	slices.SortFunc(out, func(a, b wire.KeyRecord) int {
		return cmp.Or(cmp.Compare(a.AgoMs, b.AgoMs), strings.Compare(a.ID, b.ID))
	})
	remaining := maxAnswersBytes
	for i := range out {
		remaining -= trimAnswer(&out[i], remaining)
	}
	return out
}

// trimAnswer drops an answer that exceeds the remaining bytes, and returns the bytes
// of one that is kept.
func trimAnswer(r *wire.KeyRecord, remaining int) int {
	if r.State == wire.AttemptSealed {
		return 0
	}
	if r.Answer == nil {
		r.State = wire.AttemptLost
		return 0
	}
	size := RecordSize(r)
	if size > min(remaining, maxAnswerBytes) {
		r.State, r.Answer = wire.AttemptLost, nil
		return 0
	}
	return size
}

// NeedsKeys reports whether this process may ask for its predecessor's table: the
// platform lists this process under its own address, and no other process of this VM
// has been seen since the predecessor.
func (t *Table) NeedsKeys(now time.Duration) bool {
	k := &t.keys
	young := now < k.horizon+k.retention()
	return young && !k.sealed && !k.restored && !k.addressChanged && !k.hasNewer && k.confirmedRecently(now)
}

// RestoreKeys adds a predecessor's records to this table, under the rules in force
// now, as if that process had continued. It reports whether it did; a table that may
// be out of date is refused.
func (t *Table) RestoreKeys(kt *KeyTable, now time.Duration) bool {
	k := &t.keys
	h := &kt.Head
	switch {
	case !t.NeedsKeys(now), h.Service != k.current.Service:
		return false
	case h.Incarnation >= t.incarnation, h.Incarnation < k.predecessor:
		// The table isn't that of the process directly before this one.
		return false
	case len(kt.Records) != h.Records, len(t.records)+len(kt.Records) > maxRecords:
		return false
	case slices.ContainsFunc(kt.Records, func(r wire.KeyRecord) bool { return ClassOf(r.ID) != Key }):
		return false
	}
	// The latest come first in kt, and the oldest are dropped first here.
	for i := range slices.Backward(kt.Records) {
		t.restore(&kt.Records[i], now)
	}
	k.adopt(h, now)
	own, past := k.current, k.past
	k.current.Targets, k.current.Lifetime = h.Targets, ms(h.LifetimeMs)
	k.past = nil
	for _, e := range h.Past {
		k.past = append(k.past, pastTargets{targets: e.Targets, until: now - ms(e.AgoMs)})
	}
	t.SetKeys(own, now)
	k.past = append(k.past, past...)
	return true
}

// adopt replaces the history of this process by its predecessor's. A recent listing of
// the predecessor's address is no sign of a third process.
func (k *keyRules) adopt(h *wire.KeysHead, now time.Duration) {
	k.horizon = now - ms(h.HistoryMs)
	k.hasOtherAddr = false
	k.restored = true
	k.confirmedAt = k.listedAt
}

// KeyState describes a home of keys on the status page.
type KeyState struct {
	// Restored is true if the predecessor's table was restored, HandedOver if this
	// process's table was sealed for its successor.
	Restored   bool `json:"taken"`
	HandedOver bool `json:"handed"`
	// Wait is how long until keys are accepted, by the age of the table alone.
	Wait time.Duration `json:"wait_ns"`
}

// KeyState returns the state of the home.
func (t *Table) KeyState(now time.Duration) KeyState {
	k := &t.keys
	return KeyState{Restored: k.restored, HandedOver: k.sealed, Wait: max(0, k.horizon+k.retention()-now)}
}

func ms(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// restore adds a predecessor's record. Its age is counted from the sealing of the
// table, so it is kept slightly longer than necessary.
func (t *Table) restore(in *wire.KeyRecord, now time.Duration) {
	if t.records[in.ID] != nil {
		return
	}
	r := &record{fingerprint: in.Fingerprint}
	t.records[in.ID] = r
	t.end(in.ID, r, wire.AttemptLost, now-ms(in.AgoMs))
	switch {
	case in.State == wire.AttemptSealed:
		r.state = wire.AttemptSealed
	case in.State == wire.AttemptDone && in.Answer != nil:
		a := &Answer{Status: in.Answer.Status, Header: in.Answer.Header, Body: in.Answer.Body}
		if len(a.Body) <= MaxAnswer && t.stored+a.size() <= maxStored {
			r.state, r.answer = wire.AttemptDone, a
			t.stored += a.size()
		}
	}
}
