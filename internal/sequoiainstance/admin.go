package sequoiainstance

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaadmin"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiacontrol"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiasettings"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

const adminCloseTimeout = time.Second

// adminListener serves the administration API.
type adminListener struct {
	server *http.Server
}

func (a *adminListener) close() {
	ctx, cancel := context.WithTimeout(context.Background(), adminCloseTimeout)
	defer cancel()
	if a.server.Shutdown(ctx) != nil {
		_ = a.server.Close()
	}
}

func (in *Instance) listenAdministration() error {
	in.registerStateMetrics()
	api := &sequoiaadmin.Server{
		Credential:  string(in.settings.AdministrationCredential),
		Status:      in.status,
		Explain:     in.explain,
		Document:    in.document,
		Apply:       in.apply,
		Move:        in.move,
		Drain:       in.startDrain,
		ConfirmLoss: in.confirmLoss,
		Metrics:     promhttp.HandlerFor(in.metrics, promhttp.HandlerOpts{}),
		Refused: func(remote string) {
			in.counters.refusedCalls.Inc()
			in.logFault("AdministrationRefused", errors.Wrap(sequoiaadmin.ErrCredential, remote))
		},
	}
	listener, err := net.Listen("tcp", in.settings.Administration.String())
	if err != nil {
		return errors.Wrap(err, "listen for administration calls")
	}
	in.admin = &adminListener{server: sequoiaadmin.NewHTTPServer(api)}
	in.goroutines.Go(func() { _ = in.admin.server.Serve(sequoiaadmin.LimitConnections(listener)) })
	return nil
}

func (in *Instance) remainingLease() time.Duration {
	return time.Until(in.snapshot.Load().LeaseEnd)
}

func (in *Instance) status() sequoiaadmin.Status {
	s := in.snapshot.Load()
	return sequoiaadmin.Status{
		Instance: in.settings.Instance, Incarnation: s.Self, FailureDomain: in.settings.FailureDomain,
		LogIndex: s.Table.Index, Configuration: s.Table.Configuration.Revision,
		LeaseMilliseconds: max(0, in.remainingLease().Milliseconds()), Draining: s.Draining,
		Members: memberStatus(s.Table), Services: serviceStatus(s.Table),
	}
}

func memberStatus(t *sequoiatable.Table) []sequoiaadmin.MemberStatus {
	members := []sequoiaadmin.MemberStatus{}
	for _, id := range t.Members() {
		m := t.Member(id)
		members = append(members, sequoiaadmin.MemberStatus{
			Incarnation: id, Instance: m.Instance, Region: m.Region, FailureDomain: m.FailureDomain, Service: m.Service,
			HTTP: m.HTTP, Owned: m.Owned, Witnesses: m.Witnesses, Revoked: m.Revoked(),
		})
	}
	return members
}

func serviceStatus(t *sequoiatable.Table) []sequoiaadmin.ServiceStatus {
	services := []sequoiaadmin.ServiceStatus{}
	for _, name := range t.ServiceNames() {
		s := t.Service(name)
		v := sequoiaadmin.ServiceStatus{Name: name, Shards: s.Shards, Divided: s.Divided, HotKeys: s.HotKeys()}
		v.Unassigned = countUnowned(t, s)
		services = append(services, v)
	}
	return services
}

// countUnowned returns the number of shards whose owner is not a live member. A revoked incarnation stays in the table
// until its keys are taken over, but it no longer serves them.
func countUnowned(t *sequoiatable.Table, s *sequoiatable.ServiceTable) int {
	missing := 0
	for n := range s.Shards {
		if m := t.Member(s.Shard(n).Owner); m == nil || m.Revoked() {
			missing++
		}
	}
	return missing
}

func (in *Instance) explain(service, key string) (sequoiaadmin.Explanation, error) {
	t := in.snapshot.Load().Table
	s := t.Service(service)
	if s == nil {
		return sequoiaadmin.Explanation{}, errors.Wrapf(sequoiaadmin.ErrNotFound, "service %q", service)
	}
	a := s.Lookup(key)
	_, hot := s.HotKey(key)
	e := sequoiaadmin.Explanation{
		Service: service, Key: key, Shard: sequoiatable.ShardOf(key, s.Shards), HotKey: hot,
		Owner: a.Owner, Epoch: a.Epoch, Floor: a.Floor, LogIndex: t.Index,
	}
	if m := t.Member(a.Owner); m != nil {
		e.Instance, e.Revoked = m.Instance, m.Revoked()
	}
	if d, ok := in.history.find(service, a); ok {
		e.Decision, e.Reason, e.Previous, e.Since = d.record.Decision, d.record.Reason, d.record.Previous, d.appliedAt
	}
	return e, nil
}

func (in *Instance) document() sequoiaadmin.Document {
	c := in.snapshot.Load().Table.Configuration
	return sequoiaadmin.Document{Revision: c.Revision, Operator: c.Operator, Document: string(c.Document)}
}

// maxDocumentBytes keeps a configuration's log entry below the store's limit of 1 MB for a value. A larger entry could
// never be written and would block every later change of this process.
const maxDocumentBytes = 512 << 10

