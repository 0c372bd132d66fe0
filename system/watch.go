package system

import (
	"context"
	"os"
	"time"

	"github.com/rs/zerolog"
)

// watchInterval is the time between two looks at the settings file, which may
// change without a signal.
const watchInterval = 2 * time.Second

// WatchSettings reads the file again after each signal on hup and whenever it
// has changed. A file that can't be used leaves the settings as they are.
func WatchSettings(ctx context.Context, file string, hup <-chan os.Signal, log zerolog.Logger) <-chan Settings {
	out := make(chan Settings, 1)
	go func() {
		seen := modified(file)
		for ctx.Err() == nil {
			select {
			case <-hup:
			case <-time.After(watchInterval):
				if modified(file).Equal(seen) {
					continue
				}
			case <-ctx.Done():
				return
			}
			seen = modified(file)
			set, err := LoadSettings(file)
			log.Info().Err(err).Strs("seeds", set.Seeds).Msg("settings read again")
			if err != nil {
				continue
			}
			select {
			case out <- set:
			case <-ctx.Done():
			}
		}
	}()
	return out
}

// modified returns the time of the last change; the zero time when it is not known.
func modified(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
