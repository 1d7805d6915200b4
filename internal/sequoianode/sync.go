package sequoianode

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaevacuation"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiakeyspace"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaowner"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaregistry"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiarouter"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatimer"
)

// secret returns the shared secret of the deployment, retrying until the store is available. The first process to start
// generates the secret and writes it to the store, which only processes of the deployment can read.
func (n *Node) secret(ctx context.Context) ([]byte, error) {
	failing, began := false, time.Now()
	for {
		secret, err := n.readSecret(ctx)
		if errors.Is(err, sequoiaregistry.ErrNotFound) && (n.settings.FirstStart || time.Since(began) > lostSecretWait) {
			secret, err = n.createSecret(ctx, []byte(randomID(secretBytes)))
		}
		if err == nil {
			return secret, nil
		}
		if ctx.Err() != nil {
			return nil, errors.Wrap(ctx.Err(), "read the secret")
		}
		if !failing {
			failing = true
			n.log.Event("store unavailable", "Purpose", "Secret", "Error", err)
		}
		_ = sequoiatimer.Sleep(ctx, secretRetryPause)
	}
}

func (n *Node) readSecret(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, sequoiaregistry.CallTimeout)
	defer cancel()
	it, err := n.store.Get(ctx, secretKey)
	return it.Value, err
}

// createSecret writes the secret to the store if there is none, and returns the one that the store then holds.
func (n *Node) createSecret(ctx context.Context, secret []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, sequoiaregistry.CallTimeout)
	defer cancel()
	put := sequoiaregistry.Item{Key: secretKey, Value: secret}
	tx := sequoiaregistry.Transaction{Expected: map[string]uint64{secretKey: 0}, Puts: []sequoiaregistry.Item{put}}
	if _, err := n.store.Commit(ctx, tx); err != nil && !errors.Is(err, sequoiaregistry.ErrConflict) {
		return nil, err
	}
	return n.readSecret(ctx)
}

// restoreSecret writes the secret of this process again if the store has lost it in a restore.
func (n *Node) restoreSecret(ctx context.Context, secret []byte) {
	for ctx.Err() == nil {
		current, err := n.readSecret(ctx)
		if errors.Is(err, sequoiaregistry.ErrNotFound) {
			current, err = n.createSecret(ctx, secret)
		}
		if err == nil {
			if !bytes.Equal(current, secret) {
				n.log.Event("the store holds another secret, so processes that start cannot be reached")
			}
			return
		}
		n.log.Event("failed to restore the secret", "Error", err)
		_ = sequoiatimer.Sleep(ctx, secretRetryPause)
	}
}

// startStoreSync registers the process in the store and starts watching the members, and the configuration and the other
// items of the operator.
func (n *Node) startStoreSync(ctx context.Context) {
	membersWatch := n.watches.add(memberPrefix, memberQuestionWait)
	configurationWatch := n.watches.add(n.dialect.OperatorPrefix, configurationQuestionWait)
	members := &sequoiaregistry.Watcher{
		Store: membersWatch.store(), Prefix: memberPrefix, Wait: memberWatchTimeout, CallLimit: watchCallLimit(memberWatchTimeout),
		Now: sequoiatimer.BootTime, OnItems: n.onStoreItems, OnListed: n.onMembersListed, OnError: n.storeFaultHandler("members"),
		OnCurrent: func(time.Time) {
			if asOf, ok := membersWatch.currentAsOf(); ok {
				n.withCore(func(c *sequoiaowner.Core) { c.ConfirmView(asOf) })
			}
		},
		BatchDelay: func() time.Duration {
			return membersWatch.batchDelay(min(maxWatchPause, time.Duration(n.memberCount())*watchPausePerMember))
		},
	}
	configuration := &sequoiaregistry.Watcher{
		Store: configurationWatch.store(), Prefix: n.dialect.OperatorPrefix, Wait: configurationWatchTimeout,
		CallLimit: watchCallLimit(configurationWatchTimeout), Now: sequoiatimer.BootTime,
		OnItems: n.onStoreItems, OnListed: n.onOperatorListed, OnError: n.storeFaultHandler("configuration"),
		OnCurrent: func(time.Time) {
			if asOf, ok := configurationWatch.currentAsOf(); ok {
				n.operatorItemsCurrent(asOf)
			}
		},
	}
	n.watches.onLate(n.dialect.OperatorPrefix, configuration.Refresh)
	registration := n.newRegistration(func() {
		members.Refresh()
		configuration.Refresh()
	})
	n.mu.Lock()
	n.registration = registration
	n.mu.Unlock()
	registration.Start(ctx)
	go members.Run(ctx)
	go configuration.Run(ctx)
}

