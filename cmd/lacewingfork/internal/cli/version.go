package cli

import "runtime/debug"

// versionOutput is the JSON output of version.
type versionOutput struct {
	Version  string `json:"version"`
	Revision string `json:"revision"`
	Go       string `json:"go"`
}

// buildVersion returns the version that the binary was built from.
func buildVersion() versionOutput {
	output := versionOutput{Version: "unknown", Revision: "unknown", Go: "unknown"}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return output
	}
	output.Version, output.Go = info.Main.Version, info.GoVersion
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			output.Revision = setting.Value
		}
	}
	return output
}
