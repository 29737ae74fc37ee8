package claimer

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/egretflow/egretflow"
)

// MaxKeyBytes bounds an idempotency key.
const MaxKeyBytes = 255

const documentPrefix = "Claims/"

// place says where the record of a key is kept.
type place struct {
	shard    int
	document string
	keyHash  string
}

// locate returns the place of a key, or a refusal for a key that must not run.
func locate(key egretflow.ClaimKey, now time.Time) (place, *egretflow.Refusal) {
	if key.Key == "" || len(key.Key) > MaxKeyBytes {
		return place{}, &egretflow.Refusal{
			Status: http.StatusBadRequest, Reason: egretflow.RefusalBadRequest, RunState: egretflow.RunStateNotRun,
			Message: fmt.Sprintf("Idempotency-Key must have 1 to %d bytes", MaxKeyBytes),
		}
	}
	sum := hashKey(key)
	p := place{shard: int(sum[0]) % Shards, keyHash: hex.EncodeToString(sum[:])}
	createdAt, ok := keyTime(key.Key)
	if !ok {
		p.document = fmt.Sprintf("%s%d/Plain-%d", documentPrefix, p.shard, int(sum[1])%PlainDocuments)
		return p, nil
	}
	switch {
	case createdAt.After(now.Add(MaxClockSkew)):
		return place{}, &egretflow.Refusal{
			Status: http.StatusBadRequest, Reason: egretflow.RefusalBadRequest, RunState: egretflow.RunStateNotRun,
			Message: "the time of the Idempotency-Key is in the future",
		}
	case createdAt.Before(now.Add(-Retention)):
		return place{}, &egretflow.Refusal{
			Status: http.StatusConflict, Reason: egretflow.RefusalClaimUnresolved, RunState: egretflow.RunStateMayHaveRun,
			Message: "the Idempotency-Key is older than the retention of outcomes",
		}
	}
	p.document = bucketDocument(p.shard, bucketOf(createdAt))
	return p, nil
}

// hashKey hashes the parts with their lengths, so that no two different keys
// have the same input.
func hashKey(key egretflow.ClaimKey) [sha256.Size]byte {
	return sha256.Sum256(fmt.Appendf(nil, "%d:%s%d:%s%s",
		len(key.Caller), key.Caller, len(key.Route), key.Route, key.Key))
}

// keyTime returns the creation time that a UUID of version 7 carries
// (RFC 9562 section 5.7).
func keyTime(key string) (time.Time, bool) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return time.Time{}, false
	}
	var millis int64
	for _, b := range id[:6] {
		millis = millis<<8 | int64(b)
	}
	return time.UnixMilli(millis), true
}

// bucket numbers the spans of BucketLength since the Unix epoch.
type bucket int64

func bucketOf(t time.Time) bucket { return bucket(t.Unix() / int64(BucketLength/time.Second)) }

func bucketDocument(shard int, b bucket) string {
	return fmt.Sprintf("%s%d/%d", documentPrefix, shard, b)
}