// newRegistration returns the registration of this process, which calls regained when the store is reached again.
func (n *Node) newRegistration(regained func()) *sequoiaregistry.Registration {
	logFault := n.storeFaultHandler("registration")
	return &sequoiaregistry.Registration{
		Store: n.store, Key: memberPrefix + n.settings.Instance, RecordKey: registrationPrefix + n.settings.Instance,
		Value: n.encodedOwnMember, Record: n.encodedRecord, OnRecord: n.onRegistrationRecord, Now: sequoiatimer.BootTime, ReadTable: n.readTable,
		OnConfirmed: func(sent time.Time) { n.withCore(func(c *sequoiaowner.Core) { c.ConfirmRegistration(sent) }) },
		OnCallFailed: func() {
			n.withCore(func(c *sequoiaowner.Core) { c.MarkRegistrationUnconfirmed() })
			n.watches.lose()
		},
		Confirmed: func() (ok bool) {
			n.withCore(func(c *sequoiaowner.Core) { ok = c.RegistrationConfirmed() })
			return ok
		},
		OnRegistered: func(revision, lease uint64, record []byte) {
			n.withCore(func(c *sequoiaowner.Core) {
				c.MarkRegistered(sequoiatimer.BootTime(), revision, lease)
				n.recorded = decodeRecord(record)
				n.notifyOwnershipChanged()
			})
			n.log.Event("registered in the store", "Revision", revision, "Lease", lease)
		},
		OnError: func(err error) {
			logFault(err)
			if err == nil {
				regained()
			}
		},
	}
}

// storeFaultHandler returns a callback that logs the loss and the recovery of store access for the given purpose.
func (n *Node) storeFaultHandler(purpose string) func(err error) {
	return func(err error) {
		if err != nil {
			n.metrics.storeFaults.Inc()
			n.log.Event("store lost", "Purpose", purpose, "Error", err)
			return
		}
		n.log.Event("store regained", "Purpose", purpose)
	}
}

func (n *Node) encodedOwnMember() []byte {
	n.mu.Lock()
	defer n.mu.Unlock()
	b, err := json.Marshal(n.ownMember())
	if err != nil {
		panic(err) // Every value of the type can be encoded.
	}
	return b
}

// ownMember returns the registration entry of this process. The caller must hold mu.
func (n *Node) ownMember() sequoiaowner.Member {
	u := n.core.Upstream()
	u.Lost = u.Lost || n.stopping.Load()
	return sequoiaowner.Member{
		Instance: n.settings.Instance, Address: n.settings.Forward, Domain: n.settings.Domain, Process: n.processID, Upstream: u,
		Protocol: sequoiarouter.ProtocolVersion, ColdFor: n.warmup.gate.ColdFor(time.Now()),
	}
}

// onStoreItems applies changes that the watches received from the store.
func (n *Node) onStoreItems(items []sequoiaregistry.Item) {
	n.mu.Lock()
	rewrite := n.applyStoreItems(items)
	n.mu.Unlock()
	if rewrite {
		n.registration.Changed()
	}
}

// applyStoreItems applies changes from the store. It returns true if the entry of this process must be written again. The
// caller must hold mu.
func (n *Node) applyStoreItems(items []sequoiaregistry.Item) (rewrite bool) {
	now := sequoiatimer.BootTime()
	for _, it := range items {
		switch {
		case it.Key == n.dialect.ConfigurationKey:
			n.applyConfiguration(it)
		case it.Key == quarantineKey:
			n.quarantine.applyStored(it)
		case strings.HasPrefix(it.Key, memberPrefix):
			rewrite = n.applyMember(now, it) || rewrite
		default:
			if order, ok := n.orderOf(it); ok {
				n.applyOrders([]sequoiaevacuation.Order{order}, "Store")
			}
		}
	}
	n.directory.setMembers(n.core.Members())
	n.notifyOwnershipChanged()
	return rewrite
}

// onMembersListed applies a list of all members.
func (n *Node) onMembersListed(items []sequoiaregistry.Item, revision uint64) {
	members, _ := n.decodeMembers(items)
	n.quarantine.applyStored(findItem(items, quarantineKey, revision))
	n.mu.Lock()
	_, wasRegistered := n.core.Members()[n.settings.Instance]
	n.core.SetMembers(sequoiatimer.BootTime(), members, revision)
	rewrite := n.membersChanged(wasRegistered)
	n.mu.Unlock()
	if rewrite {
		n.registration.Changed()
	}
}

// findItem returns the item with a key, or a deleted one with the revision of the list if there is none.
func findItem(items []sequoiaregistry.Item, key string, revision uint64) sequoiaregistry.Item {
	for _, it := range items {
		if it.Key == key {
			return it
		}
	}
	return sequoiaregistry.Item{Key: key, Revision: revision, Deleted: true}
}

