package main

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/connector"
	"github.com/egretflow/egretflow/editor"
	"github.com/egretflow/egretflow/storeclient"
	"github.com/google/uuid"
)

// tlsHandshakeTimeout keeps a command from waiting for a host that accepts
// connections and sends nothing.
const tlsHandshakeTimeout = 3 * time.Second

// httpClient returns a client with the certificates from the flags.
func (a *app) httpClient() (*http.Client, error) {
	settings := &tls.Config{MinVersion: tls.VersionTLS12}
	if a.CAFile != "" {
		pem, err := os.ReadFile(a.CAFile)
		if err != nil {
			return nil, fmt.Errorf("read authorities: %w", err)
		}
		settings.RootCAs = x509.NewCertPool()
		if !settings.RootCAs.AppendCertsFromPEM(pem) {
			return nil, fmt.Errorf("read authorities: no certificate in %s", a.CAFile)
		}
	}
	if a.CertFile != "" {
		cert, err := tls.LoadX509KeyPair(a.CertFile, a.CertKeyFile)
		if err != nil {
			return nil, fmt.Errorf("read client certificate: %w", err)
		}
		settings.Certificates = []tls.Certificate{cert}
	}
	// With a connection for each request, Transport checks the bytes of each head.
	transport := &http.Transport{TLSClientConfig: settings, TLSHandshakeTimeout: tlsHandshakeTimeout, DisableKeepAlives: true}
	return &http.Client{Transport: connector.NewTransport(transport)}, nil
}

// editor returns an editor of the tables in the store.
func (a *app) editor() (*editor.Editor, error) {
	if a.Store == "" {
		return nil, &egretflow.FieldError{Field: "--store", Reason: "is required; it can also be set by EGRETFLOW_STORE"}
	}
	client, err := a.httpClient()
	if err != nil {
		return nil, err
	}
	store, err := storeclient.New(storeclient.Config{BaseURL: a.Store, Client: client, Clock: egretflow.SystemClock})
	if err != nil {
		return nil, err
	}
	newID := func() string { return uuid.Must(uuid.NewV7()).String() }
	return editor.New(store, egretflow.SystemClock, newID), nil
}

// credential returns the operator key from its flag or, if that is empty, from the
// key file. It returns the empty string if neither is set.
func (a *app) credential() (string, error) {
	if a.OperatorKey != "" || a.KeyFile == "" {
		return a.OperatorKey, nil
	}
	data, err := os.ReadFile(a.KeyFile)
	if err != nil {
		return "", fmt.Errorf("read operator key: %w", err)
	}
	return strings.TrimSpace(string(data)), nil
}
