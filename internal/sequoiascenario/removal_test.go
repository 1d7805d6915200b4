package sequoiascenario

import (
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiachecker"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiacontrol"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaproxy"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiarouter"
)

// safeguardRemovals lists, for each invariant, the safeguards whose removal a scenario must detect.
var safeguardRemovals = []safeguardRemoval{
	{sequoiacontrol.SafeguardPromises, "pair-freeze-cut-owner", sequoiachecker.DoubleOwned},
	{safeguardUpstreamChecks, "i1-freeze-upstream", sequoiachecker.DoubleOwned},
	{safeguardReadBack, "pair-kill-during-outage", sequoiachecker.LostAssignments},
	{sequoiaproxy.SafeguardConnectionReuse, "i3-cancelled", sequoiachecker.WrongAnswers},
	{sequoiaproxy.SafeguardNotSent, "i4-cut-forwarding", sequoiachecker.FalseNotRun},
	{sequoiarouter.SafeguardFloor, "i5-resend-to-successor", sequoiachecker.RanTwice},
	{sequoiarouter.SafeguardIdentifiers, "i5-resend-to-owner", sequoiachecker.RanTwice},
	{sequoiacontrol.SafeguardDrain, "i6-drain", sequoiachecker.LateWork},
	{sequoiarouter.SafeguardDrainWait, "i7-drain-in-progress", sequoiachecker.Interrupted},
	{sequoiacontrol.SafeguardConfigurationBase, "i8-two-operators", sequoiachecker.ConfigurationReverted},
}
