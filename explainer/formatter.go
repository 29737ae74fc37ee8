package explainer

import (
	"time"

	"github.com/sirupsen/logrus"
)

// Formatter is a logrus.Formatter that writes the message of an entry unchanged,
// preceded by time and level. ParseLine reads its lines.
type Formatter struct{}

// Format implements logrus.Formatter.
func (Formatter) Format(e *logrus.Entry) ([]byte, error) {
	line := "time=" + e.Time.UTC().Format(time.RFC3339Nano) + " level=" + e.Level.String() + " " + e.Message + "\n"
	return []byte(line), nil
}
