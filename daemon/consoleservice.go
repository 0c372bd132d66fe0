package daemon

import (
	"context"

	"magnoliastand.example/daemon/console"
	"magnoliastand.example/fleet"
)

// consoleService implements console.Service.
type consoleService struct {
	operatorService
	daemon *Daemon
}

// Waves implements console.Service: every wave of the document, with its
// progress where it ever ran.
func (s consoleService) Waves(ctx context.Context) ([]console.WaveRow, error) {
	st, err := s.daemon.fleetStatus(ctx)
	if err != nil {
		return nil, err
	}
	runs := make(map[string]WaveStatus, len(st.Waves))
	for _, w := range st.Waves {
		runs[w.Name] = w
	}
	var rows []console.WaveRow
	for _, w := range s.View().Document().Waves {
		run, ok := runs[w.Name]
		if !ok {
			run.State = "never started"
		}
		rows = append(rows, console.WaveRow{Name: w.Name, State: string(run.State), Done: run.Done, Reason: run.Reason})
	}
	return rows, nil
}

// Wave implements console.Service.
func (s consoleService) Wave(ctx context.Context, wave, action string) error {
	cmd, p := waveCommand(wave, action)
	if p != nil {
		return p
	}
	cmd.At = nowMillis()
	cmd.Actor = fleet.Actor{Role: fleet.RoleOperator, Name: "console"}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	_, err := s.plane.proposeFleet(ctx, cmd)
	return err
}
