// Package settings holds the settings file of one daemon. It is read and
// checked wholly at start; every mistake is reported at once.
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

// DefaultPartitions is into how many streams the orders are split.
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
	Log        Log                  `yaml:"log,omitempty"`
	Shutdown   Shutdown             `yaml:"stop,omitempty"`
}

// Stop says how a planned stop goes.
type Shutdown struct {
	// Notice is how long the node, no longer ready, goes on serving so that
	// balancers see it; longer than two of their checks.
	UnreadyDelay time.Duration `yaml:"notice,omitempty"`
	// Limit is how long requests in flight may take to finish.
	DrainTimeout time.Duration `yaml:"limit,omitempty"`
}

// Defaults of a planned stop.
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

// TLS names the certificate and key files; both empty means plain TCP.
type TLS struct {
	Certificate string `yaml:"certificate,omitempty"`
	Key         string `yaml:"key,omitempty"`
	// Authorities names the file of the authorities that clients are checked
	// against.
	Authorities string `yaml:"authorities,omitempty"`
}

// Secret says where a secret is kept; it is never written in the settings.
type Secret struct {
	File string `yaml:"file,omitempty"`
	// Variable names an environment variable.
	Variable string `yaml:"variable,omitempty"`
}

// Peers is the listener for other nodes and the nodes known at start.
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

// Platform holds the base URLs of the platform's services.
type Platform struct {
	Log          string `yaml:"log"`
	InstanceList string `yaml:"list"`
	Cloud        string `yaml:"cloud"`
	Token        Secret `yaml:"token,omitempty"`
}

// Orders says how the order streams are laid out. All nodes must agree.
type Orders struct {
	Partitions int `yaml:"partitions,omitempty"`
}

// Log says what is logged.
type Log struct {
	Level  zapcore.Level                     `yaml:"level,omitempty"`
	Levels map[event.Subsystem]zapcore.Level `yaml:"levels,omitempty"`
}

// Load reads and checks a settings file. The error is a *strict.Error.
func Load(file string) (s Settings, err error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return s, &strict.Error{Problems: []strict.Problem{{File: file, Message: err.Error()}}}
	}
	return Parse(file, data)
}

// Parse checks the content of a settings file. The error is a *strict.Error.
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

func (l Listener) check(c *strict.Checker, at strict.KeyPath) {
	checkAddress(c, at.Key("address"), l.Address)
	l.TLS.check(c, at.Key("tls"))
}

func checkAddress(c *strict.Checker, at strict.KeyPath, address string) {
	host, _, err := net.SplitHostPort(address)
	c.Require(err == nil, at, "expected IP:PORT")
	c.Require(err != nil || net.ParseIP(host) != nil, at, "expected an IP number, not a name")
}

func (t TLS) check(c *strict.Checker, at strict.KeyPath) {
	if t == (TLS{}) {
		return
	}
	_, err := tls.LoadX509KeyPair(t.Certificate, t.Key)
	c.Require(err == nil, at, "certificate and key cannot be used: "+message(err))
	if t.Authorities != "" {
		_, err = os.Stat(t.Authorities)
		c.Require(err == nil, at.Key("authorities"), "cannot be read: "+message(err))
	}
}

func (s Secret) check(c *strict.Checker, at strict.KeyPath) {
	if s == (Secret{}) {
		return
	}
	c.Require(s.File == "" || s.Variable == "", at, "expected a file or a variable, not both")
	_, err := s.Read()
	c.Require(err == nil, at, message(err))
}

func (p Peers) check(c *strict.Checker, at strict.KeyPath) {
	if p.Address != "" {
		checkAddress(c, at.Key("address"), p.Address)
	}
	p.TLS.check(c, at.Key("tls"))
	p.Token.check(c, at.Key("token"))
	c.Require(len(p.Nodes) == 0 || p.Token != (Secret{}), at.Key("token"), "peers need a shared token")
	for i, n := range p.Nodes {
		here := at.Key("nodes").Index(i)
		c.Require(n.Name != "", here.Key("name"), "expected the node's name")
		c.Require(n.DataCentre != "", here.Key("datacentre"), "expected the data centre's name")
		checkAddress(c, here.Key("address"), n.Address)
	}
}

func (p Platform) check(c *strict.Checker, at strict.KeyPath) {
	checkURL(c, at.Key("log"), p.Log)
	checkURL(c, at.Key("list"), p.InstanceList)
	checkURL(c, at.Key("cloud"), p.Cloud)
	p.Token.check(c, at.Key("token"))
}

func checkURL(c *strict.Checker, at strict.KeyPath, text string) {
	u, err := url.Parse(text)
	ok := err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
	c.Require(ok, at, "expected a URL such as http://10.0.0.1:9000")
}

func message(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// Read returns the secret; the empty string if none is set.
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
