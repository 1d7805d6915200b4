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

// tableView is a Document that can be searched. It is immutable.
type tableView struct {
	etag     string
	doc      Document
	services map[string]serviceView
}

// serviceView has the end of each run, exclusive.
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

func (v *tableView) has(service string) bool {
	s, ok := v.services[service]
	return ok && len(s.ends) > 0
}

// owner returns the address of the owner's process and the epoch. served is false if no live process owns the key.
func (v *tableView) owner(service, key string) (addr netip.AddrPort, epoch uint64, served bool) {
	if !v.has(service) {
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

// keepTable reads the table regularly until Close.
func (c *Client) keepTable() {
	for {
		c.readTable(c.ctx)
		if sequoiatimer.Sleep(c.ctx, c.refresh) != nil {
			return
		}
	}
}

// readTable reads the table from the first process that answers. An older table than the present one is ignored.
// Concurrent callers share one read.
func (c *Client) readTable(ctx context.Context) {
	asked := time.Now()
	c.reading.Lock()
	defer c.reading.Unlock()
	if c.lastRead.After(asked) {
		return
	}
	c.lastRead = time.Now()
	for range c.processes {
		if c.readTableFrom(ctx, c.any(netip.AddrPort{})) {
			return
		}
	}
}

func (c *Client) readTableFrom(ctx context.Context, addr netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
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
