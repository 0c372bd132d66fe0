package main

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"magnoliastand.example/standin"
)

// authority signs the certificates of one test cluster.
type authority struct {
	t    testing.TB
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t testing.TB, dir, name string) *authority {
	t.Helper()
	a := &authority{t: t, dir: dir}
	a.key = newTestKey(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	if a.cert, err = x509.ParseCertificate(der); err != nil {
		t.Fatal(err)
	}
	writePEM(t, filepath.Join(dir, name+".pem"), "CERTIFICATE", der)
	return a
}

func newTestKey(t testing.TB) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func writePEM(t testing.TB, file, kind string, der []byte) {
	t.Helper()
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
}

// issue writes a certificate and key for a member's peer address.
func (a *authority) issue(m *member) {
	a.t.Helper()
	host, _, err := net.SplitHostPort(m.peers)
	if err != nil {
		a.t.Fatal(err)
	}
	key := newTestKey(a.t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: m.name}, NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.ParseIP(host)}, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	writePEM(a.t, filepath.Join(a.dir, m.name+".pem"), "CERTIFICATE", der)
	writePEM(a.t, filepath.Join(a.dir, m.name+".key"), "EC PRIVATE KEY", keyDER)
}

// addTLS appends TLS settings to a member's settings file.
func (c *cluster) addTLS(m *member, ca string) {
	c.t.Helper()
	file := func(name string) string { return filepath.Join(c.dir, name) }
	c.appendSettings(m, fmt.Sprintf("peer_tls: {cert_file: %q, key_file: %q, ca_file: %q}\n", file(m.name+".pem"), file(m.name+".key"), file(ca+".pem")))
}

// appendSettings adds text to a member's settings file.
func (c *cluster) appendSettings(m *member, text string) {
	c.t.Helper()
	b, err := os.ReadFile(m.settingsFile)
	if err != nil {
		c.t.Fatal(err)
	}
	if err := os.WriteFile(m.settingsFile, append(b, text...), 0o600); err != nil {
		c.t.Fatal(err)
	}
}

// TestPeerTLS runs a cluster whose peer links use TLS with an authority of its
// own. A daemon with a certificate of another authority knows the secret and is
// refused all the same, until it gets a certificate of the right one.
func TestPeerTLS(t *testing.T) {
	c := prepareCluster(t, testZones, 2)
	own, foreign := newAuthority(t, c.dir, "own"), newAuthority(t, c.dir, "foreign")
	stranger := c.member("oita-2")
	for _, m := range c.members {
		if m == stranger {
			foreign.issue(m)
			c.addTLS(m, "foreign")
		} else {
			own.issue(m)
			c.addTLS(m, "own")
		}
	}
	for _, m := range c.members {
		if m != stranger {
			c.start(m)
		}
	}
	key := c.setUp(20)
	c.startEndpoints(1, quickRun)
	s := c.check(c.load(standin.CallerConfig{
		Daemons: c.callers("fukuoka", "kumamoto"), Streams: testStreams(key), Rate: 60, Duration: 2 * time.Second, Seed: 1,
	})())
	if s.Answered == 0 || s.Lost+s.Unknown+s.Wrong > 0 {
		t.Errorf("outcomes %+v", s)
	}
	c.start(stranger)
	c.eventually("the stranger runs", func() bool {
		_, ok := c.status(stranger)
		return ok
	})
	time.Sleep(2 * time.Second)
	if st, ok := c.status(stranger); !ok || st.Fresh || st.Document != 0 {
		t.Errorf("a daemon of another authority got the configuration: %+v", st)
	}
	if status, _, _ := post(t, stranger.callers, "reserve", key); status == http.StatusOK {
		t.Error("a daemon of another authority served keyed work")
	}
	c.kill(stranger)
	own.issue(stranger)
	c.addOwnAuthority()
	c.start(stranger)
	c.awaitReady(1)
}

// addOwnAuthority puts the authority of the others in the place of the foreign one.
func (c *cluster) addOwnAuthority() {
	c.t.Helper()
	b, err := os.ReadFile(filepath.Join(c.dir, "own.pem"))
	if err != nil {
		c.t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(c.dir, "foreign.pem"), b, 0o600); err != nil {
		c.t.Fatal(err)
	}
}
