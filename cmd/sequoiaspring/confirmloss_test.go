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
	It("warns in its help that two owners may result, so that nobody uses it as an ordinary restart", func() {
		var out, faults bytes.Buffer
		Expect(execute(context.Background(), []string{"confirm-loss", "--help"}, &out, &faults)).To(Equal(exitOK))
		Expect(out.String()).To(And(ContainSubstring("WARNING"), ContainSubstring("two upstreams may act on the same key")))
	})

	It("refuses an identifier that is not one instead of naming another member", func() {
		var out, faults bytes.Buffer
		args := []string{"confirm-loss", "--incarnation", "host-1", "--credential", "x"}
		Expect(execute(context.Background(), args, &out, &faults)).To(Equal(exitInput))
		Expect(faults.String()).To(ContainSubstring("--incarnation"))
	})
})
