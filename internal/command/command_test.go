package command

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/command/settings"
	"github.com/flamingohaven/flamingohaven/internal/protocol/opsapi"
)

const testToken = "0123456789abcdef"

// result holds the exit code and the output streams of a command.
type result struct {
	exit     int
	out, err string
}

func execute(t *testing.T, environ []string, args ...string) result {
	t.Helper()
	var out, err bytes.Buffer
	u := &ui{out: &out, err: &err, environ: environ}
	exit := u.run(t.Context(), args)
	return result{exit, out.String(), err.String()}
}

// operatorEnv starts a server that returns canned replies, keyed by method and
// path, and returns the environment variables that point the commands at it.
func operatorEnv(t *testing.T, replies map[string]any) []string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		reply := replies[r.Method+" "+r.URL.Path]
		if failed, ok := reply.(*opsapi.Error); ok {
			w.WriteHeader(failed.Code.Status())
		}
		_ = json.NewEncoder(w).Encode(reply)
	}))
	t.Cleanup(server.Close)
	token := filepath.Join(t.TempDir(), "token")
	must.NoError(t, os.WriteFile(token, []byte(testToken), 0o600))
	return []string{settings.EnvOperator + "=" + strings.TrimPrefix(server.URL, "http://"), settings.EnvToken + "=" + token}
}

func writeFile(t *testing.T, name, content string) string {
	t.Helper()
	folder := t.TempDir()
	must.NoError(t, os.WriteFile(filepath.Join(folder, name), []byte(content), 0o600))
	return folder
}

func TestCommands_HelpHasAnExample(t *testing.T) {
	for _, line := range []string{
		"serve", "status", "addresses", "timeline", "drain", "evacuate", "demo", "load", "fakes", "version",
		"config check", "config apply", "config show", "config history", "moves list", "moves wait",
	} {
		words := strings.Fields(line)
		help := append(append(words[:len(words)-1:len(words)-1], "help"), words[len(words)-1])
		if len(words) == 2 {
			help = []string{words[0], "help", words[1]}
		}
		r := execute(t, nil, help...)
		must.StrContains(t, r.out+r.err, "Example", must.Sprint(line))
		must.StrContains(t, r.out+r.err, "flamingohaven "+line, must.Sprint(line))
	}
}

func TestConfigCheck_ExitCodes(t *testing.T) {
	good := writeFile(t, "a.yaml", "teams:\n  t1: {shares: 1}\n")
	r := execute(t, nil, "config", "check", good)
	must.Eq(t, int(ExitOK), r.exit, must.Sprint(r))
	bad := writeFile(t, "a.yaml", "teams:\n  t1: {shares: 1, shars: 2}\n")
	r = execute(t, nil, "config", "check", bad, "-o", "json")
	must.Eq(t, int(ExitMistakes), r.exit)
	var checked checkResult
	must.NoError(t, json.Unmarshal([]byte(r.out), &checked))
	must.Eq(t, "a.yaml", checked.Mistakes[0].File)
	must.Eq(t, 2, checked.Mistakes[0].Line)
	must.Eq(t, int(ExitUsage), execute(t, nil, "config", "check", "/nowhere").exit)
}

func TestConfigApply_ExitCodes(t *testing.T) {
	folder := writeFile(t, "a.yaml", "teams:\n  t1: {shares: 1}\n")
	for name, c := range map[string]struct {
		reply  any
		exit   int
		output string
	}{
		"accepted":  {&opsapi.ApplyReply{Verdict: "accepted", Revision: 2, InForce: true}, 0, "in force at every node"},
		"late":      {&opsapi.ApplyReply{Verdict: "accepted", Revision: 2}, int(ExitTimeout), "accepted and stays"},
		"conflict":  {&opsapi.ApplyReply{Verdict: "conflict", Revision: 5, Who: "w"}, int(ExitConflict), "-base 5"},
		"uncertain": {&opsapi.Error{Code: opsapi.CodeUncertain, Message: "m"}, int(ExitUncertain), "-operation"},
		"token":     {&opsapi.Error{Code: opsapi.CodeUnauthorized, Message: "m"}, int(ExitUnauthorized), "-token-file"},
	} {
		env := operatorEnv(t, map[string]any{"POST " + opsapi.PathConfig: c.reply})
		r := execute(t, env, "config", "apply", folder, "-base", "1")
		must.Eq(t, c.exit, r.exit, must.Sprint(name, r))
		must.StrContains(t, r.out+r.err, c.output)
	}
	r := execute(t, nil, "config", "apply", folder)
	must.Eq(t, int(ExitUsage), r.exit)
	must.StrContains(t, r.err, "-base is missing")
}

