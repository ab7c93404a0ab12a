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

var errInjected = errors.New("fault")

// scriptedEngines provides one engine per attempt. Each streams a given number of tokens
// and then fails or has its instance reclaimed.
type scriptedEngines struct {
	// tokensPerAttempt holds the number of tokens that each attempt streams before it
	// ends. Later attempts complete the response.
	tokensPerAttempt []int
	// reclaim ends the attempts by a reclaim instead of a failure.
	reclaim      bool
	exports      int
	rejectImport bool
	imported     []engine.KVCache
	attempts     int
	pauses       int
}

func (s *scriptedEngines) runner() *generation.Runner {
	return &generation.Runner{
		Pick:  s.pick,
		Pause: func(context.Context, int) error { s.pauses++; return nil },
	}
}

func (s *scriptedEngines) pick(context.Context, generation.Request, int, []fleet.InstanceRef) (generation.Assignment, error) {
	attempt := s.attempts
	s.attempts++
	moveCtx, move := context.WithCancel(context.Background())
	e := &endpoint.Engine{
		GenerateFunc: func(ctx context.Context, g engine.GenerateRequest, emit func(engine.Frame) error) error {
			return s.stream(ctx, attempt, g, emit, move)
		},
		ExportFunc: func(_ context.Context, x engine.ExportRequest) (engine.KVCache, error) {
			s.exports++
			return engine.KVCache{ID: x.ID, Tokens: 1000}, nil
		},
		ImportFunc: func(_ context.Context, i engine.KVCache) error {
			if s.rejectImport {
				return errInjected
			}
			s.imported = append(s.imported, i)
			return nil
		},
	}
	return generation.Assignment{Engine: e, MoveCtx: moveCtx, Release: func(error) { move() }}, nil
}

func (s *scriptedEngines) stream(ctx context.Context, attempt int, g engine.GenerateRequest, emit func(engine.Frame) error, move func()) error {
	sent := attemptFrames(g.Attempt, len(g.Emitted))
	if attempt < len(s.tokensPerAttempt) {
		sent = sent[:s.tokensPerAttempt[attempt]]
	}
	for _, f := range sent {
		if err := emit(f); err != nil || f.Done {
			return err
		}
	}
	if !s.reclaim {
		return errInjected
	}
	move()
	<-ctx.Done()
	return ctx.Err()
}

func (s *scriptedEngines) run() (string, generation.Result, error) {
	var b strings.Builder
	r := generation.Request{ID: "r", Prompt: strings.Repeat("toy ", 200), MaxTokens: 99, Deadline: time.Now().Add(time.Minute)}
	res, err := s.runner().Run(context.Background(), r, func(text string) error {
		b.WriteString(text)
		return nil
	})
	return b.String(), res, err
}

var _ = Describe("A generation", func() {
	fullText := strings.Join(fullResponse, "")

	It("completes after more reclaims than the maximum number of failures", func() {
		s := &scriptedEngines{tokensPerAttempt: []int{1, 0, 1, 0, 0, 1, 0, 0, 1}, reclaim: true}
		text, res, err := s.run()
		Expect(err).NotTo(HaveOccurred())
		Expect(text).To(Equal(fullText))
		Expect(res.Attempts).To(Equal(10))
		Expect(s.pauses).To(BeZero())
	})

	It("moves the KV cache and counts no recomputed tokens as caused by failures", func() {
		s := &scriptedEngines{tokensPerAttempt: []int{3, 2}, reclaim: true}
		text, res, err := s.run()
		Expect(err).NotTo(HaveOccurred())
		Expect(text).To(Equal(fullText))
		Expect(s.imported).To(HaveLen(2))
		Expect(res.Causes.Failure).To(BeZero())
	})

	It("counts the recomputed tokens if the KV cache cannot be moved", func() {
		s := &scriptedEngines{tokensPerAttempt: []int{3, 1}, reclaim: true, rejectImport: true}
		text, res, err := s.run()
		Expect(err).NotTo(HaveOccurred())
		Expect(text).To(Equal(fullText))
		Expect(res.Causes.Reclaim).To(Equal(res.Recomputed))
		Expect(res.Recomputed).To(BeNumerically(">=", 201+3))
	})

	It("pauses before each retry after a failure and fails after the maximum number of failures", func() {
		s := &scriptedEngines{tokensPerAttempt: []int{1, 1, 1, 1, 1, 1, 1}}
		text, _, err := s.run()
		var exhausted *generation.ExhaustedError
		Expect(errors.As(err, &exhausted)).To(BeTrue())
		Expect(exhausted.Attempts).To(Equal(generation.DefaultMaxFailures))
		Expect(text).To(Equal(strings.Join(fullResponse[:6], "")))
		Expect(s.pauses).To(Equal(generation.DefaultMaxFailures - 1))
	})
})
