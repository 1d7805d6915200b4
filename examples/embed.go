// Package sequoiaexamples holds the example settings, configurations and answers of both deployments.
package sequoiaexamples

import "embed"

// Files are the example files, by deployment.
//
//go:embed howrah pinehollow
var Files embed.FS
