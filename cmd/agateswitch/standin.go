package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"

	"agateswitch/adapter/hostlist"
	"agateswitch/standin/engine"
	"agateswitch/standin/hosts"
	"agateswitch/standin/service"
	"agateswitch/standin/store"

	"github.com/juju/errors"
	"github.com/spf13/cobra"
)

// upstreamFlags are the flags that describe an upstream on the host list.
type upstreamFlags struct {
	id, pool, dataCentre, version, hostList string
}

func (f *upstreamFlags) add(command *cobra.Command) {
	command.Flags().StringVar(&f.id, "id", "", "id of the upstream")
	command.Flags().StringVar(&f.pool, "pool", "", "pool of the upstream")
	command.Flags().StringVar(&f.dataCentre, "datacentre", "", "data centre of the upstream")
	command.Flags().StringVar(&f.version, "version", "1", "version that the upstream runs")
	command.Flags().StringVar(&f.hostList, "hosts", "", "ip:port of the host list stand-in to register with")
	command.MarkFlagRequired("id")
	command.MarkFlagRequired("pool")
	command.MarkFlagRequired("datacentre")
}

// group returns the upstream's entry on the host list.
func (f *upstreamFlags) group(address string) hostlist.TargetGroup {
	return hostlist.TargetGroup{Targets: []string{address}, Labels: map[string]string{
		hostlist.LabelRole: hostlist.RoleUpstream, hostlist.LabelID: f.id, hostlist.LabelPool: f.pool,
		hostlist.LabelDataCentre: f.dataCentre, hostlist.LabelVersion: f.version,
	}}
}

func standinCommand() *cobra.Command {
	command := &cobra.Command{Use: "standin", Short: "Serve one stand-in of the platform or of an upstream"}
	command.AddCommand(standinStore(), standinHosts(), standinEngine(), standinService())
	return command
}

func standinStore() *cobra.Command {
	var listen string
	command := &cobra.Command{
		Use: "store", Short: "Serve the key-value service", Args: cobra.NoArgs,
		Example: "  agateswitch standin store --listen 127.0.0.1:2379",
		RunE:    func(*cobra.Command, []string) error { return serveStandin(listen, store.New(), nil) },
	}
	command.Flags().StringVar(&listen, "listen", "127.0.0.1:2379", "ip:port to serve on")
	return command
}

func standinHosts() *cobra.Command {
	var listen string
	command := &cobra.Command{
		Use: "hosts", Short: "Serve the host list", Args: cobra.NoArgs,
		Example: "  agateswitch standin hosts --listen 127.0.0.1:2380",
		RunE:    func(*cobra.Command, []string) error { return serveStandin(listen, hosts.New(), nil) },
	}
	command.Flags().StringVar(&listen, "listen", "127.0.0.1:2380", "ip:port to serve on")
	return command
}

func standinEngine() *cobra.Command {
	var listen string
	var flags upstreamFlags
	options := engine.Options{}
	command := &cobra.Command{
		Use: "engine", Short: "Serve a model engine", Args: cobra.NoArgs,
		Example: "  agateswitch standin engine --id e1 --pool farrier-lm --datacentre arima --hosts 127.0.0.1:2380",
		RunE: func(*cobra.Command, []string) error {
			options.ID = flags.id
			return serveStandin(listen, engine.New(options), &flags)
		},
	}
	command.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "ip:port to serve on")
	command.Flags().DurationVar(&options.TokenInterval, "token-interval", 5*time.Millisecond, "time between tokens")
	command.Flags().DurationVar(&options.PrefillPerToken, "prefill-per-token", 100*time.Microsecond, "time of an uncached prompt token")
	flags.add(command)
	return command
}

func standinService() *cobra.Command {
	var listen string
	var flags upstreamFlags
	command := &cobra.Command{
		Use: "service", Short: "Serve a plain service", Args: cobra.NoArgs,
		Example: "  agateswitch standin service --id s1 --pool rounds-app --datacentre arima --hosts 127.0.0.1:2380",
		RunE: func(*cobra.Command, []string) error {
			return serveStandin(listen, service.New(flags.id), &flags)
		},
	}
	command.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "ip:port to serve on")
	flags.add(command)
	return command
}

// serveStandin serves until SIGTERM or Ctrl-C. With flags that name a host list, it first registers
// the upstream there.
func serveStandin(address string, handler http.Handler, flags *upstreamFlags) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Trace(err)
	}
	if flags != nil && flags.hostList != "" {
		if err := register(flags.hostList, flags.group(listener.Addr().String())); err != nil {
			return err
		}
	}
	fmt.Println("listening on", listener.Addr())
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	ctx, _, stop := signalContexts()
	defer stop()
	go func() {
		<-ctx.Done()
		server.Close()
	}()
	if err := server.Serve(listener); err != http.ErrServerClosed {
		return errors.Trace(err)
	}
	return nil
}

// register puts an entry on the host list stand-in.
func register(hostList string, group hostlist.TargetGroup) error {
	body, err := json.Marshal(group)
	if err != nil {
		return errors.Trace(err)
	}
	request, err := http.NewRequest(http.MethodPut, "http://"+hostList+hosts.PathRegister, bytes.NewReader(body))
	if err != nil {
		return errors.Trace(err)
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Annotate(err, "registering with the host list")
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusNoContent {
		return errors.Errorf("registering with the host list: status %d", answer.StatusCode)
	}
	return nil
}
