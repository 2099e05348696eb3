package soaker

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"rosemaryspool.example/standin/emulator"
)

const (
	// accounts is the number of client accounts. Each caller has a key of one of them, and the key of one in rotatedOneIn
	// callers changes with each configuration.
	accounts     = 5
	rotatedOneIn = 4
	// foreignOneIn is how many requests have an unknown key, and how many the caller's former one.
	foreignOneIn = 15
	unknownKey   = "unknown"
	// forgedAccount is what callers send in the header in which instances name the account.
	forgedAccount = "forged"
)

// key is a caller's key and when configurations began and ceased to have it. The times are zero for keys that all
// configurations have; a removed key has been confirmed to be gone.
type key struct {
	text    string
	account string
	issued  time.Time
	removed time.Time
}

// keyring holds the keys of all callers.
type keyring struct {
	mu sync.Mutex
	// current and former hold the keys of each caller; former is nil for a caller that has had one only.
	current []*key
	former  []*key
}

func newKeyring(callers int) *keyring {
	k := &keyring{current: make([]*key, callers), former: make([]*key, callers)}
	for i := range k.current {
		k.current[i] = &key{text: fmt.Sprintf("key-%d-0", i), account: fmt.Sprint("account", i%accounts)}
	}
	return k
}

// rotate replaces the keys that change by those of a version. It returns a function to be called when the store has the
// configuration with them.
func (k *keyring) rotate(version int) (confirm func()) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var issued, removed []*key
	for i := 0; i < len(k.current); i += rotatedOneIn {
		next := &key{text: fmt.Sprintf("key-%d-%d", i, version), account: k.current[i].account}
		issued, removed = append(issued, next), append(removed, k.current[i])
		k.former[i], k.current[i] = k.current[i], next
	}
	return func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		for i := range issued {
			issued[i].issued, removed[i].removed = time.Now(), time.Now()
		}
	}
}

// encode returns the accounts with their keys as a part of the configuration.
func (k *keyring) encode() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	texts := make([][]string, accounts)
	for i, key := range k.current {
		texts[i%accounts] = append(texts[i%accounts], fmt.Sprintf("%q", key.text))
	}
	encoded := make([]string, 0, accounts)
	for i, t := range texts {
		encoded = append(encoded, fmt.Sprintf(`{"name":"account%d","api-keys":[%s]}`, i, strings.Join(t, ",")))
	}
	return strings.Join(encoded, ",")
}

// pick returns the key for a caller's next request; draw decides on foreign ones.
func (k *keyring) pick(caller, draw int) *key {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case draw%foreignOneIn == 0:
		return &key{text: unknownKey}
	case draw%foreignOneIn == 1 && k.former[caller] != nil:
		return k.former[caller]
	}
	return k.current[caller]
}

// auditKeys checks that upstreams get requests of known accounts only, with the account's name instead of the key, that a
// removed key ends with applyLimit, and that no other key is refused.
func (h *history) auditKeys(sent map[string]*attempt) []Violation {
	var violations []Violation
	report := func(a *attempt, format string, values ...any) {
		violations = append(violations, Violation{InvariantKey, a.id, fmt.Sprintf(format, values...)})
	}
	for _, r := range h.arrivals {
		a := sent[r.Header.Get(emulator.HeaderAttempt)]
		switch {
		case a == nil || a.key == nil:
		case r.Header.Get(emulator.HeaderKey) != "":
			report(a, "its key reached %s", r.upstream)
		case a.key.text == unknownKey:
			report(a, "reached %s with an unknown key", r.upstream)
		case r.Header.Get(emulator.HeaderAccount) != a.key.account && !r.PrefillOnly:
			report(a, "reached %s as one of account %q", r.upstream, r.Header.Get(emulator.HeaderAccount))
		case h.appliedBefore(a.key.removed, a):
			report(a, "reached %s %v after its key was removed", r.upstream, a.sent.Sub(a.key.removed))
		}
	}
	for _, a := range h.attempts {
		known := a.key != nil && a.key.text != unknownKey && (a.key.removed.IsZero() || a.ended.Before(a.key.removed))
		if known && a.status == http.StatusUnauthorized && (a.key.issued.IsZero() || h.appliedBefore(a.key.issued, a)) {
			report(a, "its key was refused")
		}
	}
	return violations
}
