package config

import (
	"strings"
	"testing"
	"testing/fstest"
	"time"

	"github.com/shoenig/test/must"
)

var testNow = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

const validFile = `tiers:
  urgent: {rank: 2, deadline: 2s}
  patient: {rank: 1, deadline: 1m, reserve: 0.1}
teams:
  north: {shares: 3}
pools:
  chat: {kind: engine, model: m, version: 1.10}
  entries: {kind: service, version: s1}
upstreams:
  e1: {pool: chat, version: 1.10, address: "127.0.0.1:7001", max_concurrent: 4, fencing: checked}
  e2: {pool: chat, version: v2, address: "[::1]:7002", max_concurrent: 4}
  s1: {pool: entries, version: s1, address: "127.0.0.1:7003", max_concurrent: 4}
routes:
  chat: {path: /v1/chat/completions, pool: chat, tier: patient, idempotent: true}
  submit: {path: /entries, pool: entries, tier: urgent, status_path: /entries/status}
moves:
  m1: {pool: chat, from: 1.10, to: v2, deadline: 2031-01-01T00:00:00Z, canary_share: 0.05, watch: 10m}
`

func loadOne(text string) (Config, Report) {
	return Load([]File{{Name: "a.yaml", Data: []byte(text)}}, testNow)
}

func formatMistakes(mistakes []Mistake) string {
	var b strings.Builder
	for _, m := range mistakes {
		b.WriteString(m.String() + "\n")
	}
	return b.String()
}

func TestLoad_ValidFile(t *testing.T) {
	c, report := loadOne(validFile)
	must.Eq(t, "", formatMistakes(report.Mistakes))
	must.Eq(t, "", formatMistakes(report.Warnings))
	must.Eq(t, 11, c.Size())
	must.Eq(t, "1.10", c.Pools["chat"].Version)
	must.Eq(t, 10*time.Minute, c.Moves["m1"].Watch)
}

// TestLoad_LaterFileReplacesWholeObject checks that an object in a later file
// replaces all fields of the earlier one. The order of files is that of their
// names, not that of the arguments.
func TestLoad_LaterFileReplacesWholeObject(t *testing.T) {
	files := []File{
		{Name: "20.yaml", Data: []byte("tiers: {patient: {rank: 1, deadline: 3m}}")},
		{Name: "10.yaml", Data: []byte(validFile)},
	}
	c, report := Load(files, testNow)
	must.SliceEmpty(t, report.Mistakes)
	must.Eq(t, Tier{Rank: 1, Deadline: 3 * time.Minute}, c.Tiers["patient"])
}

// TestLoad_ReportsMistakeAtItsLine introduces one error at a time into a valid file
// and expects it to be reported with its line. The valid file has 17 lines.
func TestLoad_ReportsMistakeAtItsLine(t *testing.T) {
	cases := []struct{ old, bad, want string }{
		{"tiers:\n", "tears:\n", `a.yaml:1: unknown section "tears"`},
		{"rank: 2, ", "rank: 2, color: x, ", `a.yaml:2: tiers "urgent" has no field "color"`},
		{"rank: 2, ", "rank: 2, rank: 3, ", `a.yaml:2: duplicate key "rank" in tiers "urgent", first defined on line 2`},
		{"rank: 2", "rank: 1", "a.yaml:2: tiers urgent: rank: 1 is already the rank of tier patient"},
		{"deadline: 2s", "deadline: 2", `a.yaml:2: tiers "urgent": deadline: "2" is not a duration with a unit`},
		{"deadline: 2s", "deadline: 2 parsecs", `"2 parsecs" is not a duration`},
		{"deadline: 2s", "deadline: -2s", "a.yaml:2: tiers urgent: deadline: must be greater than 0, got -2s"},
		{"reserve: 0.1", "reserve: 0.6", "a.yaml:3: tiers patient: reserve: 0.6 is not between 0 and 0.5"},
		{"reserve: 0.1", "reserve: .nan", `reserve: ".nan" is not a finite number`},
		{"shares: 3", "shares: 0", "a.yaml:5: teams north: shares: 0 is below 1"},
		{"shares: 3", "shares: many", `"many" is not an integer`},
		{"north:", "no/../rth!:", "is not a valid name"},
		{"kind: engine", "kind: motor", `a.yaml:7: pools chat: kind: "motor" is neither`},
		{"model: m, ", "", "a.yaml:7: pools chat: model: is required for a pool of kind engine"},
		{"version: 1.10}", "version: v9}", `a.yaml:7: pools chat: version: no upstream of the pool has version "v9"`},
		{"e1: {pool: chat", "e1: {pool: chad", `a.yaml:10: upstreams e1: pool: there is no pool "chad"`},
		{`"127.0.0.1:7001"`, `"engine1:7001"`, `a.yaml:10: upstreams e1: address: "engine1:7001" is not an IP address with a port`},
		{`"127.0.0.1:7001"`, `"127.0.0.1:7003"`, "a.yaml:12: upstreams s1: address: upstream e1 already has 127.0.0.1:7003"},
		{"fencing: checked", "fencing: maybe", `fencing: "maybe" is neither checked nor ignored`},
		{"max_concurrent: 4, fencing", "max_concurrent: 0, fencing", "a.yaml:10: upstreams e1: max_concurrent: 0 is below 1"},
		{"tier: patient", "tier: patent", `a.yaml:14: routes chat: tier: there is no tier "patent"`},
		{"path: /entries,", "path: /v1/chat/completions,", "routes may share a path only if the pools of both are of kind engine"},
		{"path: /entries,", "path: /v1/addresses,", "/v1/addresses is reserved"},
		{"path: /entries,", "path: entries,", `path: "entries" is not a valid path`},
		{"to: v2", "to: v3", `a.yaml:17: moves m1: to: no upstream of pool chat has version "v3"`},
		{"to: v2", "to: 1.10", `to: "1.10" is also the version to move from`},
		{"canary_share: 0.05", "canary_share: 0.2", "canary_share: 0.2 is not between 0 and 0.05"},
		{"deadline: 2031-01-01T00:00:00Z, ", "", "moves m1: deadline: is missing"},
		{"2031-01-01T00:00:00Z", "2031-01-01", "is not a time with a time zone"},
		{"idempotent: true", "idempotent: yes", `"yes" is neither true nor false`},
		{"moves:\n", "moves:\n  m0: {pool: chat, from: 1.10, to: v2, deadline: 2031-01-01T00:00:00Z}\n", "moves m1: pool: move m0 already moves pool chat"},
		{"moves:\n", "teams: {}\nmoves:\n", `a.yaml:16: duplicate key "teams" in file, first defined on line 4`},
		{"moves:\n", "---\nmoves:\n", "a file must contain a single YAML document"},
		{"tiers:\n", "tiers: [\n", "a.yaml:"},
		{"north: {shares: 3}", "north: &x {shares: 3}\n  south: *x", "must be a mapping"},
	}
	for _, c := range cases {
		must.StrContains(t, validFile, c.old)
		_, report := loadOne(strings.Replace(validFile, c.old, c.bad, 1))
		must.StrContains(t, formatMistakes(report.Mistakes), c.want)
	}
}

