package crashdetector

import (
	"runtime"
	"testing"

	"github.com/egretflow/egretflow"
)

// partsFrom returns n parts that start with a number.
func partsFrom(first, n int) []egretflow.PartHash {
	parts := make([]egretflow.PartHash, n)
	for k := range parts {
		parts[k] = egretflow.PartHash(first + k)
	}
	return parts
}

// BenchmarkRequest measures what one request costs whose answer is observed 20 times.
func BenchmarkRequest(b *testing.B) {
	for _, bench := range []struct {
		name  string
		parts int
		lost  bool
	}{{"3Parts", 3, false}, {"400Parts", 400, false}, {"400PartsAfterLoss", 400, true}} {
		b.Run(bench.name, func(b *testing.B) {
			d, parts := New(), partsFrom(1, bench.parts)
			if bench.lost {
				d.RecordPartLoss(append(partsFrom(100, 400), 0xdead), Loss{Server: "a"}, at(0), at(1))
			}
			for b.Loop() {
				d.PartVerdict(parts, at(2))
				d.AnswerAdvanced(7, parts, 0, 1, at(2))
				for n := range 18 {
					d.AnswerAdvanced(7, parts, 1+50*n, 51+50*n, at(2))
				}
				d.AnswerAdvanced(7, parts, 901, WholeAnswer, at(2))
			}
		})
	}
}

// BenchmarkLoss measures what the loss of a server costs that ran 20 requests.
func BenchmarkLoss(b *testing.B) {
	d, n := New(), 0
	for b.Loop() {
		for range 20 {
			n++
			d.RecordPartLoss(append(partsFrom(1, 399), egretflow.PartHash(1000+n)), Loss{Server: "a"}, at(n), at(n))
		}
	}
}

// BenchmarkFullMemory measures the heap of a detector that is full of parts.
func BenchmarkFullMemory(b *testing.B) {
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		d := New()
		for n := range 100 {
			parts := partsFrom(1+400*n, 400)
			d.RecordPartLoss(parts, Loss{Server: "a"}, at(n), at(n))
			d.AnswerAdvanced(0, partsFrom(100000+400*n, 400), 0, WholeAnswer, at(n))
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB")
		runtime.KeepAlive(d)
	}
}
