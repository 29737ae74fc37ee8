package faultrun

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/editor"
	"github.com/pkg/errors"
)

// acceptedEdit is an edit that its operator knows to be accepted.
type acceptedEdit struct {
	id       string
	revision egretflow.Revision
}

// editRetry is the pause after an edit whose outcome is unknown.
const editRetry = 500 * time.Millisecond

// raceEdits lets operators edit the tables at the same time.
func (w *world) raceEdits(f plannedFault) {
	for n := range 1 + f.count {
		rng := rand.New(rand.NewPCG(uint64(f.target), uint64(n)))
		w.editSeq++
		seq := w.editSeq
		w.later(0, func() { w.edit(rng, n, seq) })
	}
}

// edit makes one edit and repeats it until its outcome is known.
func (w *world) edit(rng *rand.Rand, operator, seq int) {
	client, err := w.storeClient(w.network.Dialer(host(hostOperator, 1+operator)))
	if err != nil {
		w.report.violate(harness, "edit: %v", err)
		return
	}
	ids := 0
	ed := editor.New(client, time.Now, func() string {
		ids++
		return fmt.Sprintf("edit-%d-%d", seq, ids)
	})
	request := editor.Request{Who: "operator", Reason: "fault run", Steps: []editor.Step{{
		Operation: editor.OperationSet, Path: "Routes/prices/MaxStreams", Value: json.RawMessage(strconv.Itoa(100 + rng.IntN(1000))),
	}}}
	for range 60 {
		result, err := ed.Edit(context.Background(), request)
		var conflict *editor.ConflictError
		switch {
		case err == nil && result.Written:
			w.accepted(acceptedEdit{id: result.EditID, revision: result.Revision})
			return
		case err == nil, errors.As(err, &conflict):
			return
		case errors.Is(err, egretflow.ErrUncertain) && result != nil:
			request.EditID = result.EditID
		}
		time.Sleep(editRetry)
	}
	w.report.violate(harness, "edit %d has no outcome", seq)
}

func (w *world) accepted(e acceptedEdit) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.edits = append(w.edits, e)
}
