// Package settings reads the settings file of a daemon. The complete file is
// checked at start, and all problems are reported together.
package settings

import (
	"crypto/tls"
	"net"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap/zapcore"

	"github.com/skylarkloom/skylarkloom/pkg/event"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/strict"
)

// DefaultPartitions is the default number of order streams.
const DefaultPartitions = 4

// Settings are the settings of one daemon.
type Settings struct {
	Node       fleet.NodeName       `yaml:"node"`
	DataCentre fleet.DataCentreName `yaml:"datacentre"`
	Callers    Listener             `yaml:"callers"`
	Operators  Listener             `yaml:"operators"`
	Peers      Peers                `yaml:"peers"`
	Platform   Platform             `yaml:"platform"`
	Orders     Orders               `yaml:"orders,omitempty"`
	Log        LogLevels            `yaml:"log,omitempty"`
	Shutdown   Shutdown             `yaml:"stop,omitempty"`
}

// Shutdown configures a planned shutdown.
type Shutdown struct {
	// UnreadyDelay is how long the node keeps serving while it reports not ready, so
	// that load balancers detect it. It should exceed two of their health check
	// intervals.
	UnreadyDelay time.Duration `yaml:"notice,omitempty"`
	// DrainTimeout bounds how long requests in flight may take to finish.
	DrainTimeout time.Duration `yaml:"limit,omitempty"`
}

// Defaults of a planned shutdown.
const (
	DefaultUnreadyDelay = 5 * time.Second
	DefaultDrainTimeout = 15 * time.Minute
)

// Listener is an address that the daemon listens on.
type Listener struct {
	Address string `yaml:"address"`
	TLS     TLS    `yaml:"tls,omitempty"`
	Token   Secret `yaml:"token,omitempty"`
}

// TLS holds the paths of the certificate and key files. If both are empty, the
// listener uses plain TCP.
type TLS struct {
	Certificate string `yaml:"certificate,omitempty"`
	Key         string `yaml:"key,omitempty"`
	// Authorities is the path of the file with the certificate authorities that the
	// certificates of other nodes are verified against; empty means those of the
	// system. Only peers use it.
	Authorities string `yaml:"authorities,omitempty"`
}

// Secret refers to a secret in a file or an environment variable. The settings file
// never contains a secret.
type Secret struct {
	File string `yaml:"file,omitempty"`
	// Variable is the name of an environment variable.
	Variable string `yaml:"variable,omitempty"`
}

// Peers holds the listener for other nodes and the nodes known at start.
type Peers struct {
	Address string `yaml:"address,omitempty"`
	TLS     TLS    `yaml:"tls,omitempty"`
	Token   Secret `yaml:"token,omitempty"`
	Nodes   []Peer `yaml:"nodes,omitempty"`
}

// Peer is another node.
type Peer struct {
	Name       fleet.NodeName       `yaml:"name"`
	DataCentre fleet.DataCentreName `yaml:"datacentre"`
	Address    string               `yaml:"address"`
}

// Platform holds the base URLs of the platform's services and the token for calls to
// them.
type Platform struct {
	Log          string `yaml:"log"`
	InstanceList string `yaml:"list"`
	Cloud        string `yaml:"cloud"`
	Token        Secret `yaml:"token,omitempty"`
}

// Orders configures the order streams. All nodes must have the same values.
type Orders struct {
	Partitions int `yaml:"partitions,omitempty"`
}

// LogLevels configures the log levels.
type LogLevels struct {
	Level  zapcore.Level                     `yaml:"level,omitempty"`
	Levels map[event.Subsystem]zapcore.Level `yaml:"levels,omitempty"`
}

// Load reads and checks a settings file. An error is a *strict.Error.
func Load(file string) (s Settings, err error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return s, &strict.Error{Problems: []strict.Problem{{File: file, Message: err.Error()}}}
	}
	return Parse(file, data)
}

// Parse parses and checks the content of a settings file. An error is a
// *strict.Error.
func Parse(file string, data []byte) (s Settings, err error) {
	c := strict.Decode(file, data, &s)
	s.check(c)
	if s.Orders.Partitions == 0 {
		s.Orders.Partitions = DefaultPartitions
	}
	if s.Shutdown.UnreadyDelay == 0 {
		s.Shutdown.UnreadyDelay = DefaultUnreadyDelay
	}
	if s.Shutdown.DrainTimeout == 0 {
		s.Shutdown.DrainTimeout = DefaultDrainTimeout
	}
	return s, c.Err()
}

