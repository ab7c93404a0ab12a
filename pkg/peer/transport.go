package peer

import (
	"context"
	"crypto/subtle"
	"net"
	"net/http"
	"sync/atomic"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	peerv1 "github.com/skylarkloom/skylarkloom/pkg/api/peer/v1"
	"github.com/skylarkloom/skylarkloom/pkg/api/peer/v1/peerv1connect"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/platform"
)

// maxMessage bounds a message, in bytes. The largest carry a configuration.
const maxMessage = 4 << 20

// compressFrom is the size of message from which on it is compressed, in bytes.
const compressFrom = 4 << 10

// Handler returns the HTTP handler of the peers' side. Calls without the shared
// token are refused.
func (s *Service) Handler(token string) http.Handler {
	_, h := peerv1connect.NewPeerServiceHandler(&rpc{service: s},
		connect.WithReadMaxBytes(maxMessage), connect.WithCompressMinBytes(compressFrom))
	want := []byte("Bearer " + token)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if token == "" || subtle.ConstantTimeCompare([]byte(r.Header.Get("Authorization")), want) != 1 {
			http.Error(w, "the peers' token is required", http.StatusUnauthorized)
			return
		}
		h.ServeHTTP(w, r)
	})
}

// rpc serves the calls of peers.
type rpc struct{ service *Service }

// Exchange implements the RPC of that name.
func (r *rpc) Exchange(ctx context.Context, q *connect.Request[peerv1.ExchangeRequest]) (*connect.Response[peerv1.ExchangeResponse], error) {
	answer, err := r.service.HandleExchange(ctx, q.Msg)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(answer), nil
}

// Append implements the RPC of that name.
func (r *rpc) Append(ctx context.Context, q *connect.Request[peerv1.AppendRequest]) (*connect.Response[peerv1.AppendResponse], error) {
	g := r.service.LogWriter
	if g == nil || q.Msg.GetVersion() < 1 {
		return connect.NewResponse(&peerv1.AppendResponse{Refused: "the node does not append for others"}), nil
	}
	offset, err := g.Append(ctx, platform.StreamName(q.Msg.GetStream()), q.Msg.GetData())
	if err != nil && !platform.MayHaveExecuted(err) {
		return connect.NewResponse(&peerv1.AppendResponse{Refused: err.Error()}), nil
	}
	if err != nil {
		return nil, connect.NewError(connect.CodeUnknown, err)
	}
	return connect.NewResponse(&peerv1.AppendResponse{Offset: uint64(offset)}), nil
}

// DialAppend returns a Call of a Forward that calls peers over HTTP.
func DialAppend(client *http.Client, scheme, token string) func(context.Context, Peer, platform.StreamName, []byte) (fleet.Offset, error) {
	return func(ctx context.Context, p Peer, stream platform.StreamName, data []byte) (fleet.Offset, error) {
		c := peerv1connect.NewPeerServiceClient(client, scheme+"://"+p.Address, connect.WithReadMaxBytes(maxMessage))
		q := connect.NewRequest(&peerv1.AppendRequest{Version: Version, Stream: string(stream), Data: data})
		q.Header().Set("Authorization", "Bearer "+token)
		answer, err := c.Append(ctx, q)
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			return 0, &platform.NotExecutedError{Service: "log writer", Cause: err}
		}
		if err != nil {
			return 0, &platform.UnknownOutcomeError{Service: "log writer", Cause: err}
		}
		if refused := answer.Msg.GetRefused(); refused != "" {
			return 0, &platform.NotExecutedError{Service: "log writer", Cause: errors.New(refused)}
		}
		return fleet.Offset(answer.Msg.GetOffset()), nil
	}
}

// Dial returns an Exchange that calls peers over HTTP. The scheme is "http" or
// "https".
func Dial(client *http.Client, scheme, token string) func(context.Context, Peer, *peerv1.ExchangeRequest) (*peerv1.ExchangeResponse, error) {
	return func(ctx context.Context, p Peer, r *peerv1.ExchangeRequest) (*peerv1.ExchangeResponse, error) {
		c := peerv1connect.NewPeerServiceClient(client, scheme+"://"+p.Address,
			connect.WithReadMaxBytes(maxMessage), connect.WithCompressMinBytes(compressFrom), connect.WithSendGzip())
		q := connect.NewRequest(r)
		q.Header().Set("Authorization", "Bearer "+token)
		answer, err := c.Exchange(ctx, q)
		if err != nil {
			return nil, err
		}
		return answer.Msg, nil
	}
}

// Traffic counts the bytes on the connections to peers, framing included.
type Traffic struct{ Received, Sent atomic.Int64 }

// Listener counts what passes the connections that a listener accepts.
func (t *Traffic) WrapListener(l net.Listener) net.Listener {
	return &countedListener{Listener: l, traffic: t}
}

// Dialer counts what passes the connections that a dial function opens.
func (t *Traffic) WrapDial(dial func(context.Context, string, string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: c, traffic: t}, nil
	}
}

type countedListener struct {
	net.Listener
	traffic *Traffic
}

func (l *countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: c, traffic: l.traffic}, nil
}

type countedConn struct {
	net.Conn
	traffic *Traffic
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.Received.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.Sent.Add(int64(n))
	return n, err
}
