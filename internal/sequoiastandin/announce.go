package sequoiastandin

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

// Announcement is what an upstream tells the process on its instance.
type Announcement struct {
	Service      string
	Address      netip.AddrPort
	Slots        int
	Connections  int
	ChecksGrants bool
	// Load is the share of the slots that are in use, above 1 if the upstream lies.
	Load     float64
	Healthy  bool
	Draining bool
}

// AnnounceReply is the process's response to an announcement.
type AnnounceReply struct {
	Incarnation       sequoiatable.IncarnationID
	GrantMilliseconds int64
	Guarantee         string
}

// announceAll announces the upstream until it is closed. A frozen upstream announces nothing.
func (u *Upstream) announceAll() {
	defer u.done.Done()
	ticker := time.NewTicker(AnnounceInterval)
	defer ticker.Stop()
	for u.thaw() {
		u.announce()
		select {
		case <-ticker.C:
		case <-u.ctx.Done():
			return
		}
	}
}

// announce ignores errors: the next announcement follows, and the grant ends if none succeeds.
func (u *Upstream) announce() {
	sent := time.Now()
	a, process := u.announcement(sent)
	if !process.IsValid() {
		return
	}
	data, err := json.Marshal(a)
	if err != nil {
		return
	}
	url := "http://" + process.String() + "/v1/announce"
	req, err := http.NewRequestWithContext(u.ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := u.client.Do(req)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	var reply AnnounceReply
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
	if err != nil || resp.StatusCode != http.StatusOK || json.Unmarshal(body, &reply) != nil {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.grant = grant{
		incarnation: reply.Incarnation,
		expires:     sent.Add(time.Duration(reply.GrantMilliseconds) * time.Millisecond),
	}
}

func (u *Upstream) announcement(now time.Time) (Announcement, netip.AddrPort) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return Announcement{
		Service: u.cfg.Service, Address: u.listener.addr, Slots: u.cfg.Slots, Connections: u.cfg.Connections,
		ChecksGrants: u.cfg.ChecksGrants, Load: u.reportedLoad(now), Healthy: !u.faults.Unhealthy,
		Draining: u.faults.Draining,
	}, u.process
}

// reportedLoad samples the load and returns the sample that is as old as the lag, changed by the load factor.
func (u *Upstream) reportedLoad(now time.Time) float64 {
	u.samples = append(u.samples, loadSample{at: now, busy: u.busy})
	lag := time.Duration(u.faults.LoadLagMilliseconds) * time.Millisecond
	for len(u.samples) > 1 && now.Sub(u.samples[1].at) >= lag {
		u.samples = u.samples[1:]
	}
	load := float64(u.samples[0].busy) / float64(max(u.cfg.Slots, 1))
	if u.faults.LoadFactor != 0 {
		load *= u.faults.LoadFactor
	}
	return load
}
