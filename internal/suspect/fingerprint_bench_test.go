package suspect_test

import (
	"fmt"
	"testing"

	"github.com/limpetdock/limpetdock/internal/suspect"
)

// BenchmarkFingerprint measures what a guard does for each request that is answered, by the size of
// its body.
func BenchmarkFingerprint(b *testing.B) {
	for _, size := range []int{0, 2 << 10, 64 << 10} {
		b.Run(fmt.Sprintf("%d B", size), func(b *testing.B) {
			id := suspect.Identity{
				Service: "orders", Caller: "stock", Method: "POST", Host: "orders.example", URI: "/basket/7741?confirm=1", Body: make([]byte, size),
			}
			b.ReportAllocs()
			for b.Loop() {
				_ = id.Fingerprint()
			}
		})
	}
}