func TestMovesWait_ExitCodes(t *testing.T) {
	for state, exit := range map[string]int{"done": 0, "taken_back": int(ExitTakenBack), "canary": int(ExitTimeout)} {
		reply := map[string]any{"moves": []any{map[string]any{"name": "m", "state": state}}}
		env := operatorEnv(t, map[string]any{"GET " + opsapi.PathMoves: reply})
		r := execute(t, env, "moves", "wait", "m", "-timeout", "50ms")
		must.Eq(t, exit, r.exit, must.Sprint(state, r))
		must.Eq(t, int(ExitFailed), execute(t, env, "moves", "wait", "other").exit)
	}
}

// TestMovesWait_RefusedToken checks that a wait ends at once if the call can't succeed later:
// its token is refused, or the call is not known.
func TestMovesWait_RefusedToken(t *testing.T) {
	for code, exit := range map[opsapi.Code]int{opsapi.CodeUnauthorized: int(ExitUnauthorized), opsapi.CodeNotFound: int(ExitFailed)} {
		env := operatorEnv(t, map[string]any{"GET " + opsapi.PathMoves: &opsapi.Error{Code: code, Message: "refused"}})
		r := execute(t, env, "moves", "wait", "m", "-timeout", "2s")
		must.Eq(t, exit, r.exit, must.Sprint(code, r))
		must.StrContains(t, r.err, "refused")
	}
}

func TestStatus_UnreachableSystem(t *testing.T) {
	env := operatorEnv(t, nil)
	r := execute(t, env, "status", "-operator", "127.0.0.1:1")
	must.Eq(t, int(ExitFailed), r.exit)
	must.StrContains(t, r.err, "next: nothing was changed")
}

func TestServe_BadSettings(t *testing.T) {
	r := execute(t, []string{"FLAMINGOHAVEN_MAX_BODY=much"}, "serve", "-zone", "z1")
	must.Eq(t, int(ExitUsage), r.exit)
	for _, name := range []string{"-node", "-replicas", "-max-body (FLAMINGOHAVEN_MAX_BODY)", "nothing was started"} {
		must.StrContains(t, r.err, name)
	}
}

func TestOutput_JSON(t *testing.T) {
	env := operatorEnv(t, map[string]any{
		"GET " + opsapi.PathStatus:   &opsapi.StatusReply{Leader: "n1"},
		"GET " + opsapi.PathTimeline: &opsapi.TimelineReply{},
		"GET " + opsapi.PathHistory:  &opsapi.HistoryReply{},
		"GET " + opsapi.PathConfig:   &opsapi.ConfigReply{},
		"GET /v1/addresses":          map[string]any{"ttl_seconds": 5},
		"POST " + opsapi.PathDrain:   &opsapi.DrainReply{Node: "n1"},

		"POST " + opsapi.PathEvacuate: &opsapi.EvacuateReply{Zone: "z1"},
	})
	for _, line := range []string{"status", "timeline", "config history", "config show", "addresses", "drain n1", "evacuate z1", "version"} {
		r := execute(t, env, append(strings.Fields(line), "-o", "json")...)
		must.Eq(t, 0, r.exit, must.Sprint(line, r))
		must.True(t, json.Valid([]byte(r.out)), must.Sprint(line, r.out))
		must.Eq(t, 0, execute(t, env, strings.Fields(line)...).exit)
	}
}
