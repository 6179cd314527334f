package command

import (
	"errors"
	"flag"
	"fmt"
	"strings"

	"github.com/flamingohaven/flamingohaven/internal/command/settings"
	"github.com/flamingohaven/flamingohaven/internal/transport/opshttp"
)

// defaultOperator is the operator address of a node with default settings.
const defaultOperator = "127.0.0.1:8082"

// operatorFlags holds the flags that all commands that call the operator API
// share.
type operatorFlags struct {
	addresses string
	tokenFile string
	format    format
}

func (o *operatorFlags) register(u *ui, f *flag.FlagSet) {
	f.StringVar(&o.addresses, "operator", u.env(settings.EnvOperator, defaultOperator),
		"operator addresses of one or more nodes (`IP:port, comma-separated`, env "+settings.EnvOperator+")")
	f.StringVar(&o.tokenFile, "token-file", u.env(settings.EnvToken, ""),
		"file with the operator token (`path`, env "+settings.EnvToken+")")
	registerFormat(f, &o.format)
}

// env returns the value of an environment variable, or fallback if it is not set.
func (u *ui) env(name, fallback string) string {
	for _, pair := range u.environ {
		if value, found := strings.CutPrefix(pair, name+"="); found {
			return value
		}
	}
	return fallback
}

// client returns an operator API client for the nodes of -operator.
func (o *operatorFlags) client() (*opshttp.Client, error) {
	token, err := settings.ReadToken(o.tokenFile)
	if err != nil {
		return nil, fmt.Errorf("-token-file: %w", err)
	}
	var addresses []string
	for part := range strings.SplitSeq(o.addresses, ",") {
		if part = strings.TrimSpace(part); part != "" {
			addresses = append(addresses, part)
		}
	}
	if len(addresses) == 0 {
		return nil, errors.New("-operator: want at least one address")
	}
	return opshttp.NewClient(addresses, token), nil
}
