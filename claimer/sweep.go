package claimer

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/egretflow/egretflow"
	"github.com/pkg/errors"
)

// sweepMark is the last bucket of a shard whose document was deleted. It is
// kept in the store, so that no bucket is left behind when instances change.
type sweepMark struct {
	Bucket bucket
}

// sweep deletes old documents of the shards that this instance commits.
func (c *Claimer) sweep(ctx context.Context) {
	for shard := range Shards {
		first := c.committers(shard)
		if len(first) == 0 || first[0].Name != c.cfg.Instance {
			continue
		}
		if err := c.sweepShard(ctx, shard); err != nil {
			c.record(egretflow.EventStoreUnavailable, place{document: sweepKey(shard)}, "Error", err.Error())
		}
	}
}

func sweepKey(shard int) string { return fmt.Sprintf("%s%d/Swept", documentPrefix, shard) }

// sweepShard deletes the documents whose keys are all older than Retention and
// KeepMargin. Another instance may do the same at the same time.
func (c *Claimer) sweepShard(ctx context.Context, shard int) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	last := bucketOf(c.cfg.Clock().Add(-Retention-KeepMargin)) - 1
	entry, err := c.cfg.Store.Get(ctx, sweepKey(shard))
	mark := sweepMark{Bucket: last - maxSweep}
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
	next := min(last, mark.Bucket+maxSweep)
	value, err := json.Marshal(sweepMark{Bucket: next})
	if err != nil {
		return fmt.Errorf("encode sweep mark: %w", err)
	}
	txn := egretflow.StoreTxn{
		Conditions: []egretflow.StoreCondition{{Key: sweepKey(shard), ModRevision: entry.ModRevision}},
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
