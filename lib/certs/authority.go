package certs

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
	"os"
	"path/filepath"
	"time"
)

const (
	serialBits      = 120
	notBeforeMargin = time.Hour // tolerates clock skew between hosts
	keyFileMode     = 0o600
	dirMode         = 0o700
)

// Authority is a certificate authority.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// NewAuthority creates a self-signed authority that is valid from now for the
// given duration.
func NewAuthority(now time.Time, valid time.Duration) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template, err := newTemplate("savorygap authority", now, valid)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	certificate, err := x509.ParseCertificate(der)
	return &Authority{certificate: certificate, key: key}, err
}

// LoadAuthority reads an authority that Save wrote to dir.
func LoadAuthority(dir string) (*Authority, error) {
	certBlock, err := readPEMBlock(filepath.Join(dir, "ca.pem"))
	if err != nil {
		return nil, err
	}
	keyBlock, err := readPEMBlock(filepath.Join(dir, "ca-key.pem"))
	if err != nil {
		return nil, err
	}
	certificate, err := x509.ParseCertificate(certBlock)
	if err != nil {
		return nil, err
	}
	key, err := x509.ParseECPrivateKey(keyBlock)
	return &Authority{certificate: certificate, key: key}, err
}

// readPEMBlock returns the content of the first PEM block of a file.
func readPEMBlock(file string) ([]byte, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	block, _ := pem.Decode(text)
	if block == nil {
		return nil, fmt.Errorf("file %q contains no PEM block", file)
	}
	return block.Bytes, nil
}

// Save writes ca.pem and ca-key.pem to dir.
func (a *Authority) Save(dir string) error {
	der, err := x509.MarshalECPrivateKey(a.key)
	if err != nil {
		return err
	}
	if err := writePEMBlock(filepath.Join(dir, "ca.pem"), "CERTIFICATE", a.certificate.Raw); err != nil {
		return err
	}
	return writePEMBlock(filepath.Join(dir, "ca-key.pem"), "EC PRIVATE KEY", der)
}

// Issue creates a key and a certificate for the subject name with the given
// role, DNS name and IP addresses. It writes them to name.pem and name-key.pem
// in dir.
func (a *Authority) Issue(dir, name string, role Role, addresses []net.IP, now time.Time, valid time.Duration) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	template, err := newTemplate(name, now, valid)
	if err != nil {
		return err
	}
	template.Subject.OrganizationalUnit = []string{string(role)}
	template.DNSNames = []string{name}
	template.IPAddresses = addresses
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return err
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return err
	}
	if err := writePEMBlock(filepath.Join(dir, name+".pem"), "CERTIFICATE", der); err != nil {
		return err
	}
	return writePEMBlock(filepath.Join(dir, name+"-key.pem"), "EC PRIVATE KEY", keyDER)
}

// newTemplate returns a certificate template with a random serial number.
func newTemplate(name string, now time.Time, valid time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, err
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-notBeforeMargin),
		NotAfter:     now.Add(valid),
	}, nil
}

func writePEMBlock(file, blockType string, der []byte) error {
	if err := os.MkdirAll(filepath.Dir(file), dirMode); err != nil {
		return err
	}
	return os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der}), keyFileMode)
}
