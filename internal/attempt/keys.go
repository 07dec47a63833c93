package attempt

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// A copy of a key may come later than its caller sent it. Each part of its way
// is bounded, and homes keep records and wait after a start that much longer.
const (
	// KeyPause is how long a node may have been paused with the copy in its
	// socket's buffer; after a longer pause it refuses such copies.
	KeyPause = 5 * time.Second
	// KeyDelay is how long after its arrival a node may offer it to the home.
	KeyDelay = 5 * time.Second
	// keyWindow is how old the home's tick may be in it.
	keyWindow = 5 * time.Second
	keySlack  = KeyPause + KeyDelay + keyWindow
	// minLifetime is the least lifetime that is counted with: a confirmation by
	// the platform must last longer than it takes to come round.
	minLifetime = 30 * time.Second
)

// Keys are the rules for callers' own keys, out of the configuration in force.
type Keys struct {
	// Service and Self are the guard's service and VM.
	Service, Self string
	// Targets are the VMs of the service's targets as declared.
	Targets []string
	// Lifetime is how long a caller may send a key again.
	Lifetime time.Duration
	// Addr is the VM's own address; when empty, the one first listed is taken for it.
	Addr string
}

// Home finds the home of a key: the target with the highest hash of service,
// key and VM (rendezvous hashing; Thaler and Ravishankar, 1998). It depends on
// what is declared and not on what seems alive, so nodes with different views
// of liveness agree, and a change of targets moves few keys.
func Home(service, key string, targets []string) string {
	best, home := uint64(0), ""
	for _, vm := range targets {
		h := xxhash.Sum64String(service + "\x00" + key + "\x00" + vm)
		if home == "" || h > best || h == best && vm < home {
			best, home = h, vm
		}
	}
	return home
}

// keyRules say which keys a table may take. A key has no date in it: it may be
// older than what the table remembers, so a key is taken only if every copy of
// it that is young enough to be sent again would have left a record here.
type keyRules struct {
	now Keys
	// horizon is the time since when no key's record has been dropped early.
	horizon time.Duration
	// past are the targets declared before, and until when.
	past []epoch
	// confirmed is when the platform last showed this VM under its address.
	confirmed time.Duration
	firstAddr string
	// shown is the same without the benefit of the doubt that a new process gets.
	shown    time.Duration
	hasShown bool
	// elsewhere is when the platform last showed this VM under another address.
	elsewhere    time.Duration
	hasElsewhere bool
	// flapped says that this happened after the own address had been shown.
	flapped bool
	// rival is when a newer incarnation of this VM was last heard of, if hasRival.
	rival    time.Duration
	hasRival bool
	// older is the newest incarnation of this VM below the own one that was heard of.
	older uint64
	// handed says that the keys have been sealed to be handed to a successor.
	handed bool
	// taken says that a predecessor's table has been taken.
	taken bool
}

type epoch struct {
	targets []string
	until   time.Duration
}

// maxEpochs bounds the earlier target lists; with more, every key waits.
const maxEpochs = 128

// keep is how long a key's record outlives its last change.
func (k *keyRules) keep() time.Duration { return max(k.now.Lifetime, minLifetime) + keySlack }

// confirmedFor is how long one word of the platform lasts.
func (k *keyRules) confirmedFor() time.Duration { return max(k.keep()/2, minLifetime) }

// lapse is how long another process, which was the home until now and is cut
// off, may go on taking keys: for confirmedFor after the platform's last word,
// and the rest is for the platform's own lag. What that process runs meanwhile
// leaves no record here, so only what happened after the lapse is remembered.
func (k *keyRules) lapse() time.Duration { return k.keep() }

// SetKeys puts rules in force.
func (t *Table) SetKeys(rules Keys, now time.Duration) {
	t.sweep(now)
	k := &t.keys
	old, before := k.now, k.keep()
	k.now = rules
	if old.Service != rules.Service {
		k.horizon, k.confirmed, k.past = now+k.lapse(), now, nil
		// Whose address was shown could not be told before.
		k.hasShown, k.hasElsewhere, k.flapped = false, false, false
		return
	}
	if k.keep() > before {
		// Records were dropped under the shorter lifetime.
		k.horizon = max(k.horizon, now-before)
	}
	k.past = slices.DeleteFunc(k.past, func(e epoch) bool { return now-e.until > k.lapse()+k.keep() })
	if slices.Equal(old.Targets, rules.Targets) {
		return
	}
	k.past = append(k.past, epoch{targets: old.Targets, until: now})
	if len(k.past) > maxEpochs {
		k.horizon, k.past = now+k.lapse(), nil
	}
}

// Confirm notes that the platform has just shown this VM under an address.
// Another address than this process's own means that the VM was replaced while
// this process lives on, or isn't listed yet: what the process there runs leaves
// no record here. What the platform showed first is the second best: it may be
// old news, and then no keys are taken.
func (t *Table) Confirm(addr string, now time.Duration) {
	k := &t.keys
	if k.firstAddr == "" {
		k.firstAddr = addr
	}
	own := k.now.Addr
	if own == "" {
		own = k.firstAddr
	}
	if addr != own {
		k.elsewhere, k.hasElsewhere = max(k.elsewhere, now), true
		k.flapped = k.flapped || k.hasShown
		return
	}
	k.confirmed = max(k.confirmed, now)
	if !k.hasShown {
		// Until now the VM may have been another process's.
		k.horizon = max(k.horizon, now+k.lapse())
	}
	k.shown, k.hasShown = max(k.shown, now), true
}

// Doubt takes the last Confirm back: time has passed that this table's clock
// didn't count.
func (t *Table) Doubt() {
	k := &t.keys
	k.confirmed = -k.keep()
	k.shown = -k.keep()
}

// ConfirmWithin is how long one Confirm lasts.
func (t *Table) ConfirmWithin() time.Duration { return t.keys.confirmedFor() }

// Heard notes that another incarnation of this VM has been heard of. Beside a
// newer one no keys are taken: there must not be two homes.
func (t *Table) Heard(incarnation uint64, now time.Duration) {
	k := &t.keys
	switch {
	case incarnation > t.incarnation:
		k.rival, k.hasRival = now, true
	case incarnation < t.incarnation:
		k.older = max(k.older, incarnation)
	}
}

func (k *keyRules) takes(id string, now time.Duration) bool {
	v, _ := k.check(id, now)
	return v == Start
}

func (k *keyRules) check(id string, now time.Duration) (v Verdict, wait time.Duration) {
	if k.handed {
		return Handed, 0
	}
	key := strings.TrimPrefix(id, keyPrefix)
	if Home(k.now.Service, key, k.now.Targets) != k.now.Self {
		return NotHome, 0
	}
	if wait := k.horizon + k.keep() - now; wait > 0 {
		return Young, wait
	}
	for _, e := range k.past {
		wait := e.until + k.lapse() + k.keep() - now
		if wait > 0 && Home(k.now.Service, key, e.targets) != k.now.Self {
			return Young, wait
		}
	}
	// A process that was replaced without noticing stops taking keys within the
	// lapse, and its replacement takes none that may have run here until then.
	if k.contested(now) || now-k.confirmed > k.confirmedFor() {
		return Unconfirmed, 0
	}
	return Start, 0
}

// contested says whether another process of this VM's name may have run keys in
// the time that matters.
func (k *keyRules) contested(now time.Duration) bool {
	within := k.lapse() + k.keep()
	return k.hasRival && now-k.rival <= within || k.hasElsewhere && now-k.elsewhere <= within
}
