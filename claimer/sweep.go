package claimer

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/egretflow/egretflow"
	"github.com/pkg/errors"
)

// sweepMark records the last bucket of a shard whose document was deleted. It
// is stored in the key-value store, so that no bucket is skipped when another
// instance takes over the sweeps of the shard.
type sweepMark struct {
	Bucket bucket
}

// sweep deletes old documents of the shards of which this instance is the first
// committer.
func (c *Claimer) sweep(ctx context.Context) {
	for shard := range Shards {
		members := c.committers(shard)
		if len(members) == 0 || members[0].Name != c.cfg.Instance {
			continue
		}
		if err := c.sweepShard(ctx, shard); err != nil {
			c.record(egretflow.EventStoreUnavailable, location{document: sweepKey(shard)}, "Error", err.Error())
		}
	}
}

// sweepKey returns the store key of the sweepMark of a shard.
func sweepKey(shard int) string { return fmt.Sprintf("%s%d/Swept", documentPrefix, shard) }

// sweepShard deletes the documents of a shard whose keys are all older than
// Retention plus RetentionMargin, at most maxSweepDocuments at a time. Another
// instance may do the same concurrently; the transaction that comes second
// fails with ErrConflict, which is ignored.
func (c *Claimer) sweepShard(ctx context.Context, shard int) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	last := bucketOf(c.cfg.Clock().Add(-Retention-RetentionMargin)) - 1
	entry, err := c.cfg.Store.Get(ctx, sweepKey(shard))
	mark := sweepMark{Bucket: last - maxSweepDocuments}
	switch {
	case errors.Is(err, egretflow.ErrNotFound):
	case err != nil:
		return fmt.Errorf("read sweep mark: %w", err)
	default:
		if err := json.Unmarshal(entry.Value, &mark); err != nil {
			return fmt.Errorf("decode sweep mark: %w", err)
		}
	}
	if mark.Bucket >= last {
		return nil
	}
	next := min(last, mark.Bucket+maxSweepDocuments)
	value, err := json.Marshal(sweepMark{Bucket: next})
	if err != nil {
		return fmt.Errorf("encode sweep mark: %w", err)
	}
	txn := egretflow.StoreTxn{
		Conditions: []egretflow.StoreCondition{{Key: sweepKey(shard), Modified: entry.Modified}},
		Writes:     []egretflow.StoreWrite{{Key: sweepKey(shard), Value: value}},
	}
	for b := mark.Bucket + 1; b <= next; b++ {
		txn.Writes = append(txn.Writes, egretflow.StoreWrite{Key: bucketDocument(shard, b), Delete: true})
	}
	if _, err := c.cfg.Store.Commit(ctx, txn); err != nil && !errors.Is(err, egretflow.ErrConflict) {
		return fmt.Errorf("delete claim documents: %w", err)
	}
	return nil
}
