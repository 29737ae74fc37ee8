// Package versioner tells which version of egretflow a program was built from.
//
// # Usage
//
//	kong.Parse(&cli, kong.Vars{"version": versioner.Version()})
package versioner

import "runtime/debug"

// unknown stands for a build without module information.
const unknown = "unknown"

// Version returns the version of the main module, with the revision of the
// working tree for a build that is not a release.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return unknown
	}
	return info.Main.Version
}
