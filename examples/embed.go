// Package sequoiaexamples embeds the example settings, configurations and questionnaire answers of both deployments.
package sequoiaexamples

import "embed"

// Files has the example files in one directory per deployment.
//
//go:embed howrah pinehollow
var Files embed.FS
