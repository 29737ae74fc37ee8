package authenticator

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync/atomic"

	"github.com/egretflow/egretflow"
)

// Certificate is a TLS certificate that Run reloads when its key file changes.
type Certificate struct {
	file     watchedFile
	certPath string
	current  atomic.Pointer[tls.Certificate]
}

// OpenCertificate reads a PEM certificate chain and its key. Both are read again
// when the key file changes, so whoever replaces them must write the key last.
func OpenCertificate(certPath, keyPath string, clock egretflow.Clock, recorder egretflow.Recorder) (*Certificate, error) {
	c := &Certificate{certPath: certPath}
	c.file = watchedFile{path: keyPath, clock: clock, recorder: recorder, load: c.load}
	if err := c.file.reload(); err != nil {
		return nil, err
	}
	return c, nil
}

func (c *Certificate) load() error {
	pair, err := tls.LoadX509KeyPair(c.certPath, c.file.path)
	if err != nil {
		return fmt.Errorf("load certificate: %w", err)
	}
	c.current.Store(&pair)
	return nil
}

// Run watches the key file until ctx ends.
func (c *Certificate) Run(ctx context.Context) error { return c.file.run(ctx) }

// ServerConfig returns a configuration that serves the most recently loaded
// certificate. If clientCAPath is not empty, a client may present a certificate,
// which is verified against the CA certificates in that file.
func (c *Certificate) ServerConfig(clientCAPath string) (*tls.Config, error) {
	config := &tls.Config{
		MinVersion:     tls.VersionTLS12,
		NextProtos:     []string{"http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return c.current.Load(), nil },
	}
	if clientCAPath == "" {
		return config, nil
	}
	data, err := os.ReadFile(clientCAPath)
	if err != nil {
		return nil, fmt.Errorf("read client CA file: %w", err)
	}
	config.ClientCAs = x509.NewCertPool()
	if !config.ClientCAs.AppendCertsFromPEM(data) {
		return nil, fmt.Errorf("client CA file %s contains no certificate", clientCAPath)
	}
	config.ClientAuth = tls.VerifyClientCertIfGiven
	return config, nil
}
