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
	// handshakeCount is the number of connections over which the cost is averaged.
	handshakeCount = 100
	// handshakeTimeout bounds the wait for all messages to arrive.
	handshakeTimeout  = 20 * time.Second
	loopbackSharedKey = "a key for transports on loopback only, of more than 32 bytes"
)

// measureHandshakes measures the CPU time of a new control connection and one load report, both ends included.
func (m *measurement) measureHandshakes(ctx context.Context) error {
	var received atomic.Int64
	receiver, err := startControl(func(sequoiatable.IncarnationID, sequoiacontrol.Message) { received.Add(1) })
	if err != nil {
		return err
	}
	defer func() { _ = receiver.Close() }()
	var peers []*sequoiapeer.Control
	defer func() {
		for _, p := range peers {
			_ = p.Close()
		}
	}()
	for range handshakeCount {
		p, err := startControl(func(sequoiatable.IncarnationID, sequoiacontrol.Message) {})
		if err != nil {
			return err
		}
		peers = append(peers, p)
	}
	before := cpuTime()
	report := sequoiacontrol.Message{LoadReport: &sequoiacontrol.LoadReport{Load: loadReport(&system{members: handshakeCount}, 1)}}
	for _, p := range peers {
		p.Send(incarnationOf(0), receiver.Addr(), report)
	}
	for deadline := time.Now().Add(handshakeTimeout); received.Load() < handshakeCount && time.Now().Before(deadline); {
		if err := sequoiatimer.Sleep(ctx, time.Millisecond); err != nil {
			return err
		}
	}
	m.add(PartHandshake, "control connection", "processor, both ends", "ms", (cpuTime()-before).Seconds()*1e3/handshakeCount)
	m.add(PartHandshake, "control connection", "reports received", "messages", float64(received.Load()))
	return nil
}

func startControl(receive func(sequoiatable.IncarnationID, sequoiacontrol.Message)) (*sequoiapeer.Control, error) {
	c, err := sequoiapeer.NewControl([]byte(loopbackSharedKey), sequoiapeer.WithReceive(receive))
	if err != nil {
		return nil, err
	}
	c.SetIncarnation(incarnationOf(1))
	return c, c.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
}
