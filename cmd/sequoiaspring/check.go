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
	data, err := readInput(c.File)
	if err != nil {
		return err
	}
	if isConfiguration(data) {
		_, err = sequoiasettings.ParseConfiguration(c.File, data)
	} else {
		_, err = sequoiasettings.ParseSettings(c.File, data)
	}
	if err != nil {
		return inputFault{err}
	}
	fmt.Fprintf(out, "%s: no faults\n", c.File)
	return nil
}

// isConfiguration tells the two kinds of document apart by the one field that every configuration has.
func isConfiguration(data []byte) bool {
	v, err := hujson.Parse(data)
	if err != nil {
		return false
	}
	return v.Find("/Services") != nil
}

// readInput reads a file that the user named.
func readInput(name string) ([]byte, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, inputFault{err}
	}
	return data, nil
}

// readSettings reads the settings of a process with its secrets.
func readSettings(name string) (sequoiasettings.Settings, error) {
	data, err := readInput(name)
	if err != nil {
		return sequoiasettings.Settings{}, err
	}
	s, err := sequoiasettings.ParseSettings(name, data)
	if err != nil {
		return s, inputFault{err}
	}
	if err := s.ReadSecrets(os.ReadFile); err != nil {
		return s, inputFault{err}
	}
	return s, nil
}
