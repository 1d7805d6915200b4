package main

import (
	"bytes"
	"context"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestCommands(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "sequoiaspring")
}

var _ = Describe("confirm-loss", func() {
	It("warns in its help that a key may get two owners, so that nobody uses it for an ordinary restart", func() {
		var stdout, stderr bytes.Buffer
		Expect(execute(context.Background(), []string{"confirm-loss", "--help"}, &stdout, &stderr)).To(Equal(exitOK))
		Expect(stdout.String()).To(And(ContainSubstring("WARNING"), ContainSubstring("two upstreams may act on the same key")))
	})

	It("rejects a malformed incarnation instead of taking it for another member", func() {
		var stdout, stderr bytes.Buffer
		args := []string{"confirm-loss", "--incarnation", "host-1", "--credential", "x"}
		Expect(execute(context.Background(), args, &stdout, &stderr)).To(Equal(exitInput))
		Expect(stderr.String()).To(ContainSubstring("--incarnation"))
	})
})
