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

// maxMessageBytes is the maximum size of a message. The largest messages carry a
// configuration.
const maxMessageBytes = 4 << 20

// compressMinBytes is the size from which messages are compressed.
const compressMinBytes = 4 << 10

// Handler returns the HTTP handler for requests of peers. Requests without the
// shared token are refused.
func (s *Service) Handler(token string) http.Handler {
	_, h := peerv1connect.NewPeerServiceHandler(&rpc{service: s},
		connect.WithReadMaxBytes(maxMessageBytes), connect.WithCompressMinBytes(compressMinBytes))
	want := []byte("Bearer " + token)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if token == "" || subtle.ConstantTimeCompare([]byte(r.Header.Get("Authorization")), want) != 1 {
			http.Error(w, "the peers' token is required", http.StatusUnauthorized)
			return
		}
		h.ServeHTTP(w, r)
	})
}

// rpc serves the requests of peers.
type rpc struct{ service *Service }

// Exchange implements the Exchange RPC.
func (r *rpc) Exchange(ctx context.Context, request *connect.Request[peerv1.ExchangeRequest]) (*connect.Response[peerv1.ExchangeResponse], error) {
	response, err := r.service.HandleExchange(ctx, request.Msg)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(response), nil
}

// Append implements the Append RPC.
func (r *rpc) Append(ctx context.Context, request *connect.Request[peerv1.AppendRequest]) (*connect.Response[peerv1.AppendResponse], error) {
	writer := r.service.LogWriter
	if writer == nil || request.Msg.GetVersion() < 1 {
		return connect.NewResponse(&peerv1.AppendResponse{Refused: "the node does not append for others"}), nil
	}
	offset, err := writer.Append(ctx, platform.StreamName(request.Msg.GetStream()), request.Msg.GetData())
	if err != nil && !platform.MayHaveExecuted(err) {
		return connect.NewResponse(&peerv1.AppendResponse{Refused: err.Error()}), nil
	}
	if err != nil {
		return nil, connect.NewError(connect.CodeUnknown, err)
	}
	return connect.NewResponse(&peerv1.AppendResponse{Offset: uint64(offset)}), nil
}

// DialAppend returns a RemoteAppend function of a Forwarder that calls peers over
// HTTP. The scheme is "http" or "https".
func DialAppend(client *http.Client, scheme, token string) func(context.Context, Peer, platform.StreamName, []byte) (fleet.Offset, error) {
	return func(ctx context.Context, p Peer, stream platform.StreamName, data []byte) (fleet.Offset, error) {
		c := peerv1connect.NewPeerServiceClient(client, scheme+"://"+p.Address, connect.WithReadMaxBytes(maxMessageBytes))
		request := connect.NewRequest(&peerv1.AppendRequest{Version: Version, Stream: string(stream), Data: data})
		request.Header().Set("Authorization", "Bearer "+token)
		response, err := c.Append(ctx, request)
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			return 0, &platform.NotExecutedError{Service: "log writer", Cause: err}
		}
		if err != nil {
			return 0, &platform.UnknownOutcomeError{Service: "log writer", Cause: err}
		}
		if refused := response.Msg.GetRefused(); refused != "" {
			return 0, &platform.NotExecutedError{Service: "log writer", Cause: errors.New(refused)}
		}
		return fleet.Offset(response.Msg.GetOffset()), nil
	}
}

// Dial returns an Exchange function of a Service that calls peers over HTTP. The
// scheme is "http" or "https".
func Dial(client *http.Client, scheme, token string) func(context.Context, Peer, *peerv1.ExchangeRequest) (*peerv1.ExchangeResponse, error) {
	return func(ctx context.Context, p Peer, r *peerv1.ExchangeRequest) (*peerv1.ExchangeResponse, error) {
		c := peerv1connect.NewPeerServiceClient(client, scheme+"://"+p.Address,
			connect.WithReadMaxBytes(maxMessageBytes), connect.WithCompressMinBytes(compressMinBytes), connect.WithSendGzip())
		request := connect.NewRequest(r)
		request.Header().Set("Authorization", "Bearer "+token)
		response, err := c.Exchange(ctx, request)
		if err != nil {
			return nil, err
		}
		return response.Msg, nil
	}
}

// Traffic counts the bytes on the connections with peers, including framing.
type Traffic struct{ Received, Sent atomic.Int64 }

// WrapListener returns a listener that counts the bytes of its connections.
func (t *Traffic) WrapListener(l net.Listener) net.Listener {
	return &countedListener{Listener: l, traffic: t}
}

// WrapDial returns a dial function that counts the bytes of its connections.
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
