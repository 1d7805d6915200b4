package main

import (
	"context"
	"fmt"
	"io"

	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaadmin"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

type confirmLossCommand struct {
	adminOptions
	Incarnation string `arg:"--incarnation" help:"incarnation of the lost process, 16 hexadecimal digits as shown by status. WARNING: use this only if the process is permanently lost (machine destroyed or switched off) and its keys have no owner because two of its witnesses were lost with it. Its keys are assigned to other processes without waiting for its witnesses. If it is alive but partitioned from the network, two upstreams may act on the same key. The command is refused if the process or one of its witnesses answers that the lease is still renewed, which it cannot detect across a network partition"`
	Instance    string `arg:"--instance" help:"name of the instance, instead of the incarnation, if it has only one member"`
}

func (c *confirmLossCommand) run(ctx context.Context, out io.Writer) error {
	req := sequoiaadmin.ConfirmLossRequest{Instance: c.Instance}
	if (c.Incarnation == "") == (c.Instance == "") {
		return inputError{errors.New("give either --incarnation or --instance")}
	}
	if c.Incarnation != "" {
		id, err := sequoiatable.ParseIncarnationID(c.Incarnation)
		if err != nil {
			return inputError{errors.Wrap(err, "--incarnation")}
		}
		req.Incarnation = id
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	done, err := client.ConfirmLoss(ctx, req)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "the keys of the lost process have other owners as of log index %d\n", done.Revision)
	return nil
}
