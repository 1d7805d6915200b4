package sequoiapoller_test

import (
	"runtime"
	"testing"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiapoller"
)

func TestPoller(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "sequoiapoller")
}

var _ = ginkgo.Describe("Event loops", func() {
	ginkgo.It("stop when the engine is stopped right after its start, instead of leaving a loop running and Stop blocked", func() {
		logging.SetLevel(logging.LevelError)
		// With GOMAXPROCS=1, a loop's goroutine has probably not started when Start returns.
		defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
		for range 200 {
			engine := nbio.NewEngine(nbio.Config{NPoller: 4})
			loops := sequoiapoller.New(engine, func(*nbio.Conn, []byte) {})
			engine.OnClose(func(*nbio.Conn, error) {})
			Expect(engine.Start()).To(Succeed())
			Expect(loops.AwaitStart()).To(Succeed())
			stopped := make(chan struct{})
			go func() {
				engine.Stop()
				close(stopped)
			}()
			Eventually(stopped).WithTimeout(10 * time.Second).Should(BeClosed())
		}
	})
})
