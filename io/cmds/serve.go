package cmds

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"time"

	"github.com/alecthomas/kong"
	"github.com/go-logr/logr"

	"apricotproxy/core"
	"apricotproxy/core/invar"
	"apricotproxy/core/procs/audit"
	"apricotproxy/io/host"
)

// ServeCommand runs one entry host.
type ServeCommand struct {
	Settings        kong.ConfigFlag `help:"INI file with a section [Serve], whose keys are these flags in Pascal case. Flags take precedence over it."`
	Site            string          `required:"" help:"Name of the site, as in its configuration."`
	Name            string          `required:"" help:"This host's name in the site's configuration, such as austin-a-host-1."`
	Platform        string          `required:"" help:"Host and port of the platform's service." placeholder:"10.0.0.9:8500"`
	CallerAddress   string          `default:":8080" help:"Address to listen on for callers."`
	PeerAddress     string          `default:":7443" help:"Address to listen on for other entry hosts."`
	OperatorAddress string          `default:"127.0.0.1:9090" help:"Address to listen on for operators; empty for none."`
	Peers           []string        `help:"Addresses of other entry hosts to contact at startup, so that the configuration can come from them if the platform is down." placeholder:"10.0.0.1:7443"`
	PeerCertificate string          `help:"File of the certificate for connections with other hosts, until the configuration is known."`
	PeerKey         string          `help:"Key file of the peer certificate."`
	PeerAuthority   string          `help:"File of the certificate authority that must have signed other hosts' certificates."`
	MemoryBytes     int64           `help:"Memory that this host may use, in bytes; 0 if nothing limits it."`
	LogFormat       string          `enum:"text,json" default:"text" help:"Log format: text or json."`
	Audit           string          `enum:"yes,no" default:"yes" help:"Write the audit trail to standard output: yes or no."`
	LogLevel        string          `enum:"info,debug" default:"info" help:"Lowest level to log: info or debug."`
}

// _keepAlive is the TCP keep-alive interval. It detects that a peer failed while a
// connection was idle.
const _keepAlive = 15 * time.Second

// Run serves until SIGTERM, then finishes all requests and returns.
func (c *ServeCommand) Run(ctx context.Context, console *Console) error {
	_, stopHangups := notifyHangup() // there is nothing to read again: the service publishes changes
	defer stopHangups()
	logger := c.logger(console)
	limitMemory(c.MemoryBytes)
	dialer := &net.Dialer{KeepAlive: _keepAlive}
	h, err := host.New(host.Settings{
		Site:            core.SiteName(c.Site),
		Self:            core.HostID{Host: core.HostName(c.Name), Incarnation: core.Incarnation(time.Now().UnixNano())},
		CallerAddress:   c.CallerAddress,
		PeerAddress:     c.PeerAddress,
		OperatorAddress: c.OperatorAddress,
		Platform:        c.Platform,
		Seeds:           c.Peers,
		TLS: core.TLS{
			PeerCertificate: c.PeerCertificate,
			PeerKey:         c.PeerKey,
			PeerAuthority:   c.PeerAuthority,
		},
		MemoryBytes: c.MemoryBytes,
		ReadFile:    os.ReadFile,
		Dialer:      dialer,
		Listen:      listenTCP,
		Logger:      logger,
	})
	if err != nil {
		return fmt.Errorf("start the host: %w", err)
	}
	defer invar.SetHandler(c.violationHandler(h, logger))()
	if c.Audit == "yes" {
		go c.printAudit(ctx, console, h)
	}
	if err := h.Run(ctx); err != nil {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}

// violationHandler returns a handler that logs a broken promise and records it in the
// audit trail. The host continues to serve: stopping would break more promises.
func (c *ServeCommand) violationHandler(h *host.Host, logger logr.Logger) func(*invar.Violation) {
	return func(violation *invar.Violation) {
		logger.WithName("promise").Error(violation, "A promise is broken.")
		h.Trail().Record(core.AuditEvent{
			Time: time.Now(), Host: core.HostID{Host: core.HostName(c.Name)}, Kind: core.AuditPromiseBroken,
			Subject: string(violation.Promise), Cause: violation.Detail,
		})
	}
}

// printAudit writes audit events to standard output as they occur, including those of
// a graceful shutdown.
func (c *ServeCommand) printAudit(ctx context.Context, console *Console, h *host.Host) {
	_ = h.Trail().Follow(context.WithoutCancel(ctx), func(entry audit.Entry) error {
		_, err := fmt.Fprintln(console.Out, entry)
		return err
	})
}

// listenTCP is a core.Listen that enables TCP keep-alive.
func listenTCP(network, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAlive: _keepAlive}
	return config.Listen(context.Background(), network, address)
}

// logger returns a logger that writes to standard error; the audit trail goes to
// standard output.
func (c *ServeCommand) logger(console *Console) logr.Logger {
	options := &slog.HandlerOptions{Level: slog.LevelInfo}
	if c.LogLevel == "debug" {
		options.Level = slog.LevelDebug
	}
	var handler slog.Handler = slog.NewTextHandler(console.Err, options)
	if c.LogFormat == "json" {
		handler = slog.NewJSONHandler(console.Err, options)
	}
	return logr.FromSlogHandler(handler)
}
