package main

import (
	"context"
	"io"
	"os"

	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatrace"
)

// errOutcome reports that a replay did not meet the outcomes stated in the trace.
var errOutcome = errors.New("the policy does not meet the outcomes stated in the trace")

type replayCommand struct {
	Trace string `arg:"positional,required" help:"recorded trace, JSON lines"`
}

func (c *replayCommand) run(_ context.Context, out io.Writer) error {
	f, err := os.Open(c.Trace)
	if err != nil {
		return inputFault{err}
	}
	defer func() { _ = f.Close() }()
	t, err := sequoiatrace.Read(f)
	if err != nil {
		return inputFault{errors.Wrap(err, c.Trace)}
	}
	ok, err := sequoiatrace.Replay(out, t)
	if err != nil {
		return err
	}
	if !ok {
		return errOutcome
	}
	return nil
}
