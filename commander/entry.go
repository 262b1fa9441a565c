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
	host, err := launcher.NewHost(ctx, e.Settings, e.config.Version, e.logger())
	if err != nil {
		return fmt.Errorf("commander: %w", err)
	}
	return host.Run(ctx, reloader.Signals())
}

func (e *entryCommand) logger() log.Interface {
	logger := &log.Logger{Level: log.MustParseLevel(e.LogLevel), Handler: text.New(e.config.Stderr)}
	if e.LogFormat == "json" {
		logger.Handler = json.New(e.config.Stderr)
	}
	return logger.WithField("host", e.Host)
}
