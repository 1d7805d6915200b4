package sequoiaclient

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"sort"
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiahttp"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatimer"
)

// tableView is an immutable Document with an index to look up owners.
type tableView struct {
	etag     string
	doc      Document
	services map[string]serviceView
}

// serviceView adds the exclusive end of each run to a DocumentService.
type serviceView struct {
	DocumentService
	ends []uint32
}

func newTableView(etag string, doc Document) *tableView {
	v := &tableView{etag: etag, doc: doc, services: map[string]serviceView{}}
	for _, s := range doc.Services {
		sv := serviceView{DocumentService: s}
		end := uint32(0)
		for _, r := range s.Runs {
			end += r.Count
			sv.ends = append(sv.ends, end)
		}
		v.services[s.Name] = sv
	}
	return v
}

func (v *tableView) hasService(service string) bool {
	s, ok := v.services[service]
	return ok && len(s.ends) > 0
}

// owner returns the address of the process that owns the key and the epoch of the assignment. ok is false if no live
// process owns the key.
func (v *tableView) owner(service, key string) (addr netip.AddrPort, epoch uint64, ok bool) {
	if !v.hasService(service) {
		return netip.AddrPort{}, 0, false
	}
	s := v.services[service]
	run, hot := s.Keys[key]
	if !hot {
		shard := sequoiatable.ShardOf(key, s.ends[len(s.ends)-1])
		run = s.Runs[sort.Search(len(s.ends), func(i int) bool { return s.ends[i] > shard })]
	}
	if run.Owner < 0 || run.Owner >= len(v.doc.Members) {
		return netip.AddrPort{}, run.Epoch, false
	}
	return v.doc.Members[run.Owner].HTTP, run.Epoch, true
}

// refreshTable reads the table periodically until Close is called.
func (c *Client) refreshTable() {
	for {
		c.readTable(c.ctx)
		if sequoiatimer.Sleep(c.ctx, c.refreshInterval) != nil {
			return
		}
	}
}

// readTable reads the table from the first process that returns one. It ignores a table that is older than the current
// one. Concurrent callers share a read that starts after they asked.
func (c *Client) readTable(ctx context.Context) {
	start := time.Now()
	c.readMu.Lock()
	defer c.readMu.Unlock()
	if c.lastReadStart.After(start) {
		return
	}
	c.lastReadStart = time.Now()
	for range c.processes {
		if c.readTableFrom(ctx, c.anyProcess(netip.AddrPort{})) {
			return
		}
	}
}

func (c *Client) readTableFrom(ctx context.Context, addr netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(ctx, tableReadTimeout)
	defer cancel()
	req := &sequoiahttp.Request{Method: http.MethodGet, Path: "/v1/table", Header: http.Header{}}
	old := c.table.Load()
	if old != nil {
		req.Header.Set("If-None-Match", old.etag)
	}
	resp, err := c.http.Do(ctx, addr, req)
	if err != nil {
		return false
	}
	if resp.Status == http.StatusNotModified {
		return true
	}
	var doc Document
	if resp.Status != http.StatusOK || json.Unmarshal(resp.Body, &doc) != nil {
		return false
	}
	if old == nil || doc.Index > old.doc.Index {
		c.table.Store(newTableView(resp.Header.Get("ETag"), doc))
	}
	return true
}
