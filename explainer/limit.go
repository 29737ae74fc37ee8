package explainer

import (
	"strconv"
	"sync/atomic"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/sirupsen/logrus"
)

// Lines per second and level. An instance that serves 70 requests/s writes about
// 500 lines/s; warnings have a budget of their own, so that a crest of requests
// does not hide them.
const (
	infoLinesPerSecond    = 2000
	warningLinesPerSecond = 500
)

// lineLimit bounds the lines of one level in each second.
type lineLimit struct {
	level     logrus.Level
	perSecond int
	second    int64
	lines     int
	dropped   atomic.Uint64
	// reported is the part of dropped that the log tells of. Only Run uses it.
	reported uint64
}

func newLimits() []*lineLimit {
	return []*lineLimit{
		{level: logrus.InfoLevel, perSecond: infoLinesPerSecond},
		{level: logrus.WarnLevel, perSecond: warningLinesPerSecond},
	}
}

// allow counts a line and reports whether it may be written.
func (l *lineLimit) allow(now time.Time) bool {
	if second := now.Unix(); second != l.second {
		l.second, l.lines = second, 0
	}
	l.lines++
	return l.lines <= l.perSecond
}

// limitOf returns the limit for the lines of an event. Errors share that of
// warnings.
func (x *Explainer) limitOf(name egretflow.EventName) *lineLimit {
	if level(name) == logrus.InfoLevel {
		return x.limits[0]
	}
	return x.limits[1]
}

// Dropped returns the number of log lines that were not written, by level.
func (x *Explainer) Dropped() map[logrus.Level]uint64 {
	dropped := map[logrus.Level]uint64{}
	for _, l := range x.limits {
		dropped[l.level] = l.dropped.Load()
	}
	return dropped
}

// reportDropped writes a line for each level that lost lines, at most once in
// reportInterval.
func (x *Explainer) reportDropped(instance egretflow.InstanceName, now time.Time) {
	if now.Sub(x.reportedAt) < reportInterval {
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
