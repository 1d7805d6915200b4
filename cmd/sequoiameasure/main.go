// Command sequoiameasure measures latency, throughput and control cost on loopback. It prints a table and ends with one
// JSON object.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiameasure"
)

// Exit codes.
const (
	exitFailure = 1
	exitInput   = 2
)

type arguments struct {
	Parts   []string      `arg:"--parts" help:"latency, throughput, control, storelease, configuration, log, handshake, core; all by default"`
	Repeats int           `arg:"--repeats" default:"3" help:"how often each measurement runs"`
	Sizes   []int         `arg:"--sizes" help:"processes of a fleet; 9 18 36 72 by default"`
	Members []int         `arg:"--members" help:"members of the core alone; 475 950 1900 3800 by default"`
	Window  time.Duration `arg:"--window" default:"5s" help:"how long one figure is measured"`
	Timeout time.Duration `arg:"--timeout" default:"30m" help:"bound of the whole run"`
}

// Description is shown by --help.
func (arguments) Description() string {
	return "sequoiameasure measures latency, throughput and control cost on loopback."
}

func (a *arguments) config() sequoiameasure.Config {
	cfg := sequoiameasure.Config{Parts: a.Parts, Repeats: a.Repeats, Sizes: a.Sizes, Members: a.Members, Window: a.Window}
	if len(cfg.Parts) == 0 {
		cfg.Parts = sequoiameasure.Parts
	}
	if len(cfg.Sizes) == 0 {
		cfg.Sizes = []int{9, 18, 36, 72}
	}
	if len(cfg.Members) == 0 {
		cfg.Members = []int{475, 950, 1900, 3800}
	}
	return cfg
}

func main() {
	var a arguments
	arg.MustParse(&a)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	ctx, cancel := context.WithTimeout(ctx, a.Timeout)
	code := run(ctx, a.config())
	cancel()
	stop()
	os.Exit(code)
}

// run measures and prints what was measured, also when a later part failed.
func run(ctx context.Context, cfg sequoiameasure.Config) int {
	report, err := sequoiameasure.Run(ctx, cfg, os.Stderr)
	if report != nil {
		if printErr := report.Print(os.Stdout); err == nil {
			err = printErr
		}
	}
	switch {
	case errors.Is(err, sequoiameasure.ErrConfig):
		fmt.Fprintln(os.Stderr, err)
		return exitInput
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	return 0
}
