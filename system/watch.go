package system

import (
	"context"
	"os"
	"time"

	"github.com/rs/zerolog"
)

// watchInterval is the interval at which the settings file is checked for changes:
// a change may come without a signal.
const watchInterval = 2 * time.Second

// WatchSettings reloads the settings file after each signal on hup and when its
// modification time changes. Invalid settings are logged and not sent.
func WatchSettings(ctx context.Context, file string, hup <-chan os.Signal, log zerolog.Logger) <-chan Settings {
	out := make(chan Settings, 1)
	go func() {
		lastModTime := modTime(file)
		for ctx.Err() == nil {
			select {
			case <-hup:
			case <-time.After(watchInterval):
				if modTime(file).Equal(lastModTime) {
					continue
				}
			case <-ctx.Done():
				return
			}
			lastModTime = modTime(file)
			settings, err := LoadSettings(file)
			log.Info().Err(err).Strs("seeds", settings.Seeds).Msg("settings file read")
			if err != nil {
				continue
			}
			select {
			case out <- settings:
			case <-ctx.Done():
			}
		}
	}()
	return out
}

// modTime returns the modification time of the file, or the zero time if it is not
// known.
func modTime(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
