package peerlink

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// TLSFiles holds the paths of a daemon's PEM files: its certificate, signed by the
// cluster's certificate authority (CA), its key, and the CA certificate.
type TLSFiles struct {
	CertFile string
	KeyFile  string
	CAFile   string
}

// KeyPair is a certificate that is reloaded when its file changes.
type KeyPair struct {
	files TLSFiles
	mu    sync.Mutex
	cert  *tls.Certificate
	mtime time.Time
}

// NewKeyPair loads the certificate and key. The error names the file
// that could not be loaded, or both.
func NewKeyPair(files TLSFiles) (*KeyPair, error) {
	k := &KeyPair{files: files}
	if _, err := k.Certificate(); err != nil {
		return nil, err
	}
	return k, nil
}

// Certificate returns the current certificate and reloads it first if the
// modification time of its file has changed. If reloading fails, it returns the
// certificate loaded before.
func (k *KeyPair) Certificate() (*tls.Certificate, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	info, err := os.Stat(k.files.CertFile)
	if err != nil {
		return k.cachedOr(errors.Wrap(err, "check certificate file"))
	}
	if k.cert != nil && info.ModTime().Equal(k.mtime) {
		return k.cert, nil
	}
	cert, err := tls.LoadX509KeyPair(k.files.CertFile, k.files.KeyFile)
	if err != nil {
		return k.cachedOr(errors.Wrapf(err, "load key pair %s, %s", k.files.CertFile, k.files.KeyFile))
	}
	k.cert = &cert
	k.mtime = info.ModTime()
	return k.cert, nil
}

func (k *KeyPair) cachedOr(err error) (*tls.Certificate, error) {
	if k.cert != nil {
		return k.cert, nil
	}
	return nil, err
}

// Config returns a TLS configuration for both sides of peer links. Each side
// presents its certificate and verifies the other's against the CA.
func (k *KeyPair) Config() (*tls.Config, error) {
	pem, err := os.ReadFile(k.files.CAFile)
	if err != nil {
		return nil, errors.Wrap(err, "read CA certificate")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Errorf("CA file %s contains no certificate", k.files.CAFile)
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		RootCAs:    pool,
		ClientCAs:  pool,
		ClientAuth: tls.RequireAndVerifyClientCert,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return k.Certificate()
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return k.Certificate()
		},
	}, nil
}
