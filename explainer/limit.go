package explainer

import (
	"strconv"
	"sync/atomic"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/sirupsen/logrus"
)

// Limits on the log lines per second, by level. An instance that serves 70
// requests/s writes about 500 lines/s. Warnings have a separate limit so that the
// info lines of a load peak don't crowd them out.
const (
	infoLinesPerSecond    = 2000
	warningLinesPerSecond = 500
)

// lineLimit limits the lines of one level in each second. Explainer.mu guards
// currentSecond and linesInSecond.
type lineLimit struct {
	level         logrus.Level
	perSecond     int
	currentSecond int64
	linesInSecond int
	dropped       atomic.Uint64
	// reported is the part of dropped that the log has reported. Only Run uses it.
	reported uint64
}

func newLimits() []*lineLimit {
	return []*lineLimit{
		{level: logrus.InfoLevel, perSecond: infoLinesPerSecond},
		{level: logrus.WarnLevel, perSecond: warningLinesPerSecond},
	}
}

// allow counts a line and reports whether it is within the limit of its second.
func (l *lineLimit) allow(now time.Time) bool {
	if second := now.Unix(); second != l.currentSecond {
		l.currentSecond, l.linesInSecond = second, 0
	}
	l.linesInSecond++
	return l.linesInSecond <= l.perSecond
}

// limitOf returns the limit for the lines of an event. Errors share the limit of
// warnings.
func (x *Explainer) limitOf(name egretflow.EventName) *lineLimit {
	if level(name) == logrus.InfoLevel {
		return x.limits[0]
	}
	return x.limits[1]
}

// DroppedLines returns the number of log lines dropped since the start, by level.
// Errors are counted as warnings.
func (x *Explainer) DroppedLines() map[logrus.Level]uint64 {
	dropped := map[logrus.Level]uint64{}
	for _, l := range x.limits {
		dropped[l.level] = l.dropped.Load()
	}
	return dropped
}

// reportDropped writes an EventLinesDropped line for each level whose lines were
// dropped since the last report, at most once per dropReportInterval.
func (x *Explainer) reportDropped(instance egretflow.InstanceName, now time.Time) {
	if now.Sub(x.reportedAt) < dropReportInterval {
		return
	}
	for _, l := range x.limits {
		dropped := l.dropped.Load()
		if dropped == l.reported {
			continue
		}
		x.reportedAt = now
		x.write(egretflow.NewEvent(egretflow.EventLinesDropped, now, instance,
			"Level", l.level.String(), "Lines", strconv.FormatUint(dropped-l.reported, 10)))
		l.reported = dropped
	}
}
