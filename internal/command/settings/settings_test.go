package settings

import (
	"errors"
	"flag"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func load(t *testing.T, environ []string, args ...string) (*Settings, error) {
	t.Helper()
	flags := flag.NewFlagSet("serve", flag.ContinueOnError)
	l := Register(flags)
	must.NoError(t, flags.Parse(args))
	return l.Load(environ)
}

func validArgs(t *testing.T) []string {
	t.Helper()
	token := filepath.Join(t.TempDir(), "token")
	must.NoError(t, os.WriteFile(token, []byte("0123456789abcdef\n"), 0o600))
	return []string{"-node", "a", "-zone", "z1", "-operator-token-file", token, "-replicas", "b=127.0.0.1:9001"}
}

func TestLoad_FlagBeforeVariableBeforeDefault(t *testing.T) {
	environ := []string{"FLAMINGOHAVEN_ADDRESS_TTL=2s", "FLAMINGOHAVEN_MAX_BODY=1MiB", "HOME=/"}
	s, err := load(t, environ, append(validArgs(t), "-address-ttl", "3s")...)
	must.NoError(t, err)
	must.Eq(t, 3*time.Second, s.AddressTTL)
	must.Eq(t, 1<<20, s.Limits.MaxBodyBytes)
	must.Eq(t, 4096, s.Limits.MaxConnections)
	must.Eq(t, s.CallerListen, s.CallerAdvertise)
	must.False(t, s.IsReplica())
}

func TestLoad_ListsEveryMistake(t *testing.T) {
	environ := []string{"FLAMINGOHAVEN_MAX_BODY=much", "FLAMINGOHAVEN_MAX_BODDY=1"}
	_, err := load(t, environ, append(validArgs(t), "-address-ttl", "-1s", "-caller-listen", "localhost:1")...)
	var invalid *Error
	must.True(t, errors.As(err, &invalid))
	var names []string
	for _, p := range invalid.Problems {
		names = append(names, p.Setting)
	}
	must.Eq(t, []string{"caller-listen", "address-ttl", "max-body", "FLAMINGOHAVEN_MAX_BODDY"}, names)
	must.StrContains(t, err.Error(), "-max-body (FLAMINGOHAVEN_MAX_BODY)")
}

func TestLoad_ChecksSettingsAgainstEachOther(t *testing.T) {
	for name, args := range map[string][]string{
		"data-dir":           {"-data-dir", "/d"},
		"caller-advertise":   {"-caller-listen", "0.0.0.0:8080"},
		"max-waiting":        {"-max-waiting", "1KiB"},
		"replicas":           {"-data-dir", "/d", "-replicas", "a=127.0.0.1:9001"},
		"internal-advertise": {"-internal-listen", "0.0.0.0:8081"},
	} {
		_, err := load(t, nil, append(validArgs(t), args...)...)
		var failed *Error
		must.True(t, errors.As(err, &failed), must.Sprint(name))
		must.Eq(t, name, failed.Problems[0].Setting)
	}
}

func TestTable_HelpAndUnits(t *testing.T) {
	for _, row := range Table() {
		must.NotEq(t, "", row.Help)
		must.NotEq(t, "", row.Unit)
	}
}
