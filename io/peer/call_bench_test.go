package peer

import (
	"testing"
)

func BenchmarkCall(b *testing.B) {
	f := &fleet{addresses: make(map[string]string)}
	x := &Links{Self: "a"}
	f.start(b, x)
	f.start(b, &Links{Self: "b"})
	body := make([]byte, 100)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := x.Call(b.Context(), "b", "echo", body); err != nil {
			b.Fatal(err)
		}
	}
}