func (in *Instance) apply(ctx context.Context, req sequoiaadmin.ApplyRequest) (sequoiaadmin.Done, error) {
	if n := len(req.Document); n > maxDocumentBytes {
		return sequoiaadmin.Done{}, errors.Wrapf(sequoiaadmin.ErrBadRequest, "%d bytes; allowed: %d", n, maxDocumentBytes)
	}
	cfg, err := sequoiasettings.ParseConfiguration("configuration", []byte(req.Document))
	if err != nil {
		return sequoiaadmin.Done{}, errors.Wrap(sequoiaadmin.ErrBadRequest, err.Error())
	}
	index, err := in.submitCommand(ctx, sequoiacontrol.Command{Configure: &sequoiatable.SetConfiguration{
		Base: req.Base, Document: []byte(req.Document), Services: cfg.TableServices(), Operator: req.Operator,
	}})
	return sequoiaadmin.Done{Revision: index}, adminError(err)
}

func (in *Instance) move(ctx context.Context, req sequoiaadmin.MoveRequest) (sequoiaadmin.Done, error) {
	t := in.snapshot.Load().Table
	s := t.Service(req.Service)
	if s == nil {
		return sequoiaadmin.Done{}, errors.Wrapf(sequoiaadmin.ErrNotFound, "service %q", req.Service)
	}
	for _, n := range req.Shards {
		if n >= s.Shards {
			return sequoiaadmin.Done{}, errors.Wrapf(sequoiaadmin.ErrBadRequest, "shard %d; allowed: 0 to %d", n, s.Shards-1)
		}
	}
	to, err := liveMember(t, req.Service, req.To)
	if err != nil {
		return sequoiaadmin.Done{}, err
	}
	index, err := in.submitCommand(ctx, sequoiacontrol.Command{Move: &sequoiacontrol.Release{
		Keys: sequoiacontrol.KeySet{Service: req.Service, Shards: req.Shards, Keys: req.Keys}, To: to, Reason: req.Reason,
	}})
	return sequoiaadmin.Done{Revision: index}, adminError(err)
}

// liveMember returns the incarnation of the live process that serves a service on an instance.
func liveMember(t *sequoiatable.Table, service, instance string) (sequoiatable.IncarnationID, error) {
	for _, id := range t.Members() {
		if m := t.Member(id); m.Instance == instance && m.Service == service && !m.Revoked() {
			return id, nil
		}
	}
	return 0, errors.Wrapf(sequoiaadmin.ErrNotFound, "no live process on instance %q serves %s", instance, service)
}

// startDrain starts a drain and returns without waiting for its end, at which the process exits.
func (in *Instance) startDrain(_ context.Context, req sequoiaadmin.DrainRequest) (sequoiaadmin.Done, error) {
	in.goroutines.Go(func() {
		if err := in.Drain(in.ctx, req.Reason); err != nil {
			in.logFault("DrainFailed", err)
		}
	})
	return sequoiaadmin.Done{Revision: in.snapshot.Load().Table.Index}, nil
}

func (in *Instance) confirmLoss(ctx context.Context, req sequoiaadmin.ConfirmLossRequest) (sequoiaadmin.Done, error) {
	id, err := findLostMember(in.snapshot.Load().Table, req)
	if err != nil {
		return sequoiaadmin.Done{}, err
	}
	index, err := in.submitCommand(ctx, sequoiacontrol.Command{ConfirmLoss: &sequoiacontrol.ConfirmLoss{Incarnation: id}})
	return sequoiaadmin.Done{Revision: index}, adminError(err)
}

// findLostMember returns the member whose loss a request confirms. If an instance has several members, for example a
// lost and a restarted one, the request must specify the incarnation.
func findLostMember(t *sequoiatable.Table, req sequoiaadmin.ConfirmLossRequest) (sequoiatable.IncarnationID, error) {
	if (req.Incarnation == 0) == (req.Instance == "") {
		return 0, errors.Wrap(sequoiaadmin.ErrBadRequest, "specify either an incarnation or an instance")
	}
	var found []sequoiatable.IncarnationID
	for _, id := range t.Members() {
		if id == req.Incarnation || req.Instance != "" && t.Member(id).Instance == req.Instance {
			found = append(found, id)
		}
	}
	switch len(found) {
	case 0:
		return 0, errors.Wrap(sequoiaadmin.ErrNotFound, "no such member, so there are no keys to take over")
	case 1:
		return found[0], nil
	}
	return 0, errors.Wrapf(sequoiaadmin.ErrBadRequest, "instance %q has the members %v; specify an incarnation", req.Instance, found)
}

// adminError maps errors of the control core to those of the administration API.
func adminError(err error) error {
	if errors.Is(err, sequoiacontrol.ErrResultUnknown) || errors.Is(err, sequoiacontrol.ErrTimeout) {
		return errors.Wrap(sequoiaadmin.ErrUnknownResult, err.Error())
	}
	if errors.Is(err, sequoiacontrol.ErrMemberAlive) {
		return errors.Wrap(sequoiaadmin.ErrMemberAlive, err.Error())
	}
	if errors.Is(err, sequoiatable.ErrNotMember) {
		return errors.Wrap(sequoiaadmin.ErrNotFound, err.Error())
	}
	return err
}
