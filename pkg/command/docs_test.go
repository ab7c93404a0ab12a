package command_test

import (
	"context"
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkloom/skylarkloom/pkg/command"
)

var _ = It("The pages that are made from the code are as make docs writes them", func(ctx context.Context) {
	pages, err := command.Pages(context.WithoutCancel(ctx))
	Expect(err).NotTo(HaveOccurred())
	for _, p := range pages {
		written, err := os.ReadFile(filepath.Join("..", "..", "docs", p.File))
		Expect(err).NotTo(HaveOccurred())
		Expect(string(written)).To(Equal(p.Text), "run make docs")
	}
}, NodeTimeout(time.Minute))
