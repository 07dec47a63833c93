package attempt

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// A copy of a request with an idempotency key (key, for short) may arrive at the key's home,
// the one target that accepts the key, later than its caller sent it. Each delay on its way
// is bounded. A home keeps records longer by the sum of the bounds, and after its process
// starts waits longer by it before accepting keys.
const (
	// MaxKeyPause is how long a node may have been paused with the copy in its socket's
	// buffer; after a longer pause it refuses such copies.
	MaxKeyPause = 5 * time.Second
	// MaxKeyDelay is how long after its arrival a node may send it to the home.
	MaxKeyDelay = 5 * time.Second
	// keyWindow is how old the home's timestamp (tick) carried by the copy may be.
	keyWindow = 5 * time.Second
	keySlack  = MaxKeyPause + MaxKeyDelay + keyWindow
	// minLifetime is the shortest lifetime used in these calculations: a confirmation by
	// the platform must last longer than the interval between two of them.
	minLifetime = 30 * time.Second
)

// KeyConfig holds the rules for callers' own keys from the configuration in force.
type KeyConfig struct {
	// Service and Self are the guard's service and VM.
	Service, Self string
	// Targets are the VMs of the service's targets as declared.
	Targets []string
	// Lifetime is how long a caller may send a key again.
	Lifetime time.Duration
	// Addr is the VM's own address; if empty, the first listed address is used.
	Addr string
}

// Home returns the home of a key: the target with the highest hash of service, key and
// VM (rendezvous hashing; Thaler and Ravishankar, 1998). It depends on the declared
// targets and not on which seem alive, so nodes with different views of liveness
// agree, and a change of targets moves few keys.
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

// keyRules decides which keys a table accepts. A key has no timestamp and may be older
// than the oldest record, so it is accepted only if every copy of it that is young
// enough to be sent again would have left a record here.
type keyRules struct {
	current KeyConfig
	// horizon is the time from which this table's records are complete. It may be in the
	// future, while another process may still accept keys.
	horizon time.Duration
	// past lists the targets declared before, and until when.
	past []pastTargets
	// confirmedAt is the start of the current confirmation's validity: when the platform last
	// listed this VM under its address, or when the service was first set or last changed if
	// that is later. ExpireConfirmation sets it back.
	confirmedAt time.Duration
	firstAddr   string
	// listedAt is when the platform last listed this VM under its address. Unlike confirmedAt
	// it isn't preset at the start of a process.
	listedAt  time.Duration
	hasListed bool
	// otherAddrAt is when the platform last listed this VM under another address.
	otherAddrAt  time.Duration
	hasOtherAddr bool
	// addressChanged is true if that happened after the own address had been listed.
	addressChanged bool
	// newerSeenAt is when a newer incarnation of this VM was last seen, if hasNewer.
	newerSeenAt time.Duration
	hasNewer    bool
	// predecessor is the newest incarnation seen of this VM that is older than the own
	// one.
	predecessor uint64
	// sealed is true once the keys have been handed over to a successor; none is accepted.
	sealed bool
	// restored is true once a predecessor's table has been restored.
	restored bool
}

// pastTargets is a list of targets that was declared until a time.
type pastTargets struct {
	targets []string
	until   time.Duration
}

// maxPastTargets bounds the earlier target lists; with more, every key has to wait.
const maxPastTargets = 128

// retention is how long a key's record is kept after its last change.
func (k *keyRules) retention() time.Duration { return max(k.current.Lifetime, minLifetime) + keySlack }

// confirmationTTL is how long one confirmation by the platform is valid.
func (k *keyRules) confirmationTTL() time.Duration { return max(k.retention()/2, minLifetime) }

// replacementDelay is how long another process, which was the home until now and is
// cut off, may continue to accept keys: confirmationTTL after the platform's last
// confirmation, plus an allowance for the platform's own lag. The allowance is the rest of
// retention: half of it, or what exceeds minLifetime if that is less. What that process
// runs in this time leaves no record here, so the history of this table begins after the
// delay.
func (k *keyRules) replacementDelay() time.Duration { return k.retention() }

