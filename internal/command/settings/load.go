package settings

import (
	"errors"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strings"
)

// Problem describes an invalid setting.
type Problem struct {
	// Setting is the name of the flag, or of an unknown environment variable.
	Setting string
	// Source says where the value came from: "flag", "default" or the name of an
	// environment variable. It is "environment" for an unknown variable, and "with
	// other settings" for a conflict between settings.
	Source string
	Err    error
}

// Error lists every invalid setting.
type Error struct {
	Problems []Problem
}

// Error implements error. It returns a heading and one line per problem.
func (e *Error) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d bad settings, nothing was started:", len(e.Problems))
	for _, p := range e.Problems {
		fmt.Fprintf(&b, "\n  -%s (%s): %v", p.Setting, p.Source, p.Err)
	}
	return b.String()
}

// Loader reads the settings from a flag set and the environment, after the
// flags are parsed.
type Loader struct {
	flags  *flag.FlagSet
	values map[string]*string
}

// Register adds a flag for every setting.
func Register(flags *flag.FlagSet) *Loader {
	l := &Loader{flags: flags, values: map[string]*string{}}
	for _, row := range Table() {
		usage := fmt.Sprintf("%s (`%s`, env %s)", row.Help, row.Unit, row.Env())
		l.values[row.Name] = flags.String(row.Name, row.Default, usage)
	}
	return l
}

// Load returns the settings from the parsed flags and from environ, which has
// the form of os.Environ. If settings are invalid, it returns an *Error that
// lists all of them.
func (l *Loader) Load(environ []string) (*Settings, error) {
	env := parseEnviron(environ)
	given := map[string]bool{}
	l.flags.Visit(func(f *flag.Flag) { given[f.Name] = true })
	s := &Settings{}
	var invalid Error
	for _, row := range Table() {
		value, source := *l.values[row.Name], "default"
		if fromEnv, set := env[row.Env()]; set {
			value, source = fromEnv, row.Env()
		}
		if given[row.Name] {
			value, source = *l.values[row.Name], "flag"
		}
		delete(env, row.Env())
		if err := row.set(s, value); err != nil {
			invalid.Problems = append(invalid.Problems, Problem{row.Name, source, fmt.Errorf("%q: %w", value, err)})
		}
	}
	invalid.Problems = append(invalid.Problems, unknownVariables(env)...)
	if len(invalid.Problems) == 0 {
		s.setAdvertiseDefaults()
		invalid.Problems = s.crossCheck()
	}
	if len(invalid.Problems) > 0 {
		return nil, &invalid
	}
	return s, nil
}

// otherVariables are the environment variables with EnvPrefix that are not
// settings of the daemon; other parts of the program read them.
var otherVariables = []string{EnvPrefix + "SEED", EnvOperator, EnvToken}

// Environment variables of the operator commands.
const (
	// EnvOperator holds the operator addresses of one or more nodes, each in the
	// form host:port, separated by commas.
	EnvOperator = EnvPrefix + "OPERATOR"
	// EnvToken holds the path of the operators' token file.
	EnvToken = EnvPrefix + "TOKEN_FILE"
)

func parseEnviron(environ []string) map[string]string {
	env := map[string]string{}
	for _, pair := range environ {
		name, value, _ := strings.Cut(pair, "=")
		if strings.HasPrefix(name, EnvPrefix) && !slices.Contains(otherVariables, name) {
			env[name] = value
		}
	}
	return env
}

func unknownVariables(env map[string]string) []Problem {
	var problems []Problem
	for name := range env {
		problems = append(problems, Problem{name, "environment", errors.New("no setting uses this variable")})
	}
	slices.SortFunc(problems, func(a, b Problem) int { return strings.Compare(a.Setting, b.Setting) })
	return problems
}

// setAdvertiseDefaults sets each empty advertise address to the listen address.
func (s *Settings) setAdvertiseDefaults() {
	s.CallerAdvertise = firstNonEmpty(s.CallerAdvertise, s.CallerListen)
	s.InternalAdvertise = firstNonEmpty(s.InternalAdvertise, s.InternalListen)
	s.OperatorAdvertise = firstNonEmpty(s.OperatorAdvertise, s.OperatorListen)
}

func firstNonEmpty(a, b string) string {
	if a != "" {
		return a
	}
	return b
}

// crossCheck validates the settings against each other.
func (s *Settings) crossCheck() []Problem {
	var problems []Problem
	add := func(setting, format string, args ...any) {
		problems = append(problems, Problem{setting, "with other settings", fmt.Errorf(format, args...)})
	}
	advertised := map[string]string{
		"caller-advertise":   s.CallerAdvertise,
		"internal-advertise": s.InternalAdvertise,
		"operator-advertise": s.OperatorAdvertise,
	}
	for _, name := range []string{"caller-advertise", "internal-advertise", "operator-advertise"} {
		if netip.MustParseAddrPort(advertised[name]).Addr().IsUnspecified() {
			add(name, "must be set, since the listen address %s is not one that others can connect to", advertised[name])
		}
	}
	own := slices.IndexFunc(s.Replicas, func(r Replica) bool { return r.ID == s.Node })
	switch {
	case own < 0 && s.DataDir != "":
		add("data-dir", "set, but %q is not among the replicas; add it or leave data-dir empty", s.Node)
	case own >= 0 && s.DataDir == "":
		add("data-dir", "must be set, since %q is a replica", s.Node)
	case own >= 0 && s.Replicas[own].Address != s.InternalAdvertise:
		add("replicas", "%q has the address %s in this list, but internal-advertise is %s", s.Node, s.Replicas[own].Address, s.InternalAdvertise)
	}
	if s.Limits.MaxWaitingBytes < s.Limits.MaxBodyBytes {
		add("max-waiting", "must be at least max-body: %d is less than %d bytes", s.Limits.MaxWaitingBytes, s.Limits.MaxBodyBytes)
	}
	return problems
}

// ReadToken returns the bearer token in the file at path, without surrounding
// white space. It returns an error if the token is shorter than MinTokenLength.
func ReadToken(path string) (string, error) {
	if path == "" {
		return "", errors.New("want the path of a file that holds the token")
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	token := strings.TrimSpace(string(content))
	if len(token) < MinTokenLength {
		return "", fmt.Errorf("the token has %d characters, want %d or more", len(token), MinTokenLength)
	}
	return token, nil
}

// MinTokenLength is the minimum length of an operators' token, in bytes.
const MinTokenLength = 16
