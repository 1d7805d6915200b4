package main

import (
	"context"
	"io"
	"os"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiainstance"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoialog"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiastore"
)

type runCommand struct {
	Settings string `arg:"--settings,required" help:"settings file of the process, JSON with comments"`
}

// run serves until SIGTERM or an operator's drain, then hands over its keys. Logs are written to standard error.
func (c *runCommand) run(ctx context.Context, _ io.Writer) error {
	settings, err := readSettings(c.Settings)
	if err != nil {
		return err
	}
	log := sequoialog.New(
		os.Stderr, sequoialog.WithInstance(settings.Instance),
		sequoialog.WithRate(settings.Log.LinesPerSecond), sequoialog.WithSample(settings.Log.SampleOneIn),
	)
	defer log.Close()
	client := sequoiastore.New(settings.Store[0])
	defer client.Close()
	process, err := sequoiainstance.New(settings, sequoiainstance.NewStore(client), log)
	if err != nil {
		return err
	}
	return process.Run(ctx)
}
