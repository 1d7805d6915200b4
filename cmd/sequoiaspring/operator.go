package main

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"os/user"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaadmin"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiasettings"
)

// adminOptions are the options of commands that call the administration API of a process.
type adminOptions struct {
	Settings       string `arg:"--settings" help:"settings file of the process, to read its administration address and credential from"`
	Administration string `arg:"--administration" default:"127.0.0.1:7405" help:"administration address of the process; --settings overrides it"`
	Credential     string `arg:"--credential,env:SEQUOIASPRING_CREDENTIAL" help:"administration credential"`
}

// client returns a client of the administration API. A settings file overrides the other options.
func (c *adminOptions) client() (*sequoiaadmin.Client, error) {
	if c.Settings != "" {
		s, err := readSettings(c.Settings)
		if err != nil {
			return nil, err
		}
		return sequoiaadmin.NewClient(s.Administration, string(s.AdministrationCredential)), nil
	}
	addr, err := netip.ParseAddrPort(c.Administration)
	if err != nil {
		return nil, inputError{errors.Wrap(err, "--administration")}
	}
	if c.Credential == "" {
		return nil, inputError{errors.New("no credential: give --credential, SEQUOIASPRING_CREDENTIAL or --settings")}
	}
	return sequoiaadmin.NewClient(addr, c.Credential), nil
}

type applyCommand struct {
	adminOptions
	File     string        `arg:"positional,required" help:"configuration document"`
	Base     *uint64       `arg:"--base" help:"revision that the document is based on; by default the one in force"`
	Operator string        `arg:"--operator" help:"operator name recorded with the change; by default the name of the current user"`
	Timeout  time.Duration `arg:"--timeout" default:"30s" help:"how long to retry while the result of the change is not known"`
}

func (c *applyCommand) run(ctx context.Context, out io.Writer) error {
	data, err := readInputFile(c.File)
	if err != nil {
		return err
	}
	if _, err := sequoiasettings.ParseConfiguration(c.File, data); err != nil {
		return inputError{err}
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	base, err := c.base(ctx, client)
	if err != nil {
		return err
	}
	req := sequoiaadmin.ApplyRequest{Base: base, Operator: operatorName(c.Operator), Document: string(data)}
	done, err := client.Apply(ctx, req)
	var remote *sequoiaadmin.RemoteError
	if errors.Is(err, sequoiaadmin.ErrConflict) && errors.As(err, &remote) {
		return errors.Wrapf(err, "revision %d won; the document was based on revision %d", remote.Failure.Revision, base)
	}
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "configuration revision %d is accepted\n", done.Revision)
	return nil
}

func (c *applyCommand) base(ctx context.Context, client *sequoiaadmin.Client) (uint64, error) {
	if c.Base != nil {
		return *c.Base, nil
	}
	doc, err := client.Document(ctx)
	return doc.Revision, err
}

