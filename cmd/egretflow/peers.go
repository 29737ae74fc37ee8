package main

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync/atomic"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/assembler"
	"github.com/egretflow/egretflow/authenticator"
	"github.com/egretflow/egretflow/messenger"
)

// loadPeers sets the address and the peer settings of an instance with peers. It
// leaves cfg unchanged if --peer-listen is empty.
func (l *settingsLoader) loadPeers(cfg *assembler.Config) error {
	f := l.flags.Peer
	if f.Listen == "" {
		return nil
	}
	for _, s := range [][2]string{
		{"--store-url", l.flags.StoreURL}, {"--list-url", l.flags.ListURL},
		{"--peer-keys-file", f.KeysFile}, {"--peer-key-file", f.KeyFile},
	} {
		if s[1] == "" {
			return requiredError(s[0], "--peer-listen is set")
		}
	}
	ln, err := listen("peers", f.Listen)
	if err != nil {
		return err
	}
	if cfg.Self.Address, err = peerAddress(f.Address, ln); err != nil {
		return err
	}
	cfg.Peers, err = l.peerSettings(ln)
	return err
}

// peerAddress returns the address at which peers reach this instance: the setting
// or, if it is empty, the address of the listener.
func peerAddress(setting string, ln net.Listener) (netip.AddrPort, error) {
	if setting == "" {
		setting = ln.Addr().String()
	}
	address, err := netip.ParseAddrPort(setting)
	if err != nil {
		return address, fmt.Errorf("parse --peer-address: %w", err)
	}
	return address, nil
}

// peerSettings reads the keys of instances and, if set, the certificates for TLS
// between them, and adds the tasks that reload them.
func (l *settingsLoader) peerSettings(ln net.Listener) (*assembler.PeerSettings, error) {
	f := l.flags.Peer
	keys, err := l.openKeys("keys of peers", f.KeysFile)
	if err != nil {
		return nil, err
	}
	instanceKey := &keyFile{path: f.KeyFile}
	if err := instanceKey.read(); err != nil {
		return nil, err
	}
	l.addTask("own key towards peers", instanceKey.run)
	p := &assembler.PeerSettings{Listener: ln, Key: instanceKey.key, Verifier: peerVerifier{keys}}
	if p.ServerTLS, err = l.serverTLS("peers", f.TLS, f.CA); err != nil || p.ServerTLS == nil {
		return p, err
	}
	p.ClientTLS, err = clientTLS(f.CA, p.ServerTLS)
	return p, err
}

// clientTLS returns the TLS configuration for calls to peers. It trusts the
// authorities in caFile and presents the newest certificate of the server
// configuration.
func clientTLS(caFile string, server *tls.Config) (*tls.Config, error) {
	if caFile == "" {
		return nil, requiredError("--peer-ca", "--peer-tls-cert is set")
	}
	pem, err := os.ReadFile(caFile)
	if err != nil {
		return nil, fmt.Errorf("read authorities of peers: %w", err)
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(pem) {
		return nil, &egretflow.FieldError{Field: "--peer-ca", Reason: "holds no certificate"}
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS12, RootCAs: authorities,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return server.GetCertificate(&tls.ClientHelloInfo{})
		},
	}, nil
}

// peerVerifier accepts peers whose key has its hash in the file of
// --peer-keys-file.
type peerVerifier struct{ keys *authenticator.Keys }

var _ messenger.Verifier = peerVerifier{}

// VerifyPeer implements messenger.Verifier.
func (v peerVerifier) VerifyPeer(r *http.Request) error {
	if _, ok := v.keys.Identify(authenticator.BearerToken(r)); !ok {
		return fmt.Errorf("verify peer: %w", egretflow.ErrUnauthorized)
	}
	return nil
}

// keyReloadInterval is the time between two reads of the key file of this instance.
const keyReloadInterval = 5 * time.Second

// keyFile holds the key of this instance and rereads its file, so that replacing
// the file rotates the key. While the file can't be read, the last key stays in
// use.
type keyFile struct {
	path string
	last atomic.Pointer[string]
}

// key returns the key last read. read must have succeeded before.
func (k *keyFile) key() string { return *k.last.Load() }

func (k *keyFile) read() error {
	data, err := os.ReadFile(k.path)
	if err != nil {
		return fmt.Errorf("read key of the instance: %w", err)
	}
	key := string(bytes.TrimSpace(data))
	k.last.Store(&key)
	return nil
}

// run rereads the file every keyReloadInterval until ctx ends.
func (k *keyFile) run(ctx context.Context) error {
	ticker := time.NewTicker(keyReloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			// A file that is being replaced may be unreadable; the next tick reads
			// it again.
			_ = k.read()
		}
	}
}
