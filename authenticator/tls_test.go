package authenticator

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// writeCertificate writes a self-signed certificate with the given serial number,
// and sets the modification time of the key file to that day of January 2026.
func writeCertificate(t *testing.T, dir string, serial int64) (certPath, keyPath string) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "entry"}, DNSNames: []string{"entry"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	certPath, keyPath = filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	for path, block := range map[string]*pem.Block{certPath: {Type: "CERTIFICATE", Bytes: cert}, keyPath: {Type: "PRIVATE KEY", Bytes: keyDER}} {
		if err := os.WriteFile(path, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	stamp := time.Date(2026, 1, int(serial), 0, 0, 0, 0, time.UTC)
	if err := os.Chtimes(keyPath, stamp, stamp); err != nil {
		t.Fatal(err)
	}
	return certPath, keyPath
}

// TestCertificateReload guards against a replaced certificate that is not loaded,
// so that the old one is served until a restart.
func TestCertificateReload(t *testing.T) {
	dir := t.TempDir()
	certPath, keyPath := writeCertificate(t, dir, 1)
	cert, err := OpenCertificate(certPath, keyPath, time.Now, &events{})
	if err != nil {
		t.Fatal(err)
	}
	for _, serial := range []int64{1, 2} {
		writeCertificate(t, dir, serial)
		cert.file.check()
		if got := servedSerial(t, cert); got != serial {
			t.Errorf("certificate %d is served, want %d", got, serial)
		}
	}
}

// servedSerial returns the serial number of the certificate that a server with
// cert presents.
func servedSerial(t *testing.T, cert *Certificate) int64 {
	t.Helper()
	config, err := cert.ServerConfig("")
	if err != nil {
		t.Fatal(err)
	}
	served, err := config.GetCertificate(&tls.ClientHelloInfo{})
	if err != nil {
		t.Fatal(err)
	}
	return served.Leaf.SerialNumber.Int64()
}
