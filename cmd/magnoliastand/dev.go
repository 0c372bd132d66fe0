package main

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	_ "embed"
	"encoding/hex"
	"fmt"
	"os"
	"time"

	"github.com/pkg/errors"

	"magnoliastand.example/api"
	"magnoliastand.example/daemon"
	"magnoliastand.example/daemon/settings"
	"magnoliastand.example/standin"
)

// sampleDocument is the fleet document of serve --dev.
//
//go:embed sample.yaml
var sampleDocument []byte

// Addresses of serve --dev.
const (
	devCallers   = "127.0.0.1:8100"
	devOperators = "127.0.0.1:8200"
	devPeers     = "127.0.0.1:8300"
	devTeam      = "fukuoka-schools"
	// devSetupTimeout bounds forming the control log and applying the sample document.
	devSetupTimeout = 20 * time.Second
)

// devSettings returns the settings of a single daemon with its data in folder.
func devSettings(folder, operatorKey string) settings.Settings {
	sum := sha256.Sum256([]byte(operatorKey))
	text := fmt.Sprintf(`
name: dev-1
cluster: dev
availability_zone: fukuoka
listen: {callers: %q, operators: %q, peers: %q}
peers: [{name: dev-1, availability_zone: fukuoka, address: %q}]
peer_secret: %q
data_folder: %q
first_voters: [dev-1]
operators: [{name: dev, key_sha256: %q}]
log_level: warn
`, devCallers, devOperators, devPeers, devPeers, rand.Text(), folder, hex.EncodeToString(sum[:]))
	s, err := settings.Parse([]byte(text))
	if err != nil {
		panic(err) // the built-in settings are valid
	}
	return s
}

// serveDev runs the whole system in one process on a temporary folder.
func serveDev(ctx context.Context, s streams) error {
	folder, err := os.MkdirTemp("", "magnoliastand-dev-")
	if err != nil {
		return errors.Wrap(err, "temporary data folder")
	}
	defer func() { _ = os.RemoveAll(folder) }()
	operatorKey := rand.Text()
	set := devSettings(folder, operatorKey)
	d, err := daemon.New(set, newLogger(s.err, set.LogLevel))
	if err != nil {
		return errors.Wrap(err, "start")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx, make(chan struct{})) }()
	if err := setUpDev(ctx, d, s, operatorKey); err != nil {
		cancel()
		if stopErr := <-done; stopErr != nil {
			return errors.WithMessage(stopErr, err.Error())
		}
		return err
	}
	return <-done
}

// setUpDev applies the sample document, grants a key, starts stand-in
// endpoints and prints the calls to try.
func setUpDev(ctx context.Context, d *daemon.Daemon, s streams, operatorKey string) error {
	setupCtx, cancel := context.WithTimeout(ctx, devSetupTimeout)
	defer cancel()
	doc, err := api.LoadDocument(sampleDocument)
	if err != nil {
		return errors.Wrap(err, "sample document")
	}
	key, err := d.SetUp(setupCtx, doc, devTeam)
	if err != nil {
		return errors.Wrap(err, "set up")
	}
	for _, svc := range doc.Services {
		if err := startDevEndpoints(ctx, svc); err != nil {
			return err
		}
	}
	printLines(s.out,
		"magnoliastand runs on built-in settings. Calls to try:",
		"",
		"  curl -i -X POST http://"+devCallers+"/v1/queues/quote/requests -d '{\"stands\": 3}'",
		"  curl -i -X POST http://"+devCallers+"/v1/queues/reserve/requests -H 'Authorization: Bearer "+key+"' -d '{\"birds\": 12}'",
		"  MAGNOLIASTAND_OPERATOR_KEY="+operatorKey+" magnoliastand status --server http://"+devOperators,
		"  MAGNOLIASTAND_OPERATOR_KEY="+operatorKey+" magnoliastand report --server http://"+devOperators,
		"",
		"Stop it with Ctrl-C.",
	)
	return nil
}

// devEndpoints is the number of stand-in endpoints of each service.
const devEndpoints = 2

func startDevEndpoints(ctx context.Context, svc api.Service) error {
	for i := range devEndpoints {
		name := fmt.Sprintf("%s-%d", svc.Name, i+1)
		_, err := standin.StartEndpoint(ctx, standin.EndpointConfig{
			ID:       name,
			Service:  svc.Name,
			Instance: "instance-" + name,
			Daemons:  []string{devCallers},
			Slots:    svc.SlotsPerEndpoint,
			RunTime:  standin.Delay{Mean: 20 * time.Millisecond},
		})
		if err != nil {
			return errors.Wrap(err, "stand-in endpoint")
		}
	}
	return nil
}
