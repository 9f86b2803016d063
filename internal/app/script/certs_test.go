package script_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// certificates PREFIX creates a certificate authority (PREFIX-ca.pem) and a certificate for 127.0.0.1 with its key
// (PREFIX.pem, PREFIX.key).
func certificates(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 1 {
		ts.Fatalf("usage: certificates prefix")
	}
	authorityKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	ts.Check(err)
	authority := certificateTemplate("authority")
	authority.IsCA, authority.BasicConstraintsValid, authority.KeyUsage = true, true, x509.KeyUsageCertSign
	authorityDER, err := x509.CreateCertificate(rand.Reader, authority, authority, &authorityKey.PublicKey, authorityKey)
	ts.Check(err)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	ts.Check(err)
	leafDER, err := x509.CreateCertificate(rand.Reader, certificateTemplate(args[0]), authority, &key.PublicKey, authorityKey)
	ts.Check(err)
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	ts.Check(err)
	write := func(name, kind string, der []byte) {
		block := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
		ts.Check(os.WriteFile(ts.MkAbs(name), block, 0o600))
	}
	write(args[0]+"-ca.pem", "CERTIFICATE", authorityDER)
	write(args[0]+".pem", "CERTIFICATE", leafDER)
	write(args[0]+".key", "PRIVATE KEY", keyDER)
}

// certificateTemplate returns the fields that the authority and its certificates share.
func certificateTemplate(name string) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
	}
}
