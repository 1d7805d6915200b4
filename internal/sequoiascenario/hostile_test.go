package sequoiascenario

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiachecker"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiafleet"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiastandin"
)

const (
	// hostilePeak is the most memory in kilobytes that a process may need. Without a limit in its settings it holds up to
	// 256 MB for clients, which is 0.45 of its memory; the rest is for the program of the test.
	hostilePeak = 640 << 10
	// callerBody is the size of the largest body that a caller may send.
	callerBody = 4 << 20
	// crowdTime limits how long a crowd sends, settleTime is the pause after its last byte, and calmTime how long an
	// ordinary caller tries again.
	crowdTime  = 20 * time.Second
	settleTime = 700 * time.Millisecond
	calmTime   = 30 * time.Second
)

// TestHostileCallers guards against a process of "sequoiaspring run" that callers end by using up its memory.
func TestHostileCallers(t *testing.T) {
	head := "POST /s/%s/work HTTP/1.1\r\nHost: h.example\r\nSequoia-Key: k\r\n"
	short, odd := sequoiastandin.ShortLines(), sequoiastandin.OddLines()
	shapes := []struct {
		name  string
		crowd sequoiastandin.Crowd
	}{
		{"odd-lines", sequoiastandin.Crowd{Clients: 2000, Begin: head + "Content-Length: 10\r\n", Block: odd, Bytes: len(odd), End: "\r\n123456789"}},
		{"incomplete-heads", sequoiastandin.Crowd{Clients: 1500, Begin: head, Block: short, Bytes: len(short)}},
		{"large-bodies", sequoiastandin.Crowd{
			Clients: 300, Begin: head + fmt.Sprintf("Content-Length: %d\r\n\r\n", callerBody), Block: sequoiastandin.Repeated("x"), Bytes: callerBody - 1,
		}},
		// The requests of the following crowds are complete, so that they are passed on.
		{"short-lines", sequoiastandin.Crowd{Clients: 1000, Begin: head, Block: short, Bytes: len(short), End: "\r\n", Repeat: 5}},
		{"complete-odd-lines", sequoiastandin.Crowd{Clients: 1000, Begin: head, Block: odd, Bytes: len(odd), End: "\r\n", Repeat: 5}},
		{"complete-bodies", sequoiastandin.Crowd{
			Clients: 200, Begin: head + fmt.Sprintf("Content-Length: %d\r\n\r\n", callerBody), Block: sequoiastandin.Repeated("x"), Bytes: callerBody, Repeat: 3,
		}},
	}
	for _, shape := range shapes {
		t.Run(shape.name, func(t *testing.T) {
			f, err := newFleet(t.TempDir(), "")
			if err != nil {
				t.Fatal(err)
			}
			defer f.close()
			if err := f.startDeployment(smallDeployment(t)); err != nil {
				t.Fatal(err)
			}
			n := f.nodes[0]
			shape.crowd.Begin = fmt.Sprintf(shape.crowd.Begin, n.service)
			leave := shape.crowd.Send(n.addr(portHTTP), crowdTime)
			defer leave()
			// The process may still be reading what has been sent.
			time.Sleep(settleTime)
			if !answersAgain(n) {
				t.Errorf("no answer to an ordinary caller, process running: %t", n.process.running())
			}
			peak := peakMemory(t, n)
			t.Logf("VmHWM %d kB of %d", peak, hostilePeak)
			if !n.process.running() || peak > hostilePeak {
				t.Errorf("process running: %t, VmHWM %d kB of %d", n.process.running(), peak, hostilePeak)
			}
		})
	}
}

// smallDeployment returns a deployment with two upstreams for each service.
func smallDeployment(t *testing.T) sequoiafleet.Deployment {
	d, err := sequoiafleet.FindDeployment("pinehollow")
	if err != nil {
		t.Fatal(err)
	}
	for i := range d.Services {
		d.Services[i].Upstreams = min(2, d.Services[i].Upstreams)
	}
	return d
}

// answersAgain sends ordinary requests until one is answered or calmTime has passed.
func answersAgain(n *node) bool {
	plan := loadPlan{Processes: []netip.AddrPort{n.addr(portHTTP)}}
	send := plan.plainSend()
	for i, end := 0, time.Now().Add(calmTime); time.Now().Before(end) && n.process.running(); i++ {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		result := send(ctx, sequoiastandin.LoadCall{
			Service: n.service, Key: "k", RequestID: fmt.Sprint("ordinary-", i), Body: []byte("x"), Timeout: 4 * time.Second,
		})
		cancel()
		if result.Outcome == sequoiachecker.Answered {
			return true
		}
		time.Sleep(pollInterval)
	}
	return false
}

// peakMemory returns the most memory that the process of a node has had, in kilobytes.
func peakMemory(t *testing.T, n *node) (kilobytes int) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.process.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	_, line, _ := strings.Cut(string(status), "VmHWM:")
	if _, err := fmt.Sscanf(line, "%d kB", &kilobytes); err != nil {
		t.Fatal(err)
	}
	return kilobytes
}
