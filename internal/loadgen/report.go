package loadgen

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"text/tabwriter"

	"github.com/egretflow/egretflow"
	"github.com/pkg/errors"
)

// WriteTable writes a table with one line per result.
func WriteTable(w io.Writer, results []*Result) error {
	tw := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(tw, "Scenario\tPolicy\tSeed\tArrived\tWhole\tRefused\tFailed\tGoodput/s\tCritical%\tHigh%\tNormal%\tLow%\tWasted%\tTTFT p50 ms\tp99 ms\tGap p95 ms\tPeer B/s")
	for _, r := range results {
		fmt.Fprintf(tw, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%.2f", r.Scenario, r.Policy, r.Seed, r.Arrived, r.Whole, r.Refused, r.Failed, r.GoodputPerSecond)
		for _, i := range egretflow.Importances {
			fmt.Fprintf(tw, "\t%.1f", r.GoodByImportance[i])
		}
		fmt.Fprintf(tw, "\t%.2f\t%.0f\t%.0f\t%.1f\t%.0f\n", r.WastedPrefillPercent, r.FirstTokenP50, r.FirstTokenP99, r.TokenGapP95, r.PeerBytesPerSecond)
	}
	if err := tw.Flush(); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	return nil
}

// WriteJSON writes one JSON object per result, each on its own line.
func WriteJSON(w io.Writer, results []*Result) error {
	enc := json.NewEncoder(w)
	for _, r := range results {
		if err := enc.Encode(r); err != nil {
			return fmt.Errorf("encode result: %w", err)
		}
	}
	return nil
}

// ReadJSON reads results that WriteJSON wrote.
func ReadJSON(r io.Reader) ([]*Result, error) {
	var results []*Result
	for dec := json.NewDecoder(r); ; {
		var result Result
		err := dec.Decode(&result)
		if errors.Is(err, io.EOF) {
			return results, nil
		}
		if err != nil {
			return nil, fmt.Errorf("decode result: %w", err)
		}
		results = append(results, &result)
	}
}

// Spread holds the mean, the lowest and the highest value of a measure over
// several runs.
type Spread struct {
	Mean, Lowest, Highest float64
}

// SpreadOf returns the spread of a measure over results. Lowest and Highest are
// infinite if there are none.
func SpreadOf(results []*Result, measure func(*Result) float64) Spread {
	s := Spread{Lowest: math.Inf(1), Highest: math.Inf(-1)}
	for _, r := range results {
		v := measure(r)
		s.Mean += v / float64(len(results))
		s.Lowest = min(s.Lowest, v)
		s.Highest = max(s.Highest, v)
	}
	return s
}
