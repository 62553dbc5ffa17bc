package main

import (
	"io"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"agateswitch/settings"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"
)

const gatewaySettings = `{
  "host": {"id": "front-1", "datacentre": "arima", "region": "tt-north"},
  "listen": {"callers": "10.0.0.1:1", "readiness": "10.0.0.1:2", "directory": "10.0.0.1:3", "peers": "10.0.0.1:4", "metrics": "10.0.0.1:5"},
  "store": "10.0.0.2:1",
  "peer_key": "a key of at least thirty-two characters",
  "grace": "8s",
  "max_directory_ttl": "5s",
  "retries": {"ratio": RATIO, "extra": 56, "window": "10s"},
}`

// A changed settings file is applied if it is valid. An invalid one leaves the settings in force.
func TestReloadAppliesOnlyValidSettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.jsonc")
	write := func(ratio string) {
		must.NoError(t, os.WriteFile(path, []byte(strings.ReplaceAll(gatewaySettings, "RATIO", ratio)), 0o600))
	}
	var applied []float64
	logger := log.New(io.Discard)
	r := reloader{path: path, log: logger, apply: func(s settings.Gateway) { applied = append(applied, s.Retries.Ratio) }}
	r.reload()
	write("0.2")
	r.reload()
	r.reload()
	write("7")
	r.reload()
	write("0.3")
	r.reload()
	must.Eq(t, []float64{0.2, 0.3}, applied)
}

// SIGHUP reloads the settings instead of ending the process.
func TestHangupReloads(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.jsonc")
	must.NoError(t, os.WriteFile(path, []byte(strings.ReplaceAll(gatewaySettings, "RATIO", "0.2")), 0o600))
	applied := make(chan struct{}, 1)
	r := reloader{path: path, log: log.New(io.Discard), apply: func(settings.Gateway) { applied <- struct{}{} }}
	r.start(t.Context(), catchHangups())
	process, err := os.FindProcess(os.Getpid())
	must.NoError(t, err)
	must.NoError(t, process.Signal(hangup))
	select {
	case <-applied:
	case <-time.After(time.Minute):
		t.Fatal("the signal did not reload the settings")
	}
}

// The check command prints every problem of a gateway's settings with its line.
func TestCheckGatewaySettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.jsonc")
	must.NoError(t, os.WriteFile(path, []byte(strings.ReplaceAll(gatewaySettings, "RATIO", "0.2")), 0o600))
	var stdout, stderr strings.Builder
	must.Eq(t, 0, run([]string{"check", "--gateway", path}, &stdout, &stderr))
	wrong := strings.ReplaceAll(strings.ReplaceAll(gatewaySettings, "RATIO", "7"), `"10.0.0.2:1"`, `"store.example"`)
	wrong = strings.Replace(wrong, `"max_directory_ttl"`, `"change_deadline": "1s", "advertise": {"peers": "front.example"}, "max_directory_ttl"`, 1)
	must.NoError(t, os.WriteFile(path, []byte(wrong), 0o600))
	must.Eq(t, exitFailure, run([]string{"check", "--gateway", path}, &stdout, &stderr))
	must.StrContains(t, stderr.String(), path+`:4: store: "store.example" is not ip:port`)
	must.StrContains(t, stderr.String(), `advertise.peers: "front.example" is not ip:port`)
	must.StrContains(t, stderr.String(), "change_deadline: must be 2s or more")
	must.StrContains(t, stderr.String(), path+":8: retries.ratio: must be 0 to 1")
}

// fillTemplate fills in the settings template as the platform does, where it has an API for singleton duties or has none.
func fillTemplate(t *testing.T, hasDuties bool) string {
	t.Helper()
	template, err := os.ReadFile("../../deploy/settings.jsonc")
	must.NoError(t, err)
	sections := regexp.MustCompile(`(?s)\{\{#cloud\.address\}\}\n(.*)\{\{/cloud\.address\}\}\n`)
	text := sections.ReplaceAllString(string(template), "")
	if hasDuties {
		text = sections.ReplaceAllString(string(template), "$1")
	}
	text = regexp.MustCompile(`\{\{[#/]bounds.report_window_s\}\}`).ReplaceAllString(text, "")
	return strings.NewReplacer(
		"{{node_name|json}}", `"front-1"`, "{{zone|json}}", `"arima"`, "{{region|json}}", `"tt-north"`,
		"{{listen.front|json}}", `"10.0.0.1:1"`, "{{listen.ready|json}}", `"10.0.0.1:2"`,
		"{{listen.directory|json}}", `"10.0.0.1:3"`, "{{ip}}", "10.0.0.1", "{{internal_ports.0}}", "7340",
		"{{internal_ports.1}}", "7341", "{{platform.address|json}}", `"10.200.1.7:8223"`, "{{bootstrap|json}}", "true",
		"{{bounds.grace_s}}", "8", "{{bounds.drain_ms}}", "3000", "{{bounds.ttl_max_s}}", "5", "{{bounds.retry_budget_ratio|json}}", "0.2",
		"{{bounds.budget_slack|json}}", "56", "{{bounds.budget_window_s}}", "10", "{{bounds.exposure_share|json}}", "0.1",
		"{{bounds.exposure_slack|json}}", "50", "{{limits.cpu_share|json}}", "0.192", "{{limits.link_mbps|json}}", "10.0",
		"{{limits.memory_mb|json}}", "184", "{{limits.max_fds|json}}", "4100",
		"{{cloud.address|json}}", `"10.200.0.113:8424"`, "{{cloud.duties|json}}", `["usage_report", "autoscale"]`, "{{cloud.duty_per_s|json}}", "50.0",
		"{{bounds.lease_ms}}", "3000", "{{bounds.thaw_ms}}", "300", "{{bounds.report_window_s}}", "5", "{{bounds.usage_late_s}}", "10",
	).Replace(text)
}

