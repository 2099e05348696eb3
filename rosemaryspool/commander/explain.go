package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"rosemaryspool.example/rosemaryspool/forwarder"
)

// explainTimeout bounds the question to the gateway, which may ask the arbiter in turn.
const explainTimeout = 5 * time.Second

// explainParameters are the flags that the gateway is asked with, by their URL parameter.
var explainParameters = []struct{ flag, parameter, usage string }{
	{"host", "host", "host of the request, which selects the route with the path"},
	{"path", "path", "path of the request, with its slash at the beginning"},
	{"account", "account", "account that sends the request, where the configuration has any"},
	{"service", "service", "service of the route; the one with the largest weight if not given"},
	{"tokens", "tokens", "tokens of the prompt and most of the output, IN,OUT"},
	{"prompt", "prompt", "parts of the prompt, ID:TOKENS separated by commas"},
	{"model", "model", "model of the prompt's parts"},
	{"hint", "hint", "expected output in tokens"},
	{"time-limit", "timeLimit", "how long the caller waits, such as 2s; the route's timeout if not given"},
}

func explainCommand(output io.Writer) *cli.Command {
	flags := []cli.Flag{
		&cli.StringFlag{Name: "gateway", Usage: "address of a gateway's metrics, IP:PORT", Required: true},
		&cli.BoolFlag{Name: "json", Usage: "print the explanation as JSON"},
	}
	for _, p := range explainParameters {
		flags = append(flags, &cli.StringFlag{Name: p.flag, Usage: p.usage})
	}
	return &cli.Command{
		Name:  "explain",
		Usage: "tell where a gateway would send a request now, and why, without sending it",
		Flags: flags,
		Action: func(ctx context.Context, command *cli.Command) error {
			values := url.Values{}
			for _, p := range explainParameters {
				if text := command.String(p.flag); text != "" {
					values.Set(p.parameter, text)
				}
			}
			ctx, cancel := context.WithTimeout(ctx, explainTimeout)
			defer cancel()
			gateway := command.String("gateway")
			x, err := forwarder.FetchExplanation(ctx, gateway, values)
			if err != nil {
				return eris.Wrapf(err, "gateway %s", gateway)
			}
			if command.Bool("json") {
				return eris.Wrap(json.NewEncoder(output).Encode(x), "explain: print")
			}
			return writeExplanation(output, *x)
		},
	}
}

// writeExplanation prints an explanation for people: the decision, then the upstreams that were weighed.
func writeExplanation(output io.Writer, x forwarder.Explanation) error {
	fmt.Fprintf(output, "route %s of configuration %d, rank %d", x.Route, x.ConfigurationVersion, x.Rank)
	if x.Account != "" {
		fmt.Fprintf(output, ", account %s", x.Account)
	}
	fmt.Fprintf(output, "\ndecided by %s\n", x.Decider)
	if x.Note != "" {
		fmt.Fprintln(output, x.Note)
	}
	switch {
	case !x.Admitted:
		fmt.Fprintf(output, "refused: %s, to return after %s; the best upstream would answer after %.1f ms, %.1f ms of it queued\n",
			x.Reason, x.RetryAfter, x.PredictedMs, x.QueuedMs)
	case x.Prefiller != "":
		fmt.Fprintf(output, "goes to %s, its prompt to %s first; first event after %.1f ms, %.1f ms of it queued, %d tokens not cached\n",
			x.Upstream, x.Prefiller, x.PredictedMs, x.QueuedMs, x.Tokens)
	default:
		fmt.Fprintf(output, "goes to %s; first event after %.1f ms, %.1f ms of it queued, %d tokens not cached\n",
			x.Upstream, x.PredictedMs, x.QueuedMs, x.Tokens)
	}
	if x.Deferred {
		fmt.Fprintln(output, "deferred: it would be late, and runs behind the requests in time")
	}
	if x.Exceeds {
		fmt.Fprintln(output, "beyond its account's share of the service")
	}
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "upstream\tdata centre\trole\tcost ms\tpredicted ms\tcached\trequests\tslots\tqueued tokens\tpace\ttrial\texcluded")
	for _, c := range x.Candidates {
		fmt.Fprintf(table, "%s\t%s\t%s\t%.1f\t%.1f\t%d\t%d\t%d\t%d\t%.2f\t%d\t%s\n", c.Upstream, c.DataCentre, c.Role, c.CostMs,
			c.PredictedMs, c.Cached, c.Requests, c.Slots, c.Queued, c.Pace, c.TrialLimit, c.Excluded)
	}
	return eris.Wrap(table.Flush(), "explain: print")
}
