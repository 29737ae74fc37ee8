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

// MaxKeyBytes is the largest length of an idempotency key. It also bounds the
// content type of a recorded outcome.
const MaxKeyBytes = 255

// documentPrefix starts the store key of every claim document.
const documentPrefix = "Claims/"

// location is where the record of a key is stored. The document is a store key.
// HandleCommitClaims sets the document only.
type location struct {
	shard    int
	document string
	keyHash  string
}

// locate returns the location of a key's record, or a refusal if the key is
// invalid, or its time is too old or in the future.
func locate(key egretflow.ClaimKey, now time.Time) (location, *egretflow.Refusal) {
	if key.Key == "" || len(key.Key) > MaxKeyBytes {
		return location{}, &egretflow.Refusal{
			Status: http.StatusBadRequest, Reason: egretflow.RefusalBadRequest, RunState: egretflow.RunStateNotRun,
			Message: fmt.Sprintf("Idempotency-Key must have 1 to %d bytes", MaxKeyBytes),
		}
	}
	sum := hashKey(key)
	p := location{shard: int(sum[0]) % Shards, keyHash: hex.EncodeToString(sum[:])}
	createdAt, ok := keyTime(key.Key)
	if !ok {
		p.document = fmt.Sprintf("%s%d/Plain-%d", documentPrefix, p.shard, int(sum[1])%PlainDocumentsPerShard)
		return p, nil
	}
	switch {
	case createdAt.After(now.Add(MaxClockSkew)):
		return location{}, &egretflow.Refusal{
			Status: http.StatusBadRequest, Reason: egretflow.RefusalBadRequest, RunState: egretflow.RunStateNotRun,
			Message: "the time of the Idempotency-Key is in the future",
		}
	case createdAt.Before(now.Add(-Retention)):
		return location{}, &egretflow.Refusal{
			Status: http.StatusConflict, Reason: egretflow.RefusalClaimUnresolved, RunState: egretflow.RunStateMayHaveRun,
			Message: "the Idempotency-Key is older than the retention of outcomes",
		}
	}
	p.document = bucketDocument(p.shard, bucketOf(createdAt))
	return p, nil
}

// hashKey returns the hash of caller, route and key. The hash input includes
// the lengths, so that two different keys never have the same input.
func hashKey(key egretflow.ClaimKey) [sha256.Size]byte {
	return sha256.Sum256(fmt.Appendf(nil, "%d:%s%d:%s%s",
		len(key.Caller), key.Caller, len(key.Route), key.Route, key.Key))
}

// keyTime returns the creation time in a version 7 UUID (RFC 9562 section 5.7).
// It reports false for any other key.
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

// bucket is the number of a time bucket, in units of BucketLength since the
// Unix epoch.
type bucket int64

func bucketOf(t time.Time) bucket { return bucket(t.Unix() / int64(BucketLength/time.Second)) }

// bucketDocument returns the store key of the document of a shard and bucket.
func bucketDocument(shard int, b bucket) string {
	return fmt.Sprintf("%s%d/%d", documentPrefix, shard, b)
}
