package daemon

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/skylarkloom/skylarkloom/pkg/settings"
)

// selfSignedCertificate writes a self-signed certificate and its key to dir, and
// returns a pool that trusts it.
func selfSignedCertificate(g Gomega, dir string) (t settings.TLS, roots *x509.CertPool) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	g.Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		NotAfter:     time.Now().Add(time.Hour),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	g.Expect(err).NotTo(HaveOccurred())
	privateKey, err := x509.MarshalPKCS8PrivateKey(key)
	g.Expect(err).NotTo(HaveOccurred())
	t = settings.TLS{Certificate: filepath.Join(dir, "node.crt"), Key: filepath.Join(dir, "node.key")}
	certPEM := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	g.Expect(os.WriteFile(t.Certificate, certPEM, 0o600)).To(Succeed())
	g.Expect(os.WriteFile(t.Key, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: privateKey}), 0o600)).To(Succeed())
	roots = x509.NewCertPool()
	g.Expect(roots.AppendCertsFromPEM(certPEM)).To(BeTrue())
	return t, roots
}

func TestListenerTLSAndHeaderLimit(t *testing.T) {
	g := NewWithT(t)
	certificate, roots := selfSignedCertificate(g, t.TempDir())
	l := &listener{
		settings: settings.Listener{Address: "127.0.0.1:0", TLS: certificate},
		handler:  http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }),
	}
	s := l.service(ServiceCallerListener)
	g.Expect(s.Start(context.Background())).To(Succeed())
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS12}}}
	for header, status := range map[string]int{"x": http.StatusNoContent, strings.Repeat("x", 2*maxHeaderBytes): http.StatusRequestHeaderFieldsTooLarge} {
		req, err := http.NewRequest(http.MethodGet, "https://"+l.address(), nil)
		g.Expect(err).NotTo(HaveOccurred())
		req.Header.Set("X-Filler", header)
		res, err := client.Do(req)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(res.Body.Close()).To(Succeed())
		g.Expect(res.StatusCode).To(Equal(status))
	}
	_, err := (&http.Client{Transport: &http.Transport{}}).Get("https://" + l.address())
	g.Expect(err).To(MatchError(ContainSubstring("certificate")))
	client.CloseIdleConnections()
	g.Expect(s.Stop(context.Background())).To(Succeed())
	g.Expect(s.Done).To(BeClosed())
}
