package sequoialog

import (
	"io"

	clog "github.com/charmbracelet/log"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiacontrol"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiarouter"
)

type Log struct{ l *clog.Logger }

func New(w io.Writer) *Log {
	return &Log{clog.NewWithOptions(w, clog.Options{Formatter: clog.JSONFormatter, ReportTimestamp: true})}
}
func (l *Log) Placement(r sequoiacontrol.Record) { l.l.Info("placement", "r", r) }
func (l *Log) Routing(req *sequoiarouter.Request, resp *sequoiarouter.Response) {
	if resp.Outcome != sequoiarouter.Answered {
		l.l.Info("routing", "outcome", resp.Outcome.String(), "reason", resp.Reason)
	}
}
func (l *Log) Warn(msg string, kv ...any) { l.l.Warn(msg, kv...) }
func (l *Log) Close()                     {}
