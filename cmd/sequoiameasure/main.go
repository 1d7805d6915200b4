// Command sequoiameasure measures latency, throughput and the cost of control traffic on loopback. It prints a table,
// followed by one JSON object.
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
	Parts   []string      `arg:"--parts" help:"parts to measure: latency, throughput, control, storelease, configuration, log, handshake, core; all by default"`
	Repeats int           `arg:"--repeats" default:"3" help:"number of runs of each measurement"`
	Sizes   []int         `arg:"--sizes" help:"fleet sizes in processes; 9 18 36 72 by default"`
	Members []int         `arg:"--members" help:"member counts for the part core; 475 950 1900 3800 by default"`
	Window  time.Duration `arg:"--window" default:"5s" help:"duration of each measurement"`
	Timeout time.Duration `arg:"--timeout" default:"30m" help:"time limit of the whole run"`
}

// Description returns the text that --help shows.
func (arguments) Description() string {
	return "sequoiameasure measures latency, throughput and the cost of control traffic on loopback."
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

// run runs the measurements and prints their results, including those of parts that finished before another one failed.
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
