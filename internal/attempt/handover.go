package attempt

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/limpetdock/limpetdock/internal/wire"
)

const (
	// maxHandedAnswers bounds the bytes of kept answers that are handed on.
	maxHandedAnswers = 2 << 20
	// maxHandedAnswer bounds one of them, its header included.
	maxHandedAnswer = MaxAnswer + 32<<10
	// maxHold is the longest that a table is kept for a successor.
	maxHold = time.Minute
	// maxFresh bounds how old the platform's word may be at a hand-over.
	maxFresh = 15 * time.Second
	// recordBytes and answerBytes are what a record and an answer take on the
	// wire beside their id, header and body, at most; nameBytes the same of a name.
	recordBytes = 32
	answerBytes = 128
	nameBytes   = 3
)

// KeyTable is what a stopping process knows of callers' own keys: enough for its
// successor to go on as the home without a wait.
type KeyTable struct {
	Head    wire.KeysHead
	Records []wire.KeyRecord
}

// holdFor is how long after its sealing a table may be taken, and freshFor how
// old the platform's word may be on either side. Together, and with what a
// transfer takes, they are under half of keep. A third process of the name that
// nobody here has heard of takes no keys for twice keep after its start, so the
// platform would have to be wrong about it for a whole keep before it matters.
func (k *keyRules) holdFor() time.Duration  { return min(k.keep()/4, maxHold) }
func (k *keyRules) freshFor() time.Duration { return min(k.keep()/8, maxFresh) }

// FreshWithin is how old the platform's word may be when keys are handed or taken.
func (t *Table) FreshWithin() time.Duration { return t.keys.freshFor() }

func (k *keyRules) fresh(now time.Duration) bool {
	return k.now.Addr != "" && k.hasShown && now-k.shown <= k.freshFor()
}

// KeysToHand gives the bytes that the key table takes at most and how long a
// peer may keep it. ok is false if this process isn't certain to be the home.
func (t *Table) KeysToHand(now time.Duration) (bytes int, hold time.Duration, ok bool) {
	t.sweepAll(now)
	k := &t.keys
	if k.handed || !k.fresh(now) || k.contested(now) {
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
	return bytes + min(answers, maxHandedAnswers), k.holdFor(), true
}

func (k *keyRules) headBytes() int {
	n := namesBytes(k.now.Targets)
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

// RecordSize gives what a record takes on the wire, at most, in bytes.
func RecordSize(r *wire.KeyRecord) int {
	n := len(r.ID) + recordBytes
	if r.Answer != nil {
		a := Answer{Header: r.Answer.Header, Body: r.Answer.Body}
		n += a.size() + answerBytes
	}
	return n
}

// SealKeys ends this process's time as a home, for good, and gives its table. A
// run that hasn't ended is told as one whose answer is lost. Later changes of
// this table don't reach the successor, so nothing of a key may start, or be
// called "not run", here any more.
func (t *Table) SealKeys(now time.Duration) (*KeyTable, bool) {
	if _, _, ok := t.KeysToHand(now); !ok {
		return nil, false
	}
	k := &t.keys
	k.handed = true
	out := &KeyTable{Head: wire.KeysHead{
		Incarnation: t.incarnation, Service: k.now.Service, LifetimeMs: k.now.Lifetime.Milliseconds(),
		ReachMs: ageMs(now, k.horizon), Targets: k.now.Targets,
	}}
	for _, e := range k.past {
		out.Head.Past = append(out.Head.Past, wire.KeysEpoch{Targets: e.targets, AgoMs: ageMs(now, e.until)})
	}
	out.Records = t.keyRecords(now)
	out.Head.Records = len(out.Records)
	return out, true
}

// ageMs rounds down, so that a successor takes things for later than they were.
func ageMs(now, at time.Duration) int64 {
	age := (now - at) / time.Millisecond
	if now < at {
		age--
	}
	return int64(age)
}

// keyRecords gives the records of keys, the latest first: copies of these are
// the likeliest, and so their answers are handed while the bound lasts.
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
	left := maxHandedAnswers
	for i := range out {
		left -= settleAnswer(&out[i], left)
	}
	return out
}

// settleAnswer drops an answer for which no room is left, and gives the bytes of
// one that stays.
func settleAnswer(r *wire.KeyRecord, left int) int {
	if r.State == wire.AttemptSealed {
		return 0
	}
	if r.Answer == nil {
		r.State = wire.AttemptLost
		return 0
	}
	size := RecordSize(r)
	if size > min(left, maxHandedAnswer) {
		r.State, r.Answer = wire.AttemptLost, nil
		return 0
	}
	return size
}

// WantsKeys says whether this process may ask for its predecessor's table: the
// platform shows it in its place, and nobody has told of another in between.
func (t *Table) WantsKeys(now time.Duration) bool {
	k := &t.keys
	young := now < k.horizon+k.keep()
	return young && !k.handed && !k.taken && !k.flapped && !k.hasRival && k.fresh(now)
}

// TakeKeys makes a predecessor's table this one's, as if its process had gone
// on: what that one remembered is remembered here, under the rules in force now.
// It says whether it did; a table that may be out of date is refused.
func (t *Table) TakeKeys(kt *KeyTable, now time.Duration) bool {
	k := &t.keys
	h := &kt.Head
	switch {
	case !t.WantsKeys(now), h.Service != k.now.Service:
		return false
	case h.Incarnation >= t.incarnation, h.Incarnation < k.older:
		// The table isn't of the last process before this one.
		return false
	case len(kt.Records) != h.Records, len(t.records)+len(kt.Records) > maxRecords:
		return false
	case slices.ContainsFunc(kt.Records, func(r wire.KeyRecord) bool { return ClassOf(r.ID) != Key }):
		return false
	}
	// The latest come first in the table, and the oldest are dropped first here.
	for i := range slices.Backward(kt.Records) {
		t.restore(&kt.Records[i], now)
	}
	k.succeed(h, now)
	own, past := k.now, k.past
	k.now.Targets, k.now.Lifetime = h.Targets, ms(h.LifetimeMs)
	k.past = nil
	for _, e := range h.Past {
		k.past = append(k.past, epoch{targets: e.Targets, until: now - ms(e.AgoMs)})
	}
	t.SetKeys(own, now)
	k.past = append(k.past, past...)
	return true
}

// succeed puts the predecessor's memory in the place of this process's own.
// That the platform showed the predecessor's address until lately is no sign of
// a third process.
func (k *keyRules) succeed(h *wire.KeysHead, now time.Duration) {
	k.horizon = now - ms(h.ReachMs)
	k.hasElsewhere = false
	k.taken = true
	k.confirmed = k.shown
}

// KeyState tells how a home stands, for people to read.
type KeyState struct {
	// Taken says that the table of the process before was taken, Handed that this
	// one's was sealed for the next.
	Taken  bool `json:"taken"`
	Handed bool `json:"handed"`
	// Wait is how long until keys are taken, as far as the table's age goes.
	Wait time.Duration `json:"wait_ns"`
}

// KeyState gives the state of the home.
func (t *Table) KeyState(now time.Duration) KeyState {
	k := &t.keys
	return KeyState{Taken: k.taken, Handed: k.handed, Wait: max(0, k.horizon+k.keep()-now)}
}

func ms(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// restore adds a predecessor's record. Its age is counted from its sealing, so
// it is kept a little longer than it need be.
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