// The settings template is valid once the platform has filled in its fields.
func TestDeployedTemplateIsValid(t *testing.T) {
	for _, hasDuties := range []bool{false, true} {
		parsed, problems := settings.ParseGateway("settings.jsonc", []byte(fillTemplate(t, hasDuties)))
		must.Len(t, 0, problems)
		must.Eq(t, "10.0.0.1:7340", parsed.Listen.Peers)
		must.Eq(t, settings.DefaultExposure, parsed.Exposure)
		must.Eq(t, settings.DefaultLoadBound, parsed.LoadBound)
		must.Eq(t, settings.Duration(3*time.Second), parsed.ChangeDeadline)
		must.Eq(t, settings.Capacity{Cores: 0.192, LinkMbps: 10, MemoryMB: 184, Descriptors: 4100}, parsed.Capacity)
		wanted := settings.Duties{}
		if hasDuties {
			wanted = settings.Duties{
				Address: "10.200.0.113:8424", Calls: []string{"usage_report", "autoscale"}, CallsPerSecond: 50,
				Lease: settings.Duration(3 * time.Second), Thaw: settings.Duration(300 * time.Millisecond),
				Usage: settings.UsageReport{Window: settings.Duration(5 * time.Second), Late: settings.Duration(10 * time.Second)},
			}
		}
		must.Eq(t, wanted, parsed.Duties)
	}
}

// fieldsOfEarlierVersion are the fields of a gateway's settings that builds know that do not start with others. The last landing ignores
// others (TestGatewayIgnoresFieldsOfALaterVersion), so that the template may have optionalFields where a deployment calls for them.
var (
	fieldsOfEarlierVersion = []string{
		"host", "capacity", "listen", "advertise", "store", "peer_key", "first_start", "grace", "directory_ttl", "max_directory_ttl", "retries",
		"change_deadline", "exposure", "log",
	}
	optionalFields = []string{"duties"}
)

// During an update routers of an earlier version may read the settings of this one. In the deployments of earlier versions they find
// nothing new.
func TestTemplateHasOnlyFieldsThatAnEarlierVersionKnows(t *testing.T) {
	fields := regexp.MustCompile(`(?m)^  "([a-z_]+)":`)
	for _, field := range fields.FindAllStringSubmatch(fillTemplate(t, false), -1) {
		must.SliceContains(t, fieldsOfEarlierVersion, field[1])
	}
	for _, field := range fields.FindAllStringSubmatch(fillTemplate(t, true), -1) {
		must.SliceContains(t, append(optionalFields, fieldsOfEarlierVersion...), field[1])
	}
}

// A gateway starts and reloads with fields of a later version, and says so. The check names them as problems.
func TestGatewayIgnoresFieldsOfALaterVersion(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.jsonc")
	write := func(ratio, later string) {
		content := strings.Replace(strings.ReplaceAll(gatewaySettings, "RATIO", ratio), "{", "{"+later, 1)
		must.NoError(t, os.WriteFile(path, []byte(content), 0o600))
	}
	write("0.2", `"later": {"x": 1},`)
	var stderr strings.Builder
	loaded, err := loadGatewaySettings(&stderr, path, true)
	must.NoError(t, err)
	must.Eq(t, 0.2, loaded.Retries.Ratio)
	must.StrContains(t, stderr.String(), "later: is not a known field")
	var applied []float64
	r := reloader{path: path, log: log.New(io.Discard), apply: func(s settings.Gateway) { applied = append(applied, s.Retries.Ratio) }}
	r.reload()
	must.Eq(t, []float64{0.2}, applied)
	code, _, checked := runCommand("check", "--gateway", path)
	must.Eq(t, exitFailure, code)
	must.StrContains(t, checked, "later: is not a known field")
	write("7", `"later": {"x": 1},`)
	_, err = loadGatewaySettings(&stderr, path, true)
	must.Error(t, err)
}

// The factor of the load bound may come from the environment, since earlier versions don't start with the field. The file goes first.
func TestLoadBoundFactorComesFromTheEnvironment(t *testing.T) {
	content := strings.ReplaceAll(gatewaySettings, "RATIO", "0.2")
	factor := func(variable, content string) (float64, []settings.Problem) {
		t.Setenv(settings.LoadBoundFactorVariable, variable)
		parsed, problems := settings.ParseGateway("settings.jsonc", []byte(content))
		return parsed.LoadBound.Factor, problems
	}
	for variable, want := range map[string]float64{"": settings.DefaultLoadBound.Factor, "3": 3, "1.5": 1.5} {
		got, problems := factor(variable, content)
		must.SliceEmpty(t, problems)
		must.Eq(t, want, got)
	}
	got, problems := factor("3", strings.Replace(content, "{", `{"load_bound": {"factor": 1.25},`, 1))
	must.SliceEmpty(t, problems)
	must.Eq(t, 1.25, got)
	for _, variable := range []string{"two", "NaN", "1e999", "0.5"} {
		_, problems := factor(variable, content)
		must.Len(t, 1, problems, must.Sprint(variable))
		must.Eq(t, "load_bound.factor", problems[0].Field)
	}
}

// The deploy file passes the platform's bound on.
func TestDeployedLoadBoundIsThePlatforms(t *testing.T) {
	deployed, err := os.ReadFile(filepath.Join("..", "..", "deploy", "system.toml"))
	must.NoError(t, err)
	must.StrContains(t, string(deployed), settings.LoadBoundFactorVariable+` = "{{bounds.cap_factor}}"`)
}
