package commander

import (
	"context"
	"fmt"
	"net/http"
	"os/signal"
	"syscall"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"

	"github.com/verbenastand/verbenastand/configurer"
	"github.com/verbenastand/verbenastand/internal/reloader"
	"github.com/verbenastand/verbenastand/launcher"
	"github.com/verbenastand/verbenastand/platform"
	"github.com/verbenastand/verbenastand/recorder"
	"github.com/verbenastand/verbenastand/resolver"
)

type gatewayCommand struct {
	configurer.Gateway
	SettingsFile string `long:"settings-file" env:"VERBENASTAND_NODE_FILE" description:"Settings file of the platform; its values override flags and environment variables"`
	config       Config
}

// settings returns the validated settings, including those of the settings file.
func (g *gatewayCommand) settings() (configurer.Gateway, error) {
	s := g.Gateway
	if g.SettingsFile != "" {
		if err := platform.LoadSettings(g.SettingsFile, &s); err != nil {
			return s, err
		}
	}
	return s, s.Validate()
}

// Execute runs a gateway host.
func (g *gatewayCommand) Execute([]string) error {
	settings, err := g.settings()
	if err != nil {
		return usageError{err}
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	handler := recorder.NewHandler(json.New(g.config.Stdout))
	defer handler.Close()
	logger := &log.Logger{Level: log.MustParseLevel(g.LogLevel), Handler: handler}
	gateway, err := launcher.NewGateway(ctx, launcher.GatewayConfig{
		Settings: settings, Version: g.config.Version, Log: logger.WithField("host", settings.Host),
		DroppedLines: handler.Dropped,
		Store:        platform.NewStore(settings.Store), HeaderFormat: platform.HeaderFormat{},
		NewDirectory: func(r *resolver.Resolver) http.Handler { return platform.NewDirectoryHandler(r) },
		NewReadiness: platform.NewReadinessHandler,
		Reload:       g.settings,
	})
	if err != nil {
		return fmt.Errorf("commander: %w", err)
	}
	return gateway.Run(ctx, reloader.Signals())
}
