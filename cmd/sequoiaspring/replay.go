package main

import (
	"context"
	"io"
	"os"

	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatrace"
)

// errOutcomeNotMet means that a replay did not meet the outcomes stated in the trace.
var errOutcomeNotMet = errors.New("the policy does not meet the outcomes stated in the trace")

type replayCommand struct {
	Trace string `arg:"positional,required" help:"recorded trace file, JSON lines"`
}

func (c *replayCommand) run(_ context.Context, out io.Writer) error {
	f, err := os.Open(c.Trace)
	if err != nil {
		return inputError{err}
	}
	defer func() { _ = f.Close() }()
	t, err := sequoiatrace.Read(f)
	if err != nil {
		return inputError{errors.Wrap(err, c.Trace)}
	}
	ok, err := sequoiatrace.Replay(out, t)
	if err != nil {
		return err
	}
	if !ok {
		return errOutcomeNotMet
	}
	return nil
}
