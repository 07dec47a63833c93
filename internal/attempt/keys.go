package attempt

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Keys are the rules for callers' own keys, out of the configuration in force.
type Keys struct {
	// Service and Self are the guard's service and VM.
	Service, Self string
	// Targets are the VMs of the service's targets as declared.
	Targets []string
	// Lifetime is how long a caller may send a key again.
	Lifetime time.Duration
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
	// confirmed is when the platform last showed this VM under addr.
	confirmed  time.Duration
	addr       string
	superseded bool
}

type epoch struct {
	targets []string
	until   time.Duration
}

// maxEpochs bounds the earlier target lists; with more, every key waits.
const maxEpochs = 128

// keep is how long a key's record outlives its last change. Beyond the
// lifetime, a copy may be held up by an entry and on its way, a Window each.
func (k *keyRules) keep() time.Duration { return k.now.Lifetime + keep }

// SetKeys puts rules in force.
func (t *Table) SetKeys(rules Keys, now time.Duration) {
	t.sweep(now)
	k := &t.keys
	old, before := k.now, k.keep()
	k.now = rules
	if old.Service != rules.Service {
		k.horizon, k.confirmed, k.past = now, now, nil
		return
	}
	if k.keep() > before {
		// Records were dropped under the shorter lifetime.
		k.horizon = max(k.horizon, now-before)
	}
	k.past = slices.DeleteFunc(k.past, func(e epoch) bool { return now-e.until > k.keep() })
	if slices.Equal(old.Targets, rules.Targets) {
		return
	}
	k.past = append(k.past, epoch{targets: old.Targets, until: now})
	if len(k.past) > maxEpochs {
		k.horizon, k.past = now, nil
	}
}

// Confirm notes that the platform has just shown this VM under an address.
// Another address than the one this process began to take keys under means
// that the VM was replaced, and confirms nothing.
func (t *Table) Confirm(addr string, now time.Duration) {
	k := &t.keys
	if now < k.horizon+k.keep() {
		k.addr = addr
	}
	if addr == k.addr {
		k.confirmed = max(k.confirmed, now)
	}
}

// Supersede notes that another incarnation of this VM has been seen that is
// newer: two homes must not take keys side by side.
func (t *Table) Supersede() { t.keys.superseded = true }

func (k *keyRules) takes(id string, now time.Duration) bool {
	v, _ := k.check(id, now)
	return v == Start
}

func (k *keyRules) check(id string, now time.Duration) (v Verdict, wait time.Duration) {
	key := strings.TrimPrefix(id, keyPrefix)
	if Home(k.now.Service, key, k.now.Targets) != k.now.Self {
		return NotHome, 0
	}
	if wait := k.horizon + k.keep() - now; wait > 0 {
		return Young, wait
	}
	for _, e := range k.past {
		wait := e.until + k.keep() - now
		if wait > 0 && Home(k.now.Service, key, e.targets) != k.now.Self {
			return Young, wait
		}
	}
	// A process that was replaced without noticing stops taking keys before its
	// replacement, which waits for the whole of keep, begins to.
	if k.superseded || now-k.confirmed > k.keep()/2 {
		return Unconfirmed, 0
	}
	return Start, 0
}