func operatorName(given string) string {
	if given != "" {
		return given
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

type statusCommand struct {
	adminOptions
}

func (c *statusCommand) run(ctx context.Context, out io.Writer) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	s, err := client.Status(ctx)
	if err != nil {
		return err
	}
	printStatus(out, s)
	return nil
}

func printStatus(out io.Writer, s sequoiaadmin.Status) {
	fmt.Fprintf(out, "process %s on %s: log index %d, configuration revision %d, %s\n",
		s.Incarnation, s.Instance, s.LogIndex, s.Configuration, describeLease(s))
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "INSTANCE\tINCARNATION\tFAILURE DOMAIN\tSERVICE\tSHARDS AND HOT KEYS\tSTATE")
	for _, m := range s.Members {
		state := "live"
		if m.Revoked {
			state = "revoked"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\n", m.Instance, m.Incarnation, m.FailureDomain, m.Service, m.Owned, state)
	}
	fmt.Fprintln(w, "\nSERVICE\tSHARDS\tWITHOUT OWNER\tHOT KEYS")
	for _, v := range s.Services {
		fmt.Fprintf(w, "%s\t%d\t%d\t%s\n", v.Name, v.Shards, v.Unassigned, strings.Join(v.HotKeys, " "))
	}
	_ = w.Flush()
}

// describeLease describes the remaining time of the lease, without which the process may not serve its keys.
func describeLease(s sequoiaadmin.Status) string {
	state := "no lease"
	if s.LeaseMilliseconds > 0 {
		state = fmt.Sprintf("%d ms left on the lease", s.LeaseMilliseconds)
	}
	if s.Draining {
		state += ", draining"
	}
	return state
}

type explainCommand struct {
	adminOptions
	Service string `arg:"--service" help:"name of the service, in the product's own deployments"`
	Key     string `arg:"--key" help:"the key"`
	explainRequestOptions
}

func (c *explainCommand) run(ctx context.Context, out io.Writer) error {
	if c.Process != "" {
		return c.explainRequest(ctx, c.Key, out)
	}
	if c.Service == "" || c.Key == "" {
		return inputError{errors.New("give --service and --key, or --process, --host and --path on the users' platform")}
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	e, err := client.Explain(ctx, c.Service, c.Key)
	if err != nil {
		return err
	}
	printExplanation(out, e)
	return nil
}

func printExplanation(out io.Writer, e sequoiaadmin.Explanation) {
	assignment := fmt.Sprintf("shard %d", e.Shard)
	if e.HotKey {
		assignment = "its own assignment (hot key)"
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "service\t%s\nkey\t%s\nassigned by\t%s\nowner\t%s\n", e.Service, e.Key, assignment, describeOwner(e))
	if e.Epoch != 0 {
		fmt.Fprintf(w, "epoch\t%d\n", e.Epoch)
	}
	switch {
	case e.Decision != "":
		fmt.Fprintf(w, "why\t%s, reason %q\nsince\t%s\n", e.Decision, e.Reason, e.Since.UTC().Format(time.RFC3339Nano))
	case e.Owner != 0:
		fmt.Fprintf(w, "why\tassigned before this process started; see the decision logs for epoch %d\n", e.Epoch)
	}
	if e.Previous != 0 {
		fmt.Fprintf(w, "previous owner\t%s\n", e.Previous)
	}
	fmt.Fprintf(w, "log index\t%d\n", e.LogIndex)
	_ = w.Flush()
}

// describeOwner names the owner and tells whether it can still serve the key.
func describeOwner(e sequoiaadmin.Explanation) string {
	switch {
	case e.Owner == 0:
		return "none"
	case e.Instance == "":
		return fmt.Sprintf("none; %s owned the key and has left", e.Owner)
	case e.Revoked:
		return fmt.Sprintf("none; %s on %s is revoked and its keys are being taken over", e.Owner, e.Instance)
	}
	return fmt.Sprintf("%s on %s", e.Owner, e.Instance)
}

type moveCommand struct {
	adminOptions
	Service string   `arg:"--service,required" help:"name of the service"`
	Shards  []uint32 `arg:"--shard,separate" help:"shard to move; may be repeated"`
	Keys    []string `arg:"--key,separate" help:"hot key to move; may be repeated"`
	To      string   `arg:"--to,required" help:"name of the destination instance"`
	Reason  string   `arg:"--reason" default:"operator" help:"reason recorded in the decision logs"`
}

func (c *moveCommand) run(ctx context.Context, out io.Writer) error {
	if len(c.Shards) == 0 && len(c.Keys) == 0 {
		return inputError{errors.New("give at least one --shard or --key")}
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	done, err := client.Move(ctx, sequoiaadmin.MoveRequest{
		Service: c.Service, Shards: c.Shards, Keys: c.Keys, To: c.To, Reason: c.Reason,
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "moved at log index %d\n", done.Revision)
	return nil
}

type drainCommand struct {
	adminOptions
	Reason string `arg:"--reason" default:"operator" help:"reason recorded in the decision logs"`
}

func (c *drainCommand) run(ctx context.Context, out io.Writer) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	if _, err := client.Drain(ctx, sequoiaadmin.DrainRequest{Reason: c.Reason}); err != nil {
		return err
	}
	fmt.Fprintln(out, "the process is draining; it stops when its keys have been handed over")
	return nil
}
