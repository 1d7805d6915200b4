package main

import (
	"context"
	"io"
	"os"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaquestionnaire"
)

type questionnaireCommand struct {
	Answers string `arg:"--answers" help:"file with the answers, JSON with comments; without it the questions are asked on the terminal"`
}

// run writes the configuration to out. The questions are written to standard error, so that the output can be
// redirected.
func (c *questionnaireCommand) run(_ context.Context, out io.Writer) error {
	answers, err := c.answers()
	if err != nil {
		return err
	}
	document, err := answers.Configuration()
	if err != nil {
		return inputError{err}
	}
	_, err = out.Write(document)
	return err
}

func (c *questionnaireCommand) answers() (sequoiaquestionnaire.Answers, error) {
	if c.Answers == "" {
		answers, err := sequoiaquestionnaire.Ask(os.Stdin, os.Stderr)
		if err != nil {
			return answers, inputError{err}
		}
		return answers, nil
	}
	data, err := readInputFile(c.Answers)
	if err != nil {
		return sequoiaquestionnaire.Answers{}, err
	}
	answers, err := sequoiaquestionnaire.ParseAnswers(c.Answers, data)
	if err != nil {
		return answers, inputError{err}
	}
	return answers, nil
}
