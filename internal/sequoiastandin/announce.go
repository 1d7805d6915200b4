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

// Announcement is the state that an upstream reports to the process on its instance.
type Announcement struct {
	Service      string
	Address      netip.AddrPort
	Slots        int
	Connections  int
	ChecksGrants bool
	// Load is the reported share of busy slots, above 1 only if the report is false.
	Load     float64
	Healthy  bool
	Draining bool
}

// AnnounceReply is the response of the process to an announcement.
type AnnounceReply struct {
	Incarnation       sequoiatable.IncarnationID
	GrantMilliseconds int64
	Guarantee         string
}

// announceLoop announces the upstream periodically until it is closed. A frozen upstream sends no announcements.
func (u *Upstream) announceLoop() {
	defer u.done.Done()
	ticker := time.NewTicker(AnnounceInterval)
	defer ticker.Stop()
	for u.waitWhileFrozen() {
		u.announce()
		select {
		case <-ticker.C:
		case <-u.ctx.Done():
			return
		}
	}
}

// announce sends one announcement and stores the grant of the reply. It ignores errors, since the next announcement is
// a retry and the grant expires if none succeeds.
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

// reportedLoad records a sample of the load and returns the newest sample that is at least as old as the configured
// lag, multiplied by the load factor.
func (u *Upstream) reportedLoad(now time.Time) float64 {
	u.loadSamples = append(u.loadSamples, loadSample{at: now, busySlots: u.busySlots})
	lag := time.Duration(u.faults.LoadLagMilliseconds) * time.Millisecond
	for len(u.loadSamples) > 1 && now.Sub(u.loadSamples[1].at) >= lag {
		u.loadSamples = u.loadSamples[1:]
	}
	load := float64(u.loadSamples[0].busySlots) / float64(max(u.cfg.Slots, 1))
	if u.faults.LoadFactor != 0 {
		load *= u.faults.LoadFactor
	}
	return load
}
