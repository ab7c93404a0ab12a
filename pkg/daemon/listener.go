package daemon

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/netutil"
	"golang.org/x/sync/errgroup"

	"github.com/skylarkloom/skylarkloom/pkg/connection"
	"github.com/skylarkloom/skylarkloom/pkg/kernel"
	"github.com/skylarkloom/skylarkloom/pkg/settings"
)

// Limits of a listener's connections.
const (
	headerTimeout  = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
	maxConnections = 16384
)

// listener serves a handler on an address from the settings.
type listener struct {
	settings settings.Listener
	handler  http.Handler
	// connContext is the ConnContext of the server; it may be nil.
	connContext func(ctx context.Context, c net.Conn) context.Context
	// protocols are the protocols of the server; nil means the default of net/http.
	protocols *http.Protocols
	// wrapListener wraps the network listener; it may be nil.
	wrapListener func(l net.Listener) net.Listener

	netListener net.Listener
	server      *http.Server
	conns       connection.Tracker
	group       errgroup.Group
	done        chan struct{}
}

func (l *listener) address() string { return l.netListener.Addr().String() }

// service returns the kernel service that starts and stops the listener.
func (l *listener) service(name kernel.ServiceName) kernel.Service {
	l.done = make(chan struct{})
	return kernel.Service{Name: name, Value: l, Start: l.start, Stop: l.stop, Done: l.done}
}

func (l *listener) start(ctx context.Context) (err error) {
	l.netListener, err = new(net.ListenConfig).Listen(ctx, "tcp", l.settings.Address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", l.settings.Address)
	}
	l.netListener = netutil.LimitListener(l.netListener, maxConnections)
	if l.wrapListener != nil {
		l.netListener = l.wrapListener(l.netListener)
	}
	l.server = &http.Server{
		Handler:           l.handler,
		ConnContext:       l.connContext,
		ConnState:         l.conns.SetState,
		Protocols:         l.protocols,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	t := l.settings.TLS
	if t != (settings.TLS{}) {
		l.server.TLSConfig = &tls.Config{MinVersion: tls.VersionTLS12}
	}
	l.group.Go(func() error {
		defer close(l.done)
		if l.server.TLSConfig != nil {
			return l.server.ServeTLS(l.netListener, t.Certificate, t.Key)
		}
		return l.server.Serve(l.netListener)
	})
	return nil
}

// stop closes the listener and waits until the requests in progress are finished. The
// handler answers requests on connections that were opened before. When the context ends,
// it closes their connections.
func (l *listener) stop(ctx context.Context) (err error) {
	if l.server == nil {
		close(l.done)
		return nil
	}
	err = l.conns.CloseIdle(ctx, l.netListener, l.done)
	if shutdownErr := l.server.Shutdown(ctx); shutdownErr != nil {
		return errors.CombineErrors(shutdownErr, l.server.Close())
	}
	if serveErr := l.group.Wait(); !errors.IsAny(serveErr, http.ErrServerClosed, net.ErrClosed) {
		return serveErr
	}
	return err
}
