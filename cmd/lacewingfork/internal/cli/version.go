package cli

import "runtime/debug"

// buildAnswer is the JSON output of version.
type buildAnswer struct {
	Version  string `json:"version"`
	Revision string `json:"revision"`
	Go       string `json:"go"`
}

// buildVersion returns the version that the binary was built from.
func buildVersion() buildAnswer {
	answer := buildAnswer{Version: "unknown", Revision: "unknown", Go: "unknown"}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return answer
	}
	answer.Version, answer.Go = info.Main.Version, info.GoVersion
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			answer.Revision = setting.Value
		}
	}
	return answer
}
