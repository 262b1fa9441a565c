package commander

import (
	"context"
	"fmt"
	"os/signal"
	"syscall"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/apex/log/handlers/text"

	"github.com/verbenastand/verbenastand/configurer"
	"github.com/verbenastand/verbenastand/internal/reloader"
	"github.com/verbenastand/verbenastand/launcher"
	"github.com/verbenastand/verbenastand/recorder"
)

type entryCommand struct {
	configurer.Settings
	config Config
}

// Execute runs an entry host.
func (e *entryCommand) Execute([]string) error {
	if err := e.Validate(); err != nil {
		return usageError{err}
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	handler := recorder.NewHandler(e.lineHandler())
	defer handler.Close()
	logger := &log.Logger{Level: log.MustParseLevel(e.LogLevel), Handler: handler}
	host, err := launcher.NewHost(ctx, launcher.HostConfig{
		Settings: e.Settings, Version: e.config.Version, Log: logger.WithField("host", e.Host),
		DroppedLines: handler.Dropped,
	})
	if err != nil {
		return fmt.Errorf("commander: %w", err)
	}
	return host.Run(ctx, reloader.Signals())
}

func (e *entryCommand) lineHandler() log.Handler {
	if e.LogFormat == "json" {
		return json.New(e.config.Stderr)
	}
	return text.New(e.config.Stderr)
}
