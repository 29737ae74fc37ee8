package crashdetector

import (
	"math"
	"time"

	"github.com/egretflow/egretflow"
)

const (
	// WholeAnswer is the progress of an answer that ended complete.
	WholeAnswer = math.MaxInt
	// unknownDepth is the depth of a loss during an answer of unknown progress. Only a
	// complete answer gets beyond it.
	unknownDepth = WholeAnswer / 2
	// crossingShare is the share of a depth by which an answer must exceed it. Of an
	// answer that breaks off, some of the last output may be lost.
	crossingShare = 0.25
	// maxSoundParts bounds the sound parts that are remembered, in each of the two
	// generations.
	maxSoundParts = 8192
)

// crossed reports whether an answer that got from one progress to another got beyond
// a depth on the way.
func crossed(depth, from, to int) bool {
	limit := depth + int(crossingShare*float64(depth))
	return from <= limit && limit < to
}

// IsBeyond reports whether an answer with the given progress got beyond a depth.
func IsBeyond(progress, depth int) bool { return crossed(depth, 0, progress) }

// soundPart is how far answers with a part got, and when one last got that far.
type soundPart struct {
	at       time.Time
	progress int
}

// noteSound remembers how far an answer with the parts got.
func (d *Detector) noteSound(parts []egretflow.PartHash, progress int, now time.Time) {
	for _, part := range parts {
		known := d.soundPart(part)
		if len(d.sound) >= maxSoundParts {
			d.formerSound, d.sound = d.sound, map[egretflow.PartHash]soundPart{}
		}
		if progress >= known.progress {
			known = soundPart{at: now, progress: progress}
		}
		d.sound[part] = known
	}
}

func (d *Detector) soundPart(part egretflow.PartHash) soundPart {
	if s, ok := d.sound[part]; ok {
		return s
	}
	return d.formerSound[part]
}

// soundBeyond reports whether an answer with the part once got beyond a depth.
func (d *Detector) soundBeyond(part egretflow.PartHash, depth int) bool {
	return IsBeyond(d.soundPart(part).progress, depth)
}
