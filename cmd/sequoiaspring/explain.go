package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoianode"
)

const (
	// explainTimeout limits the call of a process, which answers from memory.
	explainTimeout = 5 * time.Second
	// maxExplanationBytes limits the answer of a process.
	maxExplanationBytes = 4 << 20
)

// errNotReached means that the process did not answer.
var errNotReached = errors.New("the process was not reached")

// explainRequestOptions are the options with which a request is explained on the users' platform.
type explainRequestOptions struct {
	Process string `arg:"--process" placeholder:"ADDR" help:"metrics address of a process on the users' platform"`
	Host    string `arg:"--host" help:"host of the request"`
	Path    string `arg:"--path" help:"path of the request"`
	Bytes   int    `arg:"--bytes" help:"size of the request's body in bytes"`
	JSON    bool   `arg:"--json" help:"print the answer of the process as it is"`
}

// explainRequest prints where a request would go now, as the process says.
func (c *explainRequestOptions) explainRequest(ctx context.Context, key string, out io.Writer) error {
	addr, err := netip.ParseAddrPort(c.Process)
	switch {
	case err != nil:
		return inputError{errors.Wrap(err, "--process")}
	case c.Host == "" || c.Path == "":
		return inputError{errors.New("--process needs --host and --path")}
	case c.Bytes < 0:
		return inputError{errors.New("--bytes: want the size of the body")}
	}
	query := url.Values{"host": {c.Host}, "path": {c.Path}, "bytes": {strconv.Itoa(c.Bytes)}}
	if key != "" {
		query.Set("key", key)
	}
	body, status, err := fetchExplanation(ctx, addr, query)
	if err != nil {
		return err
	}
	var e sequoianode.Explanation
	if err := json.Unmarshal(body, &e); err != nil {
		return errors.Errorf("%s is no process that explains requests: status %d", addr, status)
	}
	if c.JSON {
		_, _ = out.Write(body)
	}
	switch {
	case status == http.StatusBadRequest:
		return inputError{errors.New(e.Detail)}
	case e.Error != "":
		return errors.Errorf("%s: %s (configuration version %d)", e.Error, e.Detail, e.ConfigurationVersion)
	case status != http.StatusOK:
		return errors.Errorf("%s answers with status %d", addr, status)
	case !c.JSON:
		printRequestExplanation(out, e)
	}
	return nil
}

// fetchExplanation calls a process. It returns errNotReached if the process does not answer.
func fetchExplanation(ctx context.Context, addr netip.AddrPort, query url.Values) (body []byte, status int, err error) {
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	target := url.URL{Scheme: "http", Host: addr.String(), Path: sequoianode.ExplainPath, RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return nil, 0, inputError{err}
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, 0, errors.Wrap(errNotReached, err.Error())
	}
	defer resp.Body.Close()
	body, err = io.ReadAll(io.LimitReader(resp.Body, maxExplanationBytes))
	if err != nil {
		return nil, 0, errors.Wrap(errNotReached, err.Error())
	}
	return body, resp.StatusCode, nil
}

func printRequestExplanation(out io.Writer, e sequoianode.Explanation) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "process\t%s in %s\nconfiguration version\t%d\nroute\t%s\nquarantine\t%s\n",
		e.Instance, e.Domain, e.ConfigurationVersion, e.Route, describeQuarantine(e.Quarantine))
	_ = w.Flush()
	total := 0
	for _, s := range e.Services {
		total += s.Weight
	}
	for _, s := range e.Services {
		fmt.Fprintln(out)
		printService(out, s, total)
	}
}

func describeQuarantine(state string) string {
	if state == sequoianode.QuarantineUnknown {
		return "not known: it depends on the method, the headers and the body, too"
	}
	return "no request is suspected or quarantined"
}

func printService(out io.Writer, s sequoianode.ExplainedService, total int) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "service\t%s, weight %d of %d\n", s.Service, s.Weight, total)
	fmt.Fprintf(w, "would\t%s\n", describeAction(s))
	if k := s.Key; k != nil {
		fmt.Fprintf(w, "key\t%d, in the range %d to %d\n", k.Key, k.From, k.To)
		fmt.Fprintf(w, "holder\t%s\n", describeHolder(k))
		fmt.Fprintf(w, "fence\t%d\ntable revision\t%d\n", k.Fence, k.TableRevision)
	}
	if c := s.Choice; c != nil && c.Compare {
		fmt.Fprintf(w, "leaving the domain\t%s\n", describeLeaving(c))
	}
	if c := s.Choice; c != nil && c.Sampled {
		fmt.Fprintln(w, "note\teach request is compared with a random sample of the candidates and may go to another one")
	}
	_ = w.Flush()
	printUpstreams(out, "CANDIDATE", s.Candidates)
	printUpstreams(out, "LEFT OUT", s.LeftOut)
	if s.Omitted > 0 {
		fmt.Fprintf(out, "%d more are not shown\n", s.Omitted)
	}
}

func describeAction(s sequoianode.ExplainedService) string {
	switch {
	case s.Action == sequoianode.ActionRefuse && s.Keyed && s.Key == nil:
		return "refuse it: " + s.Reason + " (the service is divided by key; give --key)"
	case s.Action == sequoianode.ActionRefuse:
		return "refuse it: " + s.Reason
	case s.Action == sequoianode.ActionWait:
		return fmt.Sprintf("let it wait at %s: %s", s.Target, s.Reason)
	}
	return "send it to " + s.Target
}

func describeLeaving(c *sequoianode.ExplainedChoice) string {
	verdict := "does not pay"
	if c.Leaves {
		verdict = "pays"
	}
	return fmt.Sprintf("%s: gains %.1f ms, must gain more than %.1f ms", verdict, c.GainMilliseconds, c.CostMilliseconds)
}

// describeHolder names the holder of a key and what keeps requests away from it.
func describeHolder(k *sequoianode.ExplainedKey) string {
	if k.Holder == "" {
		return "none"
	}
	state := []string{fmt.Sprintf("%s (upstream %s)", k.Holder, k.Upstream)}
	if !k.Known {
		state = append(state, "not a member")
	}
	for _, s := range []struct {
		holds bool
		text  string
	}{{k.Known && k.Reachable, "reachable"}, {k.Known && !k.Reachable, "unreachable"}, {k.Leaving, "leaving"}, {k.Evacuated, "evacuated"}, {k.Cold, "cold"}} {
		if s.holds {
			state = append(state, s.text)
		}
	}
	return strings.Join(state, ", ")
}

func printUpstreams(out io.Writer, title string, upstreams []sequoianode.ExplainedUpstream) {
	if len(upstreams) == 0 {
		return
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "\n%s\tFAILURE DOMAIN\tFINISH\tOUTSTANDING\tRUNNING\tWAITING\tSLOTS\tREPORTED\tREASON\n", title)
	for _, u := range upstreams {
		finish, reported, reason := "-", "never", u.Reason
		if u.FinishMilliseconds > 0 {
			finish = fmt.Sprintf("%.1f ms", u.FinishMilliseconds)
		}
		if u.Reported {
			reported = fmt.Sprintf("%.0f ms ago", u.AgeMilliseconds)
		}
		if reason == "" {
			reason = "-"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%s\t%s\n",
			u.Instance, u.Domain, finish, u.Outstanding, u.Running, u.Waiting, u.Slots, reported, reason)
	}
	_ = w.Flush()
}
