package main

import (
	"context"
	"io"

	"github.com/pkg/errors"
)

type questionnaireCommand struct {
	Answers string `arg:"--answers" help:"file of answers, JSON with comments; without it the questions are asked in the terminal"`
}

func (c *questionnaireCommand) run(_ context.Context, out io.Writer) error {
	return errors.New("not available yet")
}
