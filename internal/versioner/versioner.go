// Package versioner reports the version of egretflow that a program was built
// from.
//
// # Usage
//
//	kong.Parse(&cli, kong.Vars{"version": versioner.Version()})
package versioner

import "runtime/debug"

// unknown is the version of a build without module information.
const unknown = "unknown"

// Version returns the version of the main module: a release, a pseudo-version with
// the revision of the working tree, or "unknown".
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return unknown
	}
	return info.Main.Version
}
