package tracker

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/egretflow/egretflow"
)

// maxListBytes bounds the encoded list. 20,000 entries of about 200 bytes take
// half of it.
const maxListBytes = 8 << 20

// listResult is a decoded list.
type listResult struct {
	members []egretflow.Member
	servers map[egretflow.ServerName]egretflow.MemberState
	// bytes is the size of the response body; 0 if the list had not changed.
	bytes int
	// skipped counts the entries that failed their checks.
	skipped int
}

// listEntry is one element of the Prometheus HTTP service discovery format.
type listEntry struct {
	Targets []string `json:"targets"`
	Labels  struct {
		Name          string `json:"Name"`
		FailureDomain string `json:"FailureDomain"`
		Region        string `json:"Region"`
		State         string `json:"State"`
		Kind          string `json:"Kind"`
	} `json:"labels"`
}

// decodeList decodes a list. Entries that fail their checks are skipped, so
// that one bad entry does not hide the others.
func decodeList(data []byte) (listResult, error) {
	entries, err := splitArray(data)
	if err != nil {
		return listResult{}, fmt.Errorf("decode list: %w", err)
	}
	l := listResult{servers: map[egretflow.ServerName]egretflow.MemberState{}, bytes: len(data)}
	for _, raw := range entries {
		var e listEntry
		if err := json.Unmarshal(raw, &e); err != nil || !l.add(e) {
			l.skipped++
		}
	}
	return l, nil
}

// add adds an entry and reports whether it is valid.
func (l *listResult) add(e listEntry) bool {
	var state egretflow.MemberState
	if err := state.UnmarshalText([]byte(e.Labels.State)); err != nil {
		return false
	}
	for _, name := range []string{e.Labels.Name, cmp.Or(e.Labels.FailureDomain, "none"), cmp.Or(e.Labels.Region, "none")} {
		if err := egretflow.CheckName("labels", name); err != nil {
			return false
		}
	}
	switch e.Labels.Kind {
	case "BackendServer":
		l.servers[egretflow.ServerName(e.Labels.Name)] = state
		return true
	case "Instance":
		m := egretflow.Member{
			Name:          egretflow.InstanceName(e.Labels.Name),
			FailureDomain: egretflow.FailureDomain(e.Labels.FailureDomain),
			Region:        egretflow.Region(e.Labels.Region),
			State:         state,
		}
		if len(e.Targets) != 1 {
			return false
		}
		address, err := netip.ParseAddrPort(e.Targets[0])
		if err != nil || address.Port() == 0 || address.Addr().IsUnspecified() || address.Addr().IsMulticast() {
			return false
		}
		m.Address = address
		l.members = append(l.members, m)
		return true
	}
	return false
}

// listReader reads the list at intervals.
type listReader struct {
	cfg  Config
	etag string
	last listResult
}

func newListReader(cfg Config) *listReader { return &listReader{cfg: cfg} }

// run reads the list at intervals until ctx ends and sends it to lists after each
// successful read, changed or not.
func (l *listReader) run(ctx context.Context, lists chan<- listResult) {
	for {
		started := l.cfg.Clock()
		result, err := l.read(ctx)
		wait := l.cfg.Interval
		if err == nil {
			select {
			case lists <- result:
			case <-ctx.Done():
				return
			}
			wait = max(wait, time.Duration(result.bytes)*time.Second/ListBytesPerSecond)
		}
		// Up to a tenth of random time keeps instances from reading simultaneously.
		wait += time.Duration(l.cfg.Rand.Int64N(int64(wait/10) + 1))
		timer := time.NewTimer(wait - l.cfg.Clock().Sub(started))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}

// read returns the list, or the previous one if it has not changed.
func (l *listReader) read(ctx context.Context) (listResult, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, l.cfg.URL, nil)
	if err != nil {
		return listResult{}, fmt.Errorf("make list request: %w", err)
	}
	if l.etag != "" {
		request.Header.Set("If-None-Match", l.etag)
	}
	response, err := l.cfg.Client.Do(request)
	if err != nil {
		return listResult{}, fmt.Errorf("read list: %w", err)
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusNotModified:
		l.last.bytes = 0
		return l.last, nil
	case http.StatusOK:
	default:
		return listResult{}, fmt.Errorf("read list: status %d", response.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxListBytes))
	if err != nil {
		return listResult{}, fmt.Errorf("read list body: %w", err)
	}
	result, err := decodeList(data)
	if err != nil {
		return listResult{}, err
	}
	l.etag, l.last = response.Header.Get("ETag"), result
	return result, nil
}
