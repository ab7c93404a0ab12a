package command

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/operator"
	"github.com/skylarkloom/skylarkloom/pkg/settings"
)

// The environment variables of skylarkctl.
const (
	AddressVariable = "SKYLARKCTL_ADDRESS"
	TokenVariable   = "SKYLARKCTL_TOKEN"
)

// callTimeout bounds one request to a node.
const callTimeout = 20 * time.Second

// connection holds the flags with the addresses and the token of nodes.
type connection struct {
	addresses []string
	tokenFile string
}

func (c *connection) declare(sub *flaggy.Subcommand) {
	sub.StringSlice(&c.addresses, "a", "address", "operators' address of a node; default: the variable "+AddressVariable)
	sub.String(&c.tokenFile, "t", "token-file", "file that holds the operators' token; default: the variable "+TokenVariable)
}

// clients returns a client for each address.
func (c *connection) clients() (clients []*operator.Client, err error) {
	addresses := c.addresses
	if len(addresses) == 0 {
		addresses = strings.FieldsFunc(os.Getenv(AddressVariable), func(r rune) bool { return r == ',' || r == ' ' })
	}
	if len(addresses) == 0 {
		return nil, usagef("no node is named; give --address http://IP:PORT or set %s", AddressVariable)
	}
	token, err := c.token()
	if err != nil {
		return nil, &Error{Code: ExitUsage, Cause: err}
	}
	for _, a := range addresses {
		if !strings.Contains(a, "://") {
			a = "http://" + a
		}
		if u, err := url.Parse(a); err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
			return nil, usagef("%q is not an address; expected http://IP:PORT", a)
		}
		clients = append(clients, &operator.Client{Address: a, Token: token, HTTP: &http.Client{Timeout: callTimeout}})
	}
	return clients, nil
}

// client returns a client for the first address.
func (c *connection) client() (*operator.Client, error) {
	clients, err := c.clients()
	if err != nil {
		return nil, err
	}
	return clients[0], nil
}

func (c *connection) token() (string, error) {
	if c.tokenFile != "" {
		return settings.Secret{File: c.tokenFile}.Read()
	}
	if os.Getenv(TokenVariable) == "" {
		return "", errors.Newf("no token is given; give --token-file FILE or set %s", TokenVariable)
	}
	return settings.Secret{Variable: TokenVariable}.Read()
}

// withExitCode wraps an error of a request to a node in an *Error with the exit code
// for it. An error without a specific exit code is returned as it is. A lost response
// gets ExitUnavailable, which means that there was no effect; for a request that
// changes state the caller handles a lost response before it calls withExitCode.
func withExitCode(err error) error {
	var (
		unreachable *operator.UnreachableError
		response    *operator.ResponseError
	)
	switch {
	case errors.As(err, &unreachable):
		return &Error{Code: ExitUnavailable, Cause: err}
	case !errors.As(err, &response):
		return err
	case response.Status == http.StatusUnauthorized:
		return usagef("node %s rejects the operators' token", response.Address)
	case response.Status == http.StatusUnprocessableEntity, response.Status == http.StatusBadRequest:
		return &Error{Code: ExitUsage, Cause: errors.New(response.Failure.Error)}
	case response.Status == http.StatusServiceUnavailable:
		return &Error{Code: ExitUnavailable, Cause: err}
	default:
		return err
	}
}

// readFile reads a file named on the command line.
func readFile(file string) ([]byte, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, &Error{Code: ExitUsage, Cause: err}
	}
	return data, nil
}

// writeJSON writes a value as indented JSON.
func writeJSON(w io.Writer, value any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(value)
}

// writeTable writes rows of tab-separated cells in aligned columns.
func writeTable(w io.Writer, rows ...string) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, r := range rows {
		fmt.Fprintln(t, r)
	}
	return t.Flush()
}

// row returns the cells of a row separated by tabs, for writeTable.
func row(cells ...any) string {
	texts := make([]string, len(cells))
	for i, c := range cells {
		texts[i] = fmt.Sprint(c)
	}
	return strings.Join(texts, "\t")
}

// microCentsPerUnit is the number of millionths of a cent in a unit of currency.
const microCentsPerUnit = 100_000_000

// money formats an amount in units of currency.
func money(m fleet.MicroCents) string { return fmt.Sprintf("%.4f", float64(m)/microCentsPerUnit) }