func (s *Settings) check(c *strict.Checker) {
	c.Require(s.Node != "", strict.Path("node"), "expected the node's name")
	c.Require(s.DataCentre != "", strict.Path("datacentre"), "expected the data centre's name")
	s.Callers.check(c, strict.Path("callers"))
	s.Operators.check(c, strict.Path("operators"))
	c.Require(s.Operators.Token != (Secret{}), strict.Path("operators", "token"), "expected a file or variable that holds the operators' token")
	s.Operators.Token.check(c, strict.Path("operators", "token"))
	s.Peers.check(c, strict.Path("peers"))
	s.Platform.check(c, strict.Path("platform"))
	c.Require(s.Orders.Partitions >= 0, strict.Path("orders", "partitions"), "expected a count of 1 or more")
	c.Require(s.Shutdown.UnreadyDelay >= 0, strict.Path("stop", "notice"), "expected a duration such as 5s")
	c.Require(s.Shutdown.DrainTimeout >= 0, strict.Path("stop", "limit"), "expected a duration such as 15m")
}

func (l Listener) check(c *strict.Checker, path strict.KeyPath) {
	checkAddress(c, path.Key("address"), l.Address)
	l.TLS.check(c, path.Key("tls"))
}

func checkAddress(c *strict.Checker, path strict.KeyPath, address string) {
	host, _, err := net.SplitHostPort(address)
	c.Require(err == nil, path, "expected IP:PORT")
	c.Require(err != nil || net.ParseIP(host) != nil, path, "expected an IP number, not a name")
}

func (t TLS) check(c *strict.Checker, path strict.KeyPath) {
	if t == (TLS{}) {
		return
	}
	_, err := tls.LoadX509KeyPair(t.Certificate, t.Key)
	c.Require(err == nil, path, "certificate and key cannot be used: "+errorText(err))
	if t.Authorities != "" {
		_, err = os.Stat(t.Authorities)
		c.Require(err == nil, path.Key("authorities"), "cannot be read: "+errorText(err))
	}
}

func (s Secret) check(c *strict.Checker, path strict.KeyPath) {
	if s == (Secret{}) {
		return
	}
	c.Require(s.File == "" || s.Variable == "", path, "expected a file or a variable, not both")
	_, err := s.Read()
	c.Require(err == nil, path, errorText(err))
}

func (p Peers) check(c *strict.Checker, path strict.KeyPath) {
	if p.Address != "" {
		checkAddress(c, path.Key("address"), p.Address)
	}
	p.TLS.check(c, path.Key("tls"))
	p.Token.check(c, path.Key("token"))
	c.Require(len(p.Nodes) == 0 || p.Token != (Secret{}), path.Key("token"), "peers need a shared token")
	for i, n := range p.Nodes {
		nodePath := path.Key("nodes").Index(i)
		c.Require(n.Name != "", nodePath.Key("name"), "expected the node's name")
		c.Require(n.DataCentre != "", nodePath.Key("datacentre"), "expected the data centre's name")
		checkAddress(c, nodePath.Key("address"), n.Address)
	}
}

func (p Platform) check(c *strict.Checker, path strict.KeyPath) {
	checkURL(c, path.Key("log"), p.Log)
	checkURL(c, path.Key("list"), p.InstanceList)
	checkURL(c, path.Key("cloud"), p.Cloud)
	p.Token.check(c, path.Key("token"))
}

func checkURL(c *strict.Checker, path strict.KeyPath, rawURL string) {
	u, err := url.Parse(rawURL)
	ok := err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
	c.Require(ok, path, "expected a URL such as http://10.0.0.1:9000")
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// Read returns the secret, or an empty string if none is configured.
func (s Secret) Read() (secret string, err error) {
	if s.Variable != "" {
		secret, ok := os.LookupEnv(s.Variable)
		if !ok || secret == "" {
			return "", errors.Newf("environment variable %s is not set", s.Variable)
		}
		return secret, nil
	}
	if s.File == "" {
		return "", nil
	}
	data, err := os.ReadFile(s.File)
	if err != nil {
		return "", err
	}
	secret = strings.TrimSpace(string(data))
	if secret == "" {
		return "", errors.Newf("file %s is empty", s.File)
	}
	return secret, nil
}
