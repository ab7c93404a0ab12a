package generation_test

import (
	"context"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkloom/skylarkloom/pkg/api/engine"
	"github.com/skylarkloom/skylarkloom/pkg/endpoint"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/generation"
)

var errBroken = errors.New("broken")

// script makes engines that each stream a few tokens and then end as told.
type script struct {
	// steps are the tokens that each attempt gives before it ends.
	steps []int
	// moved makes the attempts end by a reclaim instead of a failure.
	moved    bool
	exported int
	refuse   bool
	imported []engine.Import
	attempts int
	paused   int
}

func (s *script) runner() *generation.Runner {
	return &generation.Runner{
		Pick:  s.pick,
		Pause: func(context.Context, int) error { s.paused++; return nil },
	}
}

func (s *script) pick(context.Context, generation.Request, int, []fleet.InstanceRef) (generation.Lease, error) {
	n := s.attempts
	s.attempts++
	stay, leave := context.WithCancel(context.Background())
	e := &endpoint.Engine{
		GenerateFunc: func(ctx context.Context, g engine.Generate, emit func(engine.Frame) error) error {
			return s.stream(ctx, n, g, emit, leave)
		},
		ExportFunc: func(_ context.Context, x engine.Export) (engine.Import, error) {
			s.exported++
			return engine.Import{ID: x.ID, Tokens: 1000}, nil
		},
		ImportFunc: func(_ context.Context, i engine.Import) error {
			if s.refuse {
				return errBroken
			}
			s.imported = append(s.imported, i)
			return nil
		},
	}
	return generation.Lease{Engine: e, MoveCtx: stay, Release: func(error) { leave() }}, nil
}

func (s *script) stream(ctx context.Context, n int, g engine.Generate, emit func(engine.Frame) error, leave func()) error {
	list := frames(g.Attempt, len(g.Emitted))
	if n < len(s.steps) {
		list = list[:s.steps[n]]
	}
	for _, f := range list {
		if err := emit(f); err != nil || f.Done {
			return err
		}
	}
	if !s.moved {
		return errBroken
	}
	leave()
	<-ctx.Done()
	return ctx.Err()
}

func (s *script) run() (string, generation.Result, error) {
	var b strings.Builder
	r := generation.Request{ID: "r", Prompt: strings.Repeat("toy ", 200), MaxTokens: 99, Deadline: time.Now().Add(time.Minute)}
	res, err := s.runner().Run(context.Background(), r, func(text string) error {
		b.WriteString(text)
		return nil
	})
	return b.String(), res, err
}

var _ = Describe("A generation", func() {
	whole := strings.Join(answer, "")

	It("survives more waves than it may have failures", func() {
		s := &script{steps: []int{1, 0, 1, 0, 0, 1, 0, 0, 1}, moved: true}
		text, res, err := s.run()
		Expect(err).NotTo(HaveOccurred())
		Expect(text).To(Equal(whole))
		Expect(res.Attempts).To(Equal(10))
		Expect(s.paused).To(BeZero())
	})

	It("takes the KV cache along, and recomputes nothing then", func() {
		s := &script{steps: []int{3, 2}, moved: true}
		text, res, err := s.run()
		Expect(err).NotTo(HaveOccurred())
		Expect(text).To(Equal(whole))
		Expect(s.imported).To(HaveLen(2))
		Expect(res.Causes.Failure).To(BeZero())
	})

	It("recomputes, and counts it, if the cache cannot be moved", func() {
		s := &script{steps: []int{3, 1}, moved: true, refuse: true}
		text, res, err := s.run()
		Expect(err).NotTo(HaveOccurred())
		Expect(text).To(Equal(whole))
		Expect(res.Causes.Reclaim).To(Equal(res.Recomputed))
		Expect(res.Recomputed).To(BeNumerically(">=", 201+3))
	})

	It("pauses before retries after failures, and gives up in the end", func() {
		s := &script{steps: []int{1, 1, 1, 1, 1, 1, 1}}
		text, _, err := s.run()
		var gaveUp *generation.ExhaustedError
		Expect(errors.As(err, &gaveUp)).To(BeTrue())
		Expect(gaveUp.Attempts).To(Equal(generation.DefaultMaxFailures))
		Expect(text).To(Equal(strings.Join(answer[:6], "")))
		Expect(s.paused).To(Equal(generation.DefaultMaxFailures - 1))
	})
})
