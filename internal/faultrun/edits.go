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

// acceptedEdit is an edit of the tables whose success was confirmed to the
// operator.
type acceptedEdit struct {
	id       string
	revision egretflow.Revision
}

// editRetryPause is the pause before an edit with an unknown outcome is
// repeated.
const editRetryPause = 500 * time.Millisecond

// startConcurrentEdits starts 1+f.count operators that edit the tables at the
// same time.
func (cl *cluster) startConcurrentEdits(f plannedFault) {
	for n := range 1 + f.count {
		rng := rand.New(rand.NewPCG(uint64(f.target), uint64(n)))
		cl.editSeq++
		seq := cl.editSeq
		cl.runAfter(0, func() { cl.edit(rng, n, seq) })
	}
}

// edit makes one edit and repeats it with its edit ID until the outcome is
// known. A conflict ends it without a violation.
func (cl *cluster) edit(rng *rand.Rand, operator, seq int) {
	client, err := cl.storeClient(cl.network.Dialer(host(hostOperator, 1+operator)))
	if err != nil {
		cl.report.violate(harness, "edit: %v", err)
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
			cl.recordAcceptedEdit(acceptedEdit{id: result.EditID, revision: result.Revision})
			return
		case err == nil, errors.As(err, &conflict):
			return
		case errors.Is(err, egretflow.ErrUncertain) && result != nil:
			request.EditID = result.EditID
		}
		time.Sleep(editRetryPause)
	}
	cl.report.violate(harness, "outcome of edit %d is still unknown after 60 tries", seq)
}

func (cl *cluster) recordAcceptedEdit(e acceptedEdit) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.edits = append(cl.edits, e)
}
