package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"verbenashift/core/configuration/operator"
)

// The exit codes.
const (
	exitOK          = 0
	exitFailure     = 1
	exitUsage       = 2
	exitConflict    = 3
	exitNotFound    = 4
	exitUnavailable = 5
)

// exitCodes is part of the help text.
const exitCodes = `exit codes:
  0  done
  1  failure
  2  wrong usage
  3  conflict: another change came first, or the plan is closed or out of bounds
  4  not found
  5  unavailable, or unknown whether the change took effect`

// The names of the global flags.
const (
	flagServer    = "server"
	flagToken     = "token"
	flagTokenFile = "token-file"
	flagCAFile    = "ca-file"
	flagOutput    = "output"
	flagTimeout   = "timeout"
	flagRequestID = "request-id"
)

const (
	outputTable    = "table"
	outputJSON     = "json"
	defaultServer  = "http://127.0.0.1:8081"
	defaultTimeout = 30 * time.Second
)

// program is one run of ctl.
type program struct {
	in  io.Reader
	out io.Writer
	err io.Writer
	// transport replaces the network in tests.
	transport http.RoundTripper
}

// usageError reports an invalid command line.
type usageError struct {
	Message string
}

// Error returns the message.
func (e *usageError) Error() string { return e.Message }

func usagef(format string, args ...any) error {
	return &usageError{Message: fmt.Sprintf(format, args...)}
}

// run runs the command that args name and returns its exit code.
func (p *program) run(ctx context.Context, args []string) int {
	err := p.command().Run(ctx, args)
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(p.err, "ctl: "+err.Error())
	return exitCode(err)
}

func exitCode(err error) int {
	var usage *usageError
	if errors.As(err, &usage) {
		return exitUsage
	}
	var answer *operator.Error
	if !errors.As(err, &answer) {
		return exitFailure
	}
	switch answer.Kind {
	case operator.KindConflict, operator.KindPlanState, operator.KindBounds:
		return exitConflict
	case operator.KindNotFound:
		return exitNotFound
	case operator.KindUnavailable, operator.KindUnknown, operator.KindRegressed:
		return exitUnavailable
	default:
		return exitFailure
	}
}

func (p *program) command() *cli.Command {
	root := &cli.Command{
		Name: "ctl", Usage: "administer verbenashift", Description: exitCodes,
		EnableShellCompletion: true,
		Flags:                 globalFlags(),
		Reader:                p.in, Writer: p.out, ErrWriter: p.err,
		Commands: []*cli.Command{
			p.intentCommand(), p.planCommand(), p.configCommand(), p.targetCommand(), p.zoneCommand(),
			p.workspaceCommand(), p.groupCommand(), p.statusCommand(), p.explainCommand(), p.sharesCommand(), p.stewardsCommand(), p.doubtsCommand(),
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	wrapUsageErrors(root)
	return root
}

// wrapUsageErrors makes c and its subcommands report invalid flags and commands as
// *usageError.
func wrapUsageErrors(c *cli.Command) {
	c.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return &usageError{Message: err.Error()}
	}
	if len(c.Commands) > 0 {
		c.Action = func(_ context.Context, cmd *cli.Command) error {
			if cmd.Args().Present() {
				return usagef("%s: unknown command %q", cmd.FullName(), cmd.Args().First())
			}
			return cli.ShowSubcommandHelp(cmd)
		}
	}
	for _, sub := range c.Commands {
		wrapUsageErrors(sub)
	}
}

func globalFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{
			Name: flagServer, Value: defaultServer, Usage: "`URL` of an entry's administration listener",
			Sources: cli.EnvVars("VERBENASHIFT_SERVER"),
		},
		&cli.StringFlag{
			Name: flagToken, Usage: "operator's `TOKEN`; the environment or a file hides it from the process list",
			Sources: cli.EnvVars("VERBENASHIFT_TOKEN"), HideDefault: true,
		},
		&cli.StringFlag{Name: flagTokenFile, Usage: "`FILE` that holds the operator's token"},
		&cli.StringFlag{Name: flagCAFile, Usage: "`FILE` with the CA certificates that the server's certificate is checked against; default: the system's"},
		&cli.StringFlag{Name: flagOutput, Value: outputTable, Usage: "json or table"},
		&cli.DurationFlag{Name: flagTimeout, Value: defaultTimeout, Usage: "longest time for the command"},
		&cli.StringFlag{Name: flagRequestID, Usage: "repeat the write with this `ID` after a lost answer"},
	}
}

// session holds what a command needs to run: the client and the output.
type session struct {
	*operator.Client
	cmd  *cli.Command
	out  io.Writer
	json bool
}

// action returns an action that checks the number of arguments, opens a session
// and calls f.
func (p *program) action(minArgs, maxArgs int, f func(context.Context, *session) error) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		if n := cmd.Args().Len(); n < minArgs || n > maxArgs {
			return usagef("%s: %d arguments given, want %s", cmd.FullName(), n, count(minArgs, maxArgs))
		}
		s, err := p.open(cmd)
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(ctx, cmd.Duration(flagTimeout))
		defer cancel()
		return f(ctx, s)
	}
}

// count returns the text for a number of arguments from minArgs to maxArgs.
func count(minArgs, maxArgs int) string {
	if minArgs == maxArgs {
		return fmt.Sprint(minArgs)
	}
	return fmt.Sprintf("%d to %d", minArgs, maxArgs)
}

func (p *program) open(cmd *cli.Command) (*session, error) {
	output := cmd.String(flagOutput)
	if output != outputJSON && output != outputTable {
		return nil, usagef("-output is %q: want json or table", output)
	}
	token, err := readToken(cmd)
	if err != nil {
		return nil, err
	}
	transport, err := p.roundTripper(cmd.String(flagCAFile))
	if err != nil {
		return nil, err
	}
	c := &operator.Client{
		Server: cmd.String(flagServer), Token: token, RequestID: cmd.String(flagRequestID),
		HTTP: &http.Client{Transport: transport},
	}
	return &session{Client: c, cmd: cmd, out: p.out, json: output == outputJSON}, nil
}

// roundTripper returns a transport that trusts the certificates in caFile instead
// of the system's, if caFile is set.
func (p *program) roundTripper(caFile string) (http.RoundTripper, error) {
	if p.transport != nil || caFile == "" {
		return p.transport, nil
	}
	data, err := os.ReadFile(caFile)
	if err != nil {
		return nil, errors.Wrap(err, "read certificates")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, usagef("-%s %s holds no certificate in PEM", flagCAFile, caFile)
	}
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}
	return t, nil
}

func readToken(cmd *cli.Command) (string, error) {
	file := cmd.String(flagTokenFile)
	if file == "" {
		return cmd.String(flagToken), nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return "", errors.Wrap(err, "read token")
	}
	return strings.TrimSpace(string(data)), nil
}

// show prints v as JSON if that is the output format, and calls table otherwise.
func (s *session) show(v any, table func()) error {
	if s.json {
		return s.printJSON(v)
	}
	table()
	return nil
}

func (s *session) printJSON(v any) error {
	e := json.NewEncoder(s.out)
	e.SetIndent("", "  ")
	e.SetEscapeHTML(false)
	if err := e.Encode(v); err != nil {
		return errors.Wrap(err, "print")
	}
	return nil
}

// readFile reads a file, or standard input for "-".
func (p *program) readFile(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(p.in)
	}
	return os.ReadFile(name)
}