// SetKeys applies new rules.
func (t *Table) SetKeys(rules KeyConfig, now time.Duration) {
	t.sweep(now)
	k := &t.keys
	old, before := k.current, k.retention()
	k.current = rules
	if old.Service != rules.Service {
		k.horizon, k.confirmedAt, k.past = now+k.replacementDelay(), now, nil
		// Earlier listings could not be assigned to an address.
		k.hasListed, k.hasOtherAddr, k.addressChanged = false, false, false
		return
	}
	if k.retention() > before {
		// Records were dropped under the shorter lifetime.
		k.horizon = max(k.horizon, now-before)
	}
	k.past = slices.DeleteFunc(k.past, func(e pastTargets) bool { return now-e.until > k.replacementDelay()+k.retention() })
	if slices.Equal(old.Targets, rules.Targets) {
		return
	}
	k.past = append(k.past, pastTargets{targets: old.Targets, until: now})
	if len(k.past) > maxPastTargets {
		k.horizon, k.past = now+k.replacementDelay(), nil
	}
}

// Confirm records that the platform has just listed this VM under an address. Only the own
// address confirms this process; another one is recorded as evidence against it. Another
// address than this process's own means that the VM was replaced while this process
// still runs, or that this process isn't listed yet: what the process at that address
// runs leaves no record here. If the own address isn't known, the first listed one is
// used. It may be out of date, and then no keys are accepted.
func (t *Table) Confirm(addr string, now time.Duration) {
	k := &t.keys
	if k.firstAddr == "" {
		k.firstAddr = addr
	}
	own := k.current.Addr
	if own == "" {
		own = k.firstAddr
	}
	if addr != own {
		k.otherAddrAt, k.hasOtherAddr = max(k.otherAddrAt, now), true
		k.addressChanged = k.addressChanged || k.hasListed
		return
	}
	k.confirmedAt = max(k.confirmedAt, now)
	if !k.hasListed {
		// Until now another process may have been listed for the VM.
		k.horizon = max(k.horizon, now+k.replacementDelay())
	}
	k.listedAt, k.hasListed = max(k.listedAt, now), true
}

// ExpireConfirmation discards the last Confirm, because the VM was suspended: time has
// passed that this table's clock didn't count.
func (t *Table) ExpireConfirmation() {
	k := &t.keys
	k.confirmedAt = -k.retention()
	k.listedAt = -k.retention()
}

// ConfirmationTTL is how long one Confirm is valid.
func (t *Table) ConfirmationTTL() time.Duration { return t.keys.confirmationTTL() }

// NoteIncarnation records that another incarnation of this VM has been seen. Until
// replacementDelay plus retention after a newer one was last seen, no keys are accepted:
// there must not be two homes.
func (t *Table) NoteIncarnation(incarnation uint64, now time.Duration) {
	k := &t.keys
	switch {
	case incarnation > t.incarnation:
		k.newerSeenAt, k.hasNewer = now, true
	case incarnation < t.incarnation:
		k.predecessor = max(k.predecessor, incarnation)
	}
}

// accepts reports whether a request with the key may start here now.
func (k *keyRules) accepts(id string, now time.Duration) bool {
	v, _ := k.check(id, now)
	return v == Start
}

// check returns Start if a request with the key may start here now, otherwise the reason why
// not, and for TooEarly how long to wait.
func (k *keyRules) check(id string, now time.Duration) (v Verdict, wait time.Duration) {
	if k.sealed {
		return HandedOver, 0
	}
	key := strings.TrimPrefix(id, keyPrefix)
	if Home(k.current.Service, key, k.current.Targets) != k.current.Self {
		return NotHome, 0
	}
	if wait := k.horizon + k.retention() - now; wait > 0 {
		return TooEarly, wait
	}
	for _, e := range k.past {
		wait := e.until + k.replacementDelay() + k.retention() - now
		if wait > 0 && Home(k.current.Service, key, e.targets) != k.current.Self {
			return TooEarly, wait
		}
	}
	// A process that was replaced without noticing stops accepting keys within
	// replacementDelay. Until then its replacement accepts none that may have run in this
	// process.
	if k.contested(now) || now-k.confirmedAt > k.confirmationTTL() {
		return Unconfirmed, 0
	}
	return Start, 0
}

// contested reports whether another process of this VM's name may have run requests
// with keys within the time that copies can still arrive.
func (k *keyRules) contested(now time.Duration) bool {
	within := k.replacementDelay() + k.retention()
	return k.hasNewer && now-k.newerSeenAt <= within || k.hasOtherAddr && now-k.otherAddrAt <= within
}
