package cmds

import (
	"bytes"
	"context"
	"expvar"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"time"

	"github.com/go-logr/logr"

	"apricotproxy/core"
	"apricotproxy/core/invar"
	"apricotproxy/io/entry"
	"apricotproxy/io/front"
	"apricotproxy/io/guard"
	"apricotproxy/io/local"
	"apricotproxy/io/logs"
	"apricotproxy/platform"
)

// RouteCommand runs an entry host for routed requests.
type RouteCommand struct {
	Boot     string `help:"Path of the platform's settings file; by default, the path in the platform's environment variable."`
	SiteFile string `help:"INI file with the host, routes and endpoints, for a site without the platform; see examples/routed/routes.ini."`
	LogLevel string `enum:"info,error" default:"info" help:"Lowest level to log: info or error."`

	LogLines int `default:"1000" help:"Most log lines per second; further lines are dropped, and a log line reports their number. 0 for no limit."`

	MetricsAddress string `default:":9464" help:"Address to serve metrics on, under /metrics; empty for none."`
}

// _memoryShare is the fraction of the host's memory that is set as the memory limit
// of the Go runtime.
const _memoryShare = 0.7

// limitMemory sets the memory limit of the Go runtime from the host's memory; 0 sets none.
func limitMemory(bytes int64) {
	if bytes > 0 {
		debug.SetMemoryLimit(int64(float64(bytes) * _memoryShare))
	}
}

// Run serves until SIGTERM.
func (c *RouteCommand) Run(ctx context.Context, console *Console) error {
	hangups, stopHangups := notifyHangup()
	defer stopHangups()
	settings, text, err := c.settings()
	if err != nil {
		return fmt.Errorf("read the settings: %w", err)
	}
	limitMemory(settings.MemoryBytes)
	lines := logs.New(logs.Settings{Out: console.Out, LinesPerSecond: c.LogLines, Notice: droppedNotice, Routine: isRoutine})
	defer lines.Close()
	settings.Logger = c.logger(lines)
	defer invar.SetHandler(func(violation *invar.Violation) {
		settings.Logger.WithName("promise").Error(violation, "A promise is broken.")
	})()
	settings.Guard = guard.New(guard.Settings{MemoryBytes: settings.MemoryBytes, Logger: settings.Logger})
	h, err := entry.New(settings)
	if err != nil {
		return fmt.Errorf("start the host: %w", err)
	}
	if c.SiteFile == "" { // a site's file is followed without signals
		go watchSettings(ctx, c.bootPath(), text, h.Reload, settings.Logger, hangups)
	}
	go c.serveMetrics(settings.Guard, settings.Logger)
	if err := h.Run(ctx); err != nil {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}

// settings returns the host's settings, from SiteFile if it is set, and from the platform's
// settings file and with its text otherwise.
func (c *RouteCommand) settings() (settings entry.Settings, text []byte, err error) {
	dialer := entry.NewDialer()
	settings = entry.Settings{Dialer: dialer, Listen: net.Listen, ListenPacket: net.ListenPacket}
	if c.SiteFile != "" {
		store, site, err := local.Open(c.SiteFile)
		if err != nil {
			return entry.Settings{}, nil, fmt.Errorf("open the site's file: %w", err)
		}
		settings.EntrySettings, settings.Store, settings.Decode = site.Host, store, local.Decode
		settings.Names, settings.Paths, settings.DecodeReport = local.Headers(), local.Paths(), local.DecodeReport
		settings.DecodeHeld = local.DecodeHeld
		return settings, nil, nil
	}
	if text, err = os.ReadFile(c.bootPath()); err != nil {
		return entry.Settings{}, nil, fmt.Errorf("read the platform's settings: %w", err)
	}
	entrySettings, err := platform.ParseSettings(c.bootPath(), text)
	if err != nil {
		return entry.Settings{}, nil, fmt.Errorf("parse the platform's settings: %w", err)
	}
	settings.EntrySettings, settings.Decode = entrySettings, platform.Decode
	settings.Store = platform.NewStore(entrySettings.Store, &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute, DisableCompression: true,
	})
	settings.Names, settings.Paths, settings.DecodeReport = platform.Headers(), platform.Paths(), platform.DecodeReport
	settings.DecodeHeld = platform.DecodeHeld
	return settings, text, nil
}

// bootPath returns the path of the platform's settings file.
func (c *RouteCommand) bootPath() string {
	if c.Boot != "" {
		return c.Boot
	}
	return os.Getenv(platform.SettingsVariable)
}

func (c *RouteCommand) logger(out io.Writer) logr.Logger {
	level := slog.LevelInfo
	if c.LogLevel == "error" {
		level = slog.LevelError
	}
	return logr.FromSlogHandler(slog.NewJSONHandler(out, &slog.HandlerOptions{Level: level}))
}

// isRoutine reports whether a log line is one that a request writes when nothing goes wrong.
func isRoutine(line []byte) bool {
	// The attributes, which follow the message, cannot contain the key: their quotes are escaped.
	_, rest, _ := bytes.Cut(line, []byte(`"msg":"`))
	message, _, _ := bytes.Cut(rest, []byte(`"`))
	return front.IsRoutine(string(message))
}

// droppedNotice returns the log line that reports dropped lines.
func droppedNotice(dropped int64) []byte {
	var line bytes.Buffer
	slog.New(slog.NewJSONHandler(&line, nil)).Warn("Log lines were dropped.", "Lines", dropped)
	return line.Bytes()
}

// Limits of the metrics address. A collector asks every few seconds, or minutes.
const (
	_metricsHeaderBytes = 64 << 10
	_metricsIdleTimeout = 5 * time.Minute
)

// serveMetrics serves the process's metrics. If it cannot, it logs the error and the host
// continues without metrics.
func (c *RouteCommand) serveMetrics(limits *guard.Guard, logger logr.Logger) {
	if c.MetricsAddress == "" {
		return
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", expvar.Handler())
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second, MaxHeaderBytes: _metricsHeaderBytes, IdleTimeout: _metricsIdleTimeout}
	listener, err := net.Listen("tcp", c.MetricsAddress)
	if err == nil {
		err = server.Serve(limits.Protect(guard.Others, server, listener))
	}
	logger.Error(err, "Metrics cannot be served.", "Address", c.MetricsAddress)
}

// _settingsPollInterval is how often the settings file is read, since it may change
// without a signal.
const _settingsPollInterval = time.Second

// watchSettings reads the settings file every second and after SIGHUP, and calls reload when
// its text is not the previous one. If the file cannot be used, the settings stay as they are.
func watchSettings(ctx context.Context, path string, previous []byte, reload func(core.EntrySettings), logger logr.Logger, hangups <-chan os.Signal) {
	ticker := time.NewTicker(_settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-ticker.C:
		}
		text, err := os.ReadFile(path)
		if err != nil {
			logger.Error(err, "The settings file cannot be read.")
			continue
		}
		if bytes.Equal(text, previous) {
			continue
		}
		previous = text
		settings, err := platform.ParseSettings(path, text)
		if err != nil {
			logger.Error(err, "The settings file cannot be used; the settings stay as they are.")
			continue
		}
		logger.Info("The settings changed.", "Path", path)
		reload(settings)
	}
}
