package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/tailscale/hujson"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiasettings"
)

type checkCommand struct {
	File string `arg:"positional,required" help:"settings of a process, or a configuration document"`
}

func (c *checkCommand) run(_ context.Context, out io.Writer) error {
	data, err := readInputFile(c.File)
	if err != nil {
		return err
	}
	if isConfiguration(data) {
		_, err = sequoiasettings.ParseConfiguration(c.File, data)
	} else {
		_, err = sequoiasettings.ParseSettings(c.File, data)
	}
	if err != nil {
		return inputError{err}
	}
	fmt.Fprintf(out, "%s: no faults\n", c.File)
	return nil
}

// isConfiguration reports whether the document is a configuration rather than settings. Only configurations have the
// field Services, which is mandatory there.
func isConfiguration(data []byte) bool {
	v, err := hujson.Parse(data)
	if err != nil {
		return false
	}
	return v.Find("/Services") != nil
}

// readInputFile reads a file named on the command line. A failure counts as invalid input.
func readInputFile(name string) ([]byte, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, inputError{err}
	}
	return data, nil
}

// readSettings reads the settings of a process and the secrets that they refer to.
func readSettings(name string) (sequoiasettings.Settings, error) {
	data, err := readInputFile(name)
	if err != nil {
		return sequoiasettings.Settings{}, err
	}
	s, err := sequoiasettings.ParseSettings(name, data)
	if err != nil {
		return s, inputError{err}
	}
	if err := s.ReadSecrets(os.ReadFile); err != nil {
		return s, inputError{err}
	}
	return s, nil
}
