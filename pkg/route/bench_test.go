package route_test

import (
	"fmt"
	"testing"

	"github.com/skylarkloom/skylarkloom/pkg/route"
)

// BenchmarkPick measures Pick alone.
func BenchmarkPick(b *testing.B) {
	for _, count := range []int{10, 100, 600} {
		for _, p := range policies {
			b.Run(fmt.Sprintf("%s/%d", p.name, count), func(b *testing.B) {
				v, q := newView(count), newQuery(0)
				b.ReportAllocs()
				for b.Loop() {
					q.Seed++
					if _, err := route.Pick(p.pick, q, v); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}
