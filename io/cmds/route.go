package cmds

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"time"

	"github.com/go-logr/logr"

	"apricotproxy/io/entry"
	"apricotproxy/platform"
)

// RouteCommand runs an entry host for routed requests on the users' platform.
type RouteCommand struct {
	Boot     string `help:"Path of the platform's settings file; by default, where the platform's environment variable points."`
	LogLevel string `enum:"info,error" default:"info" help:"Least level to log: info or error."`
}

// _memoryShare is the part of the host's memory that the collector aims for.
const _memoryShare = 0.7

// Run serves until SIGTERM.
func (c *RouteCommand) Run(ctx context.Context, console *Console) error {
	path := c.Boot
	if path == "" {
		path = os.Getenv(platform.SettingsVariable)
	}
	settings, err := platform.ReadSettings(path)
	if err != nil {
		return fmt.Errorf("read the settings: %w", err)
	}
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(settings.MemoryBytes) * _memoryShare))
	}
	dialer := entry.NewDialer()
	store := platform.NewStore(settings.Store, &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute, DisableCompression: true,
	})
	h, err := entry.New(entry.Settings{
		EntrySettings: settings,
		Names:         platform.Headers(),
		Paths:         platform.Paths(),
		Store:         store,
		Decode:        platform.Decode,
		Dialer:        dialer,
		Listen:        net.Listen,
		Logger:        c.logger(console),
	})
	if err != nil {
		return fmt.Errorf("start the host: %w", err)
	}
	if err := h.Run(ctx); err != nil {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}

func (c *RouteCommand) logger(console *Console) logr.Logger {
	level := slog.LevelInfo
	if c.LogLevel == "error" {
		level = slog.LevelError
	}
	return logr.FromSlogHandler(slog.NewJSONHandler(console.Out, &slog.HandlerOptions{Level: level}))
}
