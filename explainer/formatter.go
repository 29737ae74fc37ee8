package explainer

import (
	"time"

	"github.com/sirupsen/logrus"
)

// Formatter writes the lines of an Explainer as they are, with time and level
// in front.
type Formatter struct{}

// Format implements logrus.Formatter.
func (Formatter) Format(e *logrus.Entry) ([]byte, error) {
	line := "time=" + e.Time.UTC().Format(time.RFC3339Nano) + " level=" + e.Level.String() + " " + e.Message + "\n"
	return []byte(line), nil
}
