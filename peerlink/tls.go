package peerlink

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// TLSFiles names the PEM files of one daemon: its certificate and key, signed
// by the cluster's own authority, and the authority's certificate.
type TLSFiles struct {
	CertFile string
	KeyFile  string
	CAFile   string
}

// KeyPair loads a certificate and reloads it when its file changes.
type KeyPair struct {
	files TLSFiles
	mu    sync.Mutex
	cert  *tls.Certificate
	mtime time.Time
}

// NewKeyPair loads the files once and returns an error that names the faulty one.
func NewKeyPair(files TLSFiles) (*KeyPair, error) {
	k := &KeyPair{files: files}
	if _, err := k.Certificate(); err != nil {
		return nil, err
	}
	return k, nil
}

// Certificate returns the current certificate, reading the files again when
// the certificate file is newer. A faulty new file keeps the old certificate.
func (k *KeyPair) Certificate() (*tls.Certificate, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	info, err := os.Stat(k.files.CertFile)
	if err != nil {
		return k.orKept(errors.Wrap(err, "certificate"))
	}
	if k.cert != nil && info.ModTime().Equal(k.mtime) {
		return k.cert, nil
	}
	cert, err := tls.LoadX509KeyPair(k.files.CertFile, k.files.KeyFile)
	if err != nil {
		return k.orKept(errors.Wrapf(err, "key pair %s, %s", k.files.CertFile, k.files.KeyFile))
	}
	k.cert = &cert
	k.mtime = info.ModTime()
	return k.cert, nil
}

func (k *KeyPair) orKept(err error) (*tls.Certificate, error) {
	if k.cert != nil {
		return k.cert, nil
	}
	return nil, err
}

// Config returns a TLS configuration for both sides of peer links: each side
// presents its certificate and verifies the other's against the authority.
func (k *KeyPair) Config() (*tls.Config, error) {
	pem, err := os.ReadFile(k.files.CAFile)
	if err != nil {
		return nil, errors.Wrap(err, "certificate authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Errorf("certificate authority %s holds no certificate", k.files.CAFile)
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
