package sequoiameasure

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiacontrol"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiapeer"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatimer"
)

const (
	// handshakes is the number of connections over which the cost of one is measured.
	handshakes = 100
	// handshakeWait bounds the wait for the messages.
	handshakeWait = 20 * time.Second
	handshakeKey  = "a key for transports on loopback only, of more than 32 bytes"
)

// handshakeCost measures a new control connection with one load report, both ends included.
func (m *measurement) handshakeCost(ctx context.Context) error {
	var received atomic.Int64
	center, err := startControl(func(sequoiatable.IncarnationID, sequoiacontrol.Message) { received.Add(1) })
	if err != nil {
		return err
	}
	defer func() { _ = center.Close() }()
	var peers []*sequoiapeer.Control
	defer func() {
		for _, p := range peers {
			_ = p.Close()
		}
	}()
	for range handshakes {
		p, err := startControl(func(sequoiatable.IncarnationID, sequoiacontrol.Message) {})
		if err != nil {
			return err
		}
		peers = append(peers, p)
	}
	before := cpuTime()
	report := sequoiacontrol.Message{LoadReport: &sequoiacontrol.LoadReport{Load: loadReport(&system{n: handshakes}, 1)}}
	for _, p := range peers {
		p.Send(member(0), center.Addr(), report)
	}
	for deadline := time.Now().Add(handshakeWait); received.Load() < handshakes && time.Now().Before(deadline); {
		if err := sequoiatimer.Sleep(ctx, time.Millisecond); err != nil {
			return err
		}
	}
	m.add(PartHandshake, "control connection", "processor, both ends", "ms", (cpuTime()-before).Seconds()*1e3/handshakes)
	m.add(PartHandshake, "control connection", "reports received", "messages", float64(received.Load()))
	return nil
}

func startControl(receive func(sequoiatable.IncarnationID, sequoiacontrol.Message)) (*sequoiapeer.Control, error) {
	c, err := sequoiapeer.NewControl([]byte(handshakeKey), sequoiapeer.WithReceive(receive))
	if err != nil {
		return nil, err
	}
	c.SetIncarnation(member(1))
	return c, c.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
}