// TestLoad_ReportsAllMistakesOfAllFiles checks that the loader doesn't stop at the
// first error.
func TestLoad_ReportsAllMistakesOfAllFiles(t *testing.T) {
	_, report := Load([]File{
		{Name: "b.yaml", Data: []byte("teams:\n  south: {shares: 0}\n  west: {share: 1}\n")},
		{Name: "a.yaml", Data: []byte(validFile + "  m2: {pool: gone, from: a, to: b, deadline: 2020-01-01T00:00:00Z}\n")},
		{Name: "c.yaml", Data: []byte("pools: 7\n")},
	}, testNow)
	must.Eq(t, `a.yaml:18: moves m2: pool: there is no pool "gone"
b.yaml:2: teams south: shares: 0 is below 1
b.yaml:3: teams "west" has no field "share"
b.yaml:3: teams west: shares: 0 is below 1
c.yaml:1: pools must be a mapping
`, formatMistakes(report.Mistakes))
	must.Eq(t, "a.yaml:18: moves m2: deadline: 2020-01-01T00:00:00Z has passed\n", formatMistakes(report.Warnings))
}

func TestReadFolder(t *testing.T) {
	folder := fstest.MapFS{"a.yaml": {Data: []byte("x")}, "README": {}, "sub/b.yaml": {}, ".c.yaml": {}}
	files, err := ReadFolder(folder)
	must.NoError(t, err)
	must.Eq(t, []File{{Name: "a.yaml", Data: []byte("x")}}, files)
	folder["d.yml"] = &fstest.MapFile{}
	_, err = ReadFolder(folder)
	must.ErrorContains(t, err, "d.yml: rename it")
}

// FuzzLoad checks that no input makes the loader panic, that the result doesn't
// depend on the order of the arguments, and that a valid configuration is unchanged
// by encoding and decoding.
func FuzzLoad(f *testing.F) {
	f.Add([]byte(validFile), []byte("tiers: {patient: {rank: 1, deadline: 3m}}"))
	f.Add([]byte("teams: &a {x: *a}"), []byte("{"))
	f.Add([]byte("? [a]\n: b"), []byte("<<: {teams: {}}"))
	f.Add([]byte("---\n...\n---\n"), []byte("moves: {m: {deadline: 0000-00-00}}"))
	f.Add([]byte("!!binary x: 1"), []byte("tiers: {t: {rank: 0x1F, deadline: 1e9}}"))
	f.Fuzz(func(t *testing.T, a, b []byte) {
		files := []File{{Name: "a.yaml", Data: a}, {Name: "b.yaml", Data: b}}
		c, report := Load(files, testNow)
		c2, report2 := Load([]File{files[1], files[0]}, testNow)
		must.Eq(t, report, report2)
		must.Eq(t, c.Digest(), c2.Digest())
		if len(report.Mistakes) > 0 {
			return
		}
		decoded, err := Decode(c.Encode())
		must.NoError(t, err)
		must.Eq(t, c, decoded)
	})
}
