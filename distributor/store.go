package distributor

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/editor"
	"github.com/pkg/errors"
)

// errSilentWatch means that the head holds a revision that the watch has not
// delivered.
var errSilentWatch = errors.New("watch fell behind the head")

// entry is an audit entry.
type entry struct {
	*editor.AuditEntry
	// data is the entry as stored, in which form it is sent to peers.
	data []byte
}

func decodeEntry(data []byte) (*entry, error) {
	e, err := editor.DecodeAuditEntry(data)
	if err != nil {
		return nil, fmt.Errorf("decode delta: %w", err)
	}
	return &entry{e, data}, nil
}

// storeRead is the result of a call to the store or an event of its watch: the
// document, the audit entry of an edit, or only the head.
type storeRead struct {
	document document
	entry    *entry
	// head is the revision and edit id that was read; zero when the store holds
	// no tables.
	head egretflow.TablesHead
	// readAt is the time before the call, so that a confirmation is never dated
	// too late. For an event of the watch it is the time of receipt; if the watch
	// lags, the next read of the head reveals it.
	readAt time.Time
	// startup marks the read of rule 6.
	startup bool
	// fromWatch marks an event of the watch. It may be older than the active
	// revision without contradicting it.
	fromWatch bool
	err       error
}

// storeFollower reads and watches the store in a separate goroutine while this
// instance is a watcher (rule 1).
type storeFollower struct {
	*Distributor
	rand *rand.Rand
	// seen is the highest revision that the document read at the start of the
	// current watch held or the watch has delivered since.
	seen egretflow.Revision
}

func (d *Distributor) sendRead(ctx context.Context, r storeRead) {
	select {
	case d.reads <- r:
	case <-ctx.Done():
	}
}

func (d *Distributor) readStoreOnce(ctx context.Context) {
	r, _ := d.readDocument(ctx)
	r.startup = true
	d.sendRead(ctx, r)
}

// readDocument reads the document from the store. It also returns the
// version of the last write of its key, from which a watch can start; zero if the store
// holds no tables or the read failed.
func (d *Distributor) readDocument(ctx context.Context) (storeRead, egretflow.StoreVersion) {
	r := storeRead{readAt: d.cfg.Clock()}
	entry, err := d.cfg.Store.Get(ctx, egretflow.TablesDocumentKey)
	if errors.Is(err, egretflow.ErrNotFound) {
		return r, egretflow.StoreVersion{}
	}
	if err != nil {
		r.err = fmt.Errorf("read tables: %w", err)
		return r, egretflow.StoreVersion{}
	}
	r.decode(entry.Value)
	return r, entry.Modified
}

func (r *storeRead) decode(data []byte) {
	if r.document, r.err = decodeDocument(data); r.err != nil {
		return
	}
	t := r.document.tables
	r.head = egretflow.TablesHead{Revision: t.Revision, EditID: t.EditID}
}

// run follows the store until ctx ends. After consecutive failures it waits with
// exponential backoff; after a silent watch it starts a new one at once.
func (f *storeFollower) run(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		documentRead, err := f.follow(ctx)
		if ctx.Err() != nil {
			return
		}
		if documentRead {
			failures = 0
		}
		if errors.Is(err, errSilentWatch) {
			continue
		}
		failures++
		f.sendRead(ctx, storeRead{err: err})
		_ = sleep(ctx, f.backoff(failures))
	}
}

// follow reads the document and then watches the audit trail, whose entries are
// much smaller, until the watch fails or the head is ahead of it. documentRead
// reports whether the document could be read.
func (f *storeFollower) follow(ctx context.Context) (documentRead bool, err error) {
	first, modified := f.readDocument(ctx)
	if first.err != nil {
		return false, first.err
	}
	f.seen = first.head.Revision
	f.sendRead(ctx, first)

	ctx, cancel := context.WithCancel(ctx)
	events := make(chan egretflow.StoreEntry)
	watchErr := make(chan error, 1)
	var watch sync.WaitGroup
	watch.Go(func() { watchErr <- f.cfg.Store.Watch(ctx, editor.AuditPrefix, modified, events) })
	defer watch.Wait()
	defer cancel()

	for {
		headTimer := time.NewTimer(jitter(f.rand, f.cfg.Timing.HeadInterval))
		select {
		case e := <-events:
			f.handleEvent(ctx, e)
		case <-headTimer.C:
			err = f.readHead(ctx)
		case err = <-watchErr:
		}
		headTimer.Stop()
		if err != nil {
			return true, err
		}
	}
}

func (f *storeFollower) handleEvent(ctx context.Context, e egretflow.StoreEntry) {
	if e.Value == nil {
		return
	}
	r := storeRead{readAt: f.cfg.Clock(), fromWatch: true}
	if r.entry, r.err = decodeEntry(e.Value); r.err == nil {
		r.head = egretflow.TablesHead{Revision: r.entry.Revision, EditID: r.entry.EditID}
	}
	f.seen = max(f.seen, r.head.Revision)
	f.sendRead(ctx, r)
}

// readHead reads the head and sends it to the task, which confirms or contradicts
// the active revision by it. The only error returned is errSilentWatch: a failed
// read does not end the watch, which fails by itself if the store is down.
func (f *storeFollower) readHead(ctx context.Context) error {
	r := storeRead{readAt: f.cfg.Clock()}
	entry, err := f.cfg.Store.Get(ctx, egretflow.TablesHeadKey)
	switch {
	case errors.Is(err, egretflow.ErrNotFound):
	case err != nil:
		r.err = fmt.Errorf("read head: %w", err)
	default:
		r.head, r.err = decodeHead(entry.Value)
	}
	f.sendRead(ctx, r)
	if r.head.Revision > f.seen {
		return errSilentWatch
	}
	return nil
}

func decodeHead(data []byte) (egretflow.TablesHead, error) {
	var head egretflow.TablesHead
	if err := json.Unmarshal(data, &head); err != nil {
		return head, fmt.Errorf("decode head: %w", err)
	}
	if head.Revision == 0 {
		return head, errors.New("decode head: no revision")
	}
	return head, nil
}

func (f *storeFollower) backoff(failures int) time.Duration {
	wait := maxStoreBackoff
	if shift := failures - 1; shift < 8 {
		wait = min(wait, minStoreBackoff<<shift)
	}
	return jitter(f.rand, wait)
}

// jitter returns a random duration from 3/4 to 5/4 of d, so that the calls of
// different instances do not coincide.
func jitter(r *rand.Rand, d time.Duration) time.Duration {
	return d*3/4 + time.Duration(r.Int64N(int64(d/2)+1))
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
