package router_test

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/skylarkloom/skylarkloom/pkg/api/engine"
	"github.com/skylarkloom/skylarkloom/pkg/generation"
	"github.com/skylarkloom/skylarkloom/pkg/router"
)

// BenchmarkDecision measures a whole decision: hashing the blocks of a prompt of
// about 1000 tokens, the prefix lookup, the choice and the release.
func BenchmarkDecision(b *testing.B) {
	for _, count := range []int{10, 100, 600} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			r := newTestRouter(count)
			for n, i := range r.Roster.Instances() {
				r.MergeReport(router.EngineLoad{Instance: i.Ref(), Load: engine.Load{Running: n % 7, Slots: 16}, At: r.clock})
			}
			g := generation.Request{Pool: pool, Prompt: strings.Repeat("season plan ", 333), MaxTokens: 100}
			b.ReportAllocs()
			for b.Loop() {
				a, err := r.AssignEngine(context.Background(), g, 0, nil)
				if err != nil {
					b.Fatal(err)
				}
				a.Release(nil)
			}
		})
	}
}
