package sequoiaproxy

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiafront"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
	"github.com/sequoiaspring/sequoiaspring/pkg/sequoiaclient"
)

// encodedTable is the response of GET /v1/table at one index.
type encodedTable struct {
	index uint64
	etag  string
	body  []byte
}

func (p *Proxy) serveTable(w http.ResponseWriter, r *http.Request) {
	s := p.router.Snapshot()
	if s == nil {
		sequoiafront.WriteResponse(w, r, http.StatusServiceUnavailable, nil)
		return
	}
	t := p.table.Load()
	if t == nil || t.index != s.Table.Index {
		body, err := json.Marshal(document(s.Table))
		if err != nil {
			writeError(w, r, http.StatusInternalServerError, err)
			return
		}
		t = &encodedTable{index: s.Table.Index, etag: strconv.Quote(strconv.FormatUint(s.Table.Index, 10)), body: body}
		p.table.Store(t)
	}
	w.Header().Set("ETag", t.etag)
	if r.Header.Get("If-None-Match") == t.etag {
		sequoiafront.WriteResponse(w, r, http.StatusNotModified, nil)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	sequoiafront.WriteResponse(w, r, http.StatusOK, t.body)
}

func document(t *sequoiatable.Table) sequoiaclient.Document {
	d := sequoiaclient.Document{Index: t.Index}
	positions := map[sequoiatable.IncarnationID]int{}
	for _, id := range t.Members() {
		m := t.Member(id)
		if m.Revoked() {
			continue
		}
		positions[id] = len(d.Members)
		d.Members = append(d.Members, sequoiaclient.DocumentMember{
			Incarnation: id.String(), HTTP: m.HTTP, Service: m.Service,
		})
	}
	for _, name := range t.ServiceNames() {
		d.Services = append(d.Services, documentService(t.Service(name), positions))
	}
	return d
}

func documentService(
	s *sequoiatable.ServiceTable, positions map[sequoiatable.IncarnationID]int,
) sequoiaclient.DocumentService {
	out := sequoiaclient.DocumentService{Name: s.Name, Divided: s.Divided}
	for n := range s.Shards {
		run := documentRun(s.Shard(n), positions)
		if i := len(out.Runs) - 1; i >= 0 && out.Runs[i].Owner == run.Owner && out.Runs[i].Epoch == run.Epoch {
			out.Runs[i].Count++
			continue
		}
		out.Runs = append(out.Runs, run)
	}
	for _, k := range s.HotKeys() {
		if out.Keys == nil {
			out.Keys = map[string]sequoiaclient.DocumentRun{}
		}
		a, _ := s.HotKey(k)
		out.Keys[k] = documentRun(a, positions)
	}
	return out
}

func documentRun(a sequoiatable.Assignment, positions map[sequoiatable.IncarnationID]int) sequoiaclient.DocumentRun {
	owner, ok := positions[a.Owner]
	if !ok {
		owner = -1
	}
	return sequoiaclient.DocumentRun{Owner: owner, Epoch: uint64(a.Epoch), Count: 1}
}

// stamp is the response of GET /v1/stamp.
type stamp struct {
	FirstEpoch sequoiatable.Epoch
	Index      uint64
}

func (p *Proxy) serveStamp(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s := p.router.Snapshot()
	if s == nil {
		sequoiafront.WriteResponse(w, r, http.StatusServiceUnavailable, nil)
		return
	}
	service := s.Table.Service(q.Get("service"))
	key := q.Get("key")
	if service == nil || key == "" {
		sequoiafront.WriteResponse(w, r, http.StatusNotFound, nil)
		return
	}
	epoch := service.Lookup(key).Epoch
	if epoch == 0 {
		sequoiafront.WriteResponse(w, r, http.StatusServiceUnavailable, nil)
		return
	}
	w.Header().Set(headerFirstEpoch, strconv.FormatUint(uint64(epoch), 10))
	writeJSON(w, r, stamp{FirstEpoch: epoch, Index: s.Table.Index})
}