// membersChanged applies a change of the members to what depends on them. It reports whether this process's entry has
// disappeared or is outdated, so that it must be written again. The caller must hold mu.
func (n *Node) membersChanged(wasRegistered bool) bool {
	n.directory.setMembers(n.core.Members())
	n.notifyOwnershipChanged()
	m, registered := n.core.Members()[n.settings.Instance]
	if !registered {
		return wasRegistered
	}
	own := n.ownMember()
	return m.Process != own.Process || m.Upstream != own.Upstream
}

// applyTable decodes a table from the store and applies it. The caller must hold mu.
func (n *Node) applyTable(it sequoiaregistry.Item) {
	t, err := sequoiakeyspace.Decode(it.Value)
	if err != nil {
		n.log.Event("table rejected", "Revision", it.Revision, "Error", err)
		return
	}
	if n.core.SetTable(t, it.Revision) {
		n.log.Event("table changed", "Revision", it.Revision, "Fence", t.Fence)
	}
}

// applyMember applies a change of a member's entry. It returns true if the entry of this process must be written again.
// The caller must hold mu.
func (n *Node) applyMember(now time.Time, it sequoiaregistry.Item) bool {
	instance := strings.TrimPrefix(it.Key, memberPrefix)
	if it.Deleted {
		n.core.RemoveMember(now, instance, it.Revision)
		n.log.Event("member gone", "Member", instance, "Revision", it.Revision)
		return instance == n.settings.Instance
	}
	m, err := decodeMember(it)
	if err != nil {
		n.log.Event("member rejected", "Member", instance, "Revision", it.Revision, "Error", err)
		return instance == n.settings.Instance
	}
	n.core.SetMember(now, n.directory.withLeaving(m))
	own := n.ownMember()
	return instance == n.settings.Instance && (m.Process != own.Process || m.Upstream != own.Upstream)
}

// errMember reports a member entry that cannot be read.
var errMember = errors.New("malformed member entry")

// decodeMember decodes a member's entry. It returns errMember if no process has written it: an upstream that does not
// exist would be given keys and requests.
func decodeMember(it sequoiaregistry.Item) (sequoiaowner.Member, error) {
	m := sequoiaowner.Member{}
	if err := json.Unmarshal(it.Value, &m); err != nil {
		return m, errors.Wrap(errMember, err.Error())
	}
	u, ip := m.Upstream, m.Address.Addr()
	switch {
	case m.Instance != strings.TrimPrefix(it.Key, memberPrefix):
		return m, errors.Wrapf(errMember, "the entry %s is of instance %q", it.Key, m.Instance)
	case it.Lease == 0:
		return m, errors.Wrapf(errMember, "the entry %s is under no lease", it.Key)
	case m.Process == "":
		return m, errors.Wrapf(errMember, "the entry %s names no process", it.Key)
	case !m.Address.IsValid() || m.Address.Port() == 0 || ip.IsUnspecified() || ip.IsMulticast():
		return m, errors.Wrapf(errMember, "the entry %s has address %q", it.Key, m.Address)
	case u.ID != "" && (u.Service == "" || u.Slots <= 0 || u.Slots > MaxSlots):
		return m, errors.Wrapf(errMember, "the entry %s has service %q and %d slots", it.Key, u.Service, u.Slots)
	}
	m.Revision = it.Revision
	return m, nil
}

// decodeMembers decodes the entries of all members. It returns the instances whose entries cannot be read separately:
// they are not missing, but they are no members to use.
func (n *Node) decodeMembers(items []sequoiaregistry.Item) (members map[string]sequoiaowner.Member, unreadable map[string]bool) {
	members, unreadable = map[string]sequoiaowner.Member{}, map[string]bool{}
	for _, it := range items {
		if it.Key == quarantineKey {
			continue
		}
		m, err := decodeMember(it)
		if err != nil {
			n.log.Event("member rejected", "Member", it.Key, "Revision", it.Revision, "Error", err)
			unreadable[strings.TrimPrefix(it.Key, memberPrefix)] = true
			continue
		}
		members[m.Instance] = n.directory.withLeaving(m)
	}
	return members, unreadable
}

// readTable reads the table from the store and applies it.
func (n *Node) readTable(ctx context.Context) error {
	it, err := n.store.Get(ctx, tableKey)
	if errors.Is(err, sequoiaregistry.ErrNotFound) {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.core.SetTable(sequoiakeyspace.NewTable(), it.Revision)
		return nil
	}
	if err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.applyTable(it)
	n.notifyOwnershipChanged()
	return nil
}
