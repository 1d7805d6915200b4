package main

import (
	"context"
	"io"

	sequoiaplatform "github.com/sequoiaspring/sequoiaspring/platform"
)

type platformCommand struct{}

// run serves until SIGTERM. The platform determines the settings file.
func (c *platformCommand) run(ctx context.Context, out io.Writer) error {
	return sequoiaplatform.Run(ctx, out)
}
