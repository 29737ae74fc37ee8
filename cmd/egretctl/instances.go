package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/egretflow/egretflow"
	"golang.org/x/sync/errgroup"
)

// Limits on calls to instances and to the instance list.
const (
	instanceTimeout  = 3 * time.Second // for one call
	maxParallelCalls = 64
	maxAnswerBytes   = 16 << 20
)

// instances calls the operator listeners of instances. key is the operator key; an
// empty key isn't sent.
type instances struct {
	urls   []string
	client *http.Client
	key    string
}

// answer holds the response body of one instance, or the error of the call.
type answer struct {
	URL  string
	Body []byte
	Err  error
}

// instances returns the instances of --list or, without it, of --instances.
func (a *app) instances(ctx context.Context) (*instances, error) {
	client, err := a.httpClient()
	if err != nil {
		return nil, err
	}
	key, err := a.credential()
	if err != nil {
		return nil, err
	}
	i := &instances{urls: a.Instances, client: client, key: key}
	if a.List != "" {
		if i.urls, err = a.listInstances(ctx, client); err != nil {
			return nil, err
		}
	}
	if len(i.urls) == 0 {
		return nil, &egretflow.FieldError{Field: "--instances", Reason: "no instances; set it or --list"}
	}
	return i, nil
}

// listInstances returns the URLs of the operator listeners of the live instances in
// the platform's list. They use HTTPS if --ca-file is set.
func (a *app) listInstances(ctx context.Context, client *http.Client) ([]string, error) {
	body, err := get(ctx, client, a.List, "")
	if err != nil {
		return nil, fmt.Errorf("read instance list: %w", err)
	}
	var groups []struct {
		Targets []netip.AddrPort  `json:"targets"`
		Labels  map[string]string `json:"labels"`
	}
	if err := json.Unmarshal(body, &groups); err != nil {
		return nil, fmt.Errorf("decode instance list: %w", err)
	}
	scheme := "http"
	if a.CAFile != "" {
		scheme = "https"
	}
	var urls []string
	for _, g := range groups {
		if g.Labels["Kind"] != "Instance" || g.Labels["State"] != string(egretflow.MemberStateLive) {
			continue
		}
		for _, t := range g.Targets {
			urls = append(urls, scheme+"://"+netip.AddrPortFrom(t.Addr(), a.OperatorPort).String())
		}
	}
	return urls, nil
}

// getAll sends GET path to all given URLs in parallel and returns the answers in the
// order of urls.
func (i *instances) getAll(ctx context.Context, urls []string, path string) []answer {
	answers := make([]answer, len(urls))
	var g errgroup.Group
	g.SetLimit(maxParallelCalls)
	for n, base := range urls {
		g.Go(func() error {
			body, err := get(ctx, i.client, base+path, i.key)
			answers[n] = answer{URL: base, Body: body, Err: err}
			return nil
		})
	}
	_ = g.Wait()
	return answers
}

// get returns the body of a response with status 200. For other statuses it returns
// ErrUnauthorized, ErrForbidden, ErrNotFound or ErrUnavailable.
func get(ctx context.Context, client *http.Client, target, key string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, instanceTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := client.Do(r)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", egretflow.ErrUnavailable, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err == nil && len(body) > maxAnswerBytes {
		err = fmt.Errorf("response is larger than %d bytes", maxAnswerBytes)
	}
	if err != nil {
		return nil, fmt.Errorf("read answer: %w", err)
	}
	causes := map[int]error{
		http.StatusUnauthorized: egretflow.ErrUnauthorized,
		http.StatusForbidden:    egretflow.ErrForbidden,
		http.StatusNotFound:     egretflow.ErrNotFound,
	}
	if cause, ok := causes[resp.StatusCode]; ok {
		return nil, cause
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%w: status %s", egretflow.ErrUnavailable, strconv.Itoa(resp.StatusCode))
	}
	return body, nil
}

// statuses requests the status of each instance. An instance that fails to answer
// has its Error set.
func (i *instances) statuses(ctx context.Context, urls []string) []instanceStatus {
	answers := i.getAll(ctx, urls, egretflow.StatusPath)
	out := make([]instanceStatus, len(answers))
	for n, ans := range answers {
		out[n] = instanceStatus{URL: ans.URL}
		err := ans.Err
		if err == nil {
			err = json.Unmarshal(ans.Body, &out[n].InstanceStatus)
		}
		if err != nil {
			out[n].Error = err.Error()
		}
	}
	return out
}

// instanceStatus is the status of one instance, or the error that prevented reading
// it.
type instanceStatus struct {
	URL   string
	Error string `json:",omitempty"`
	egretflow.InstanceStatus
}
