package loadgen

import (
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/egretflow/egretflow"
)

// Result holds the measures of one run of one policy.
type Result struct {
	Scenario string
	Policy   string
	Seed     uint64
	// Arrived counts measured arrivals, Good the whole answers within both
	// targets, Whole the whole answers.
	Arrived int
	Good    int
	Whole   int
	// Refused counts answers with an error status, Failed broken answers and
	// connections.
	Refused int
	Failed  int
	// GoodputPerSecond is Good over the measured time.
	GoodputPerSecond float64
	// GoodByImportance is the share of arrivals of each class that were good,
	// in percent.
	GoodByImportance map[egretflow.Importance]float64
	// WastedPrefillPercent is the share of computed prompt tokens whose result
	// no whole answer used.
	WastedPrefillPercent float64
	// First-token times of whole answers and token gaps, in milliseconds.
	FirstTokenP50 float64
	FirstTokenP99 float64
	TokenGapP95   float64
	// PeerBytesPerSecond is the mean rate at which an instance writes to its
	// peers while requests arrive.
	PeerBytesPerSecond float64
}

const (
	histogramLowest  = 1
	histogramHighest = 120_000_000
	histogramDigits  = 3
)

// measurement collects answers; it belongs to one goroutine.
type measurement struct {
	result     Result
	arrived    map[egretflow.Importance]int
	good       map[egretflow.Importance]int
	firstToken *hdrhistogram.Histogram
	gap        *hdrhistogram.Histogram
}

func newMeasurement(r Result) *measurement {
	return &measurement{
		result:     r,
		arrived:    map[egretflow.Importance]int{},
		good:       map[egretflow.Importance]int{},
		firstToken: hdrhistogram.New(histogramLowest, histogramHighest, histogramDigits),
		gap:        hdrhistogram.New(histogramLowest, histogramHighest, histogramDigits),
	}
}

// finishedRequest pairs an arrival with its answer.
type finishedRequest struct {
	arrival *Arrival
	sentAt  time.Time
	answer  *Answer
}

func (m *measurement) add(f finishedRequest) {
	if !f.arrival.Measured {
		return
	}
	m.result.Arrived++
	m.arrived[f.arrival.Importance]++
	switch {
	case f.answer.Whole:
		m.addWhole(f)
	case f.answer.Status >= http.StatusBadRequest:
		m.result.Refused++
	default:
		m.result.Failed++
	}
}

func (m *measurement) addWhole(f finishedRequest) {
	m.result.Whole++
	firstToken := f.answer.FirstTokenAt.Sub(f.sentAt)
	record(m.firstToken, firstToken)
	gap := meanGap(f.answer)
	if f.answer.Tokens > 1 {
		record(m.gap, gap)
	}
	if firstToken <= FirstTokenTarget && gap <= TokenTarget {
		m.result.Good++
		m.good[f.arrival.Importance]++
	}
}

func meanGap(a *Answer) time.Duration {
	if a.Tokens < 2 {
		return 0
	}
	return a.LastTokenAt.Sub(a.FirstTokenAt) / time.Duration(a.Tokens-1)
}

// record stores a duration in microseconds; values out of range are clamped.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	// The value is within the histogram's range, so no error is possible.
	_ = h.RecordValue(min(max(d.Microseconds(), histogramLowest), histogramHighest))
}

func (m *measurement) finish(measured time.Duration) *Result {
	r := m.result
	r.GoodputPerSecond = float64(r.Good) / measured.Seconds()
	r.GoodByImportance = map[egretflow.Importance]float64{}
	for i, n := range m.arrived {
		r.GoodByImportance[i] = 100 * float64(m.good[i]) / float64(n)
	}
	r.FirstTokenP50 = milliseconds(m.firstToken, 50)
	r.FirstTokenP99 = milliseconds(m.firstToken, 99)
	r.TokenGapP95 = milliseconds(m.gap, 95)
	return &r
}

func milliseconds(h *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile)) / 1000
}
