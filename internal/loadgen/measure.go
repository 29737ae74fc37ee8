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
	// Arrived counts the measured arrivals, Good the whole answers that met both
	// targets, and Whole all whole answers.
	Arrived int
	Good    int
	Whole   int
	// Refused counts answers with an error status; Failed counts incomplete
	// answers and connection errors.
	Refused int
	Failed  int
	// GoodputPerSecond is Good divided by the measured time.
	GoodputPerSecond float64
	// GoodByImportance is the percentage of arrivals of each importance whose
	// answer counted as Good.
	GoodByImportance map[egretflow.Importance]float64
	// WastedPrefillPercent is the percentage of computed prompt tokens whose
	// result no whole answer used.
	WastedPrefillPercent float64
	// First-token times and mean token gaps of whole answers, in milliseconds.
	FirstTokenP50 float64
	FirstTokenP99 float64
	TokenGapP95   float64
	// PeerBytesPerSecond is the mean rate at which an instance writes to its
	// peers while requests arrive.
	PeerBytesPerSecond float64
}

const (
	histogramMinMicros         = 1
	histogramMaxMicros         = 120_000_000
	histogramSignificantDigits = 3
)

// measurement collects the answers of a run. It is not safe for concurrent use.
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
		firstToken: hdrhistogram.New(histogramMinMicros, histogramMaxMicros, histogramSignificantDigits),
		gap:        hdrhistogram.New(histogramMinMicros, histogramMaxMicros, histogramSignificantDigits),
	}
}

// finishedRequest is an arrival with its answer.
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

// record stores a duration in microseconds. Values outside the range of the
// histogram are clamped.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	// A value within the range of the histogram causes no error.
	_ = h.RecordValue(min(max(d.Microseconds(), histogramMinMicros), histogramMaxMicros))
}

func (m *measurement) finish(measured time.Duration) *Result {
	r := m.result
	r.GoodputPerSecond = float64(r.Good) / measured.Seconds()
	r.GoodByImportance = map[egretflow.Importance]float64{}
	for i, n := range m.arrived {
		r.GoodByImportance[i] = 100 * float64(m.good[i]) / float64(n)
	}
	r.FirstTokenP50 = percentileMillis(m.firstToken, 50)
	r.FirstTokenP99 = percentileMillis(m.firstToken, 99)
	r.TokenGapP95 = percentileMillis(m.gap, 95)
	return &r
}

func percentileMillis(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtQuantile(percentile)) / 1000
}
