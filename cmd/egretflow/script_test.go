package main

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/egretflow/egretflow/platform/platformtest"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"egretflow": main, "http": sendRequest})
}

// sendRequest implements "http URL [-H 'Name: value']... [-d body]": it prints
// the status and the body.
func sendRequest() {
	flags := flag.NewFlagSet("http", flag.ExitOnError)
	body := flags.String("d", "", "body; its presence makes the request a POST")
	header := http.Header{}
	flags.Func("H", "header", func(s string) error {
		name, value, _ := strings.Cut(s, ": ")
		header.Set(name, value)
		return nil
	})
	_ = flags.Parse(os.Args[2:])
	method := http.MethodGet
	if *body != "" {
		method = http.MethodPost
	}
	if err := printResponse(method, os.Args[1], header, *body); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func printResponse(method, url string, header http.Header, body string) error {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return fmt.Errorf("create request: %w", err)
	}
	req.Header = header
	// net/http ignores a Host header and sends the Host field.
	req.Host = header.Get("Host")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("send request: %w", err)
	}
	defer res.Body.Close()
	fmt.Println(res.Status)
	if after := res.Header.Get("Retry-After"); after != "" {
		fmt.Println("Retry-After: " + after)
	}
	if _, err := io.Copy(os.Stdout, res.Body); err != nil {
		return fmt.Errorf("read response: %w", err)
	}
	return nil
}

// TestScripts runs the scripts in testdata/script with the programs as separate
// processes on loopback.
func TestScripts(t *testing.T) {
	bin := t.TempDir()
	build := exec.Command("go", "build", "-o", bin, "../egretstub", "../egretctl")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build programs: %v\n%s", err, out)
	}
	oddEntries, err := filepath.Abs("../../platform/testdata/odd-entries.json")
	if err != nil {
		t.Fatal(err)
	}
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			env.Setenv("PATH", bin+":"+env.Getenv("PATH"))
			env.Values[standInsKey] = map[string]*standIns{}
			env.Setenv("ODD_ENTRIES", oddEntries)
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"freeports": freePorts, "eventually": eventually, "subst": subst,
			"standins": startStandIns, "configure": writeConfiguration, "metrics": readMetrics,
			"leaving": stateLeaving, "busy": stateBusy, "refusals": checkRefusals, "calls": sendCalls,
			"oddentries": putOddEntries, "replacedesk": replaceDesk,
		},
	})
}

// freePorts sets each named variable to a free loopback address.
func freePorts(ts *testscript.TestScript, _ bool, names []string) {
	for _, name := range names {
		port, err := platformtest.ReservePorts(1)
		ts.Check(err)
		ts.Setenv(name, fmt.Sprintf("127.0.0.1:%d", port))
	}
}

// eventuallyTimeout is far above the few seconds that a start takes, so that a slow
// machine doesn't fail a script.
const eventuallyTimeout = 60 * time.Second

// eventually implements "eventually TEXT COMMAND...": it repeats the command until
// it succeeds and its output contains TEXT.
func eventually(ts *testscript.TestScript, _ bool, args []string) {
	ctx, cancel := context.WithTimeout(context.Background(), eventuallyTimeout)
	defer cancel()
	for {
		out, err := runCommand(ctx, ts, args[1:])
		if err == nil && strings.Contains(out, args[0]) {
			return
		}
		select {
		case <-ctx.Done():
			ts.Fatalf("%v never printed %q; last output: %s, error: %v", args[1:], args[0], out, err)
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// runCommand runs a command with the environment variables of the script that
// egretctl reads, and returns its standard output and error.
func runCommand(ctx context.Context, ts *testscript.TestScript, args []string) (string, error) {
	path, err := lookPath(ts.Getenv("PATH"), args[0])
	if err != nil {
		return "", err
	}
	cmd := exec.CommandContext(ctx, path, args[1:]...)
	cmd.Dir = ts.MkAbs(".")
	cmd.Env = append(cmd.Environ(), "EGRETFLOW_OPERATOR_KEY="+ts.Getenv("EGRETFLOW_OPERATOR_KEY"),
		"EGRETFLOW_STORE="+ts.Getenv("EGRETFLOW_STORE"), "EGRETFLOW_INSTANCES="+ts.Getenv("EGRETFLOW_INSTANCES"))
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	err = cmd.Run()
	return out.String(), err
}

// lookPath finds a program in a path list. exec.LookPath would search the PATH of the
// test process instead of that of the script.
func lookPath(path, name string) (string, error) {
	for _, dir := range strings.Split(path, ":") {
		if found, err := exec.LookPath(dir + "/" + name); err == nil {
			return found, nil
		}
	}
	return "", fmt.Errorf("find %s: %w", name, errors.ErrUnsupported)
}

// subst implements "subst FILE NAME...": it replaces each ${NAME} in the file by the
// script's variable.
func subst(ts *testscript.TestScript, _ bool, args []string) {
	text := ts.ReadFile(args[0])
	for _, name := range args[1:] {
		text = strings.ReplaceAll(text, "${"+name+"}", ts.Getenv(name))
	}
	ts.Check(writeFile(ts.MkAbs(args[0]), text))
}

func readFile(t *testing.T, path string) string {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

func writeFile(path, text string) error { return os.WriteFile(path, []byte(text), 0o600) }
