package sequoianode

import (
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiafollow"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaregistry"
)

// watchQuestion is a watch of the store that a process asks of another one.
type watchQuestion struct {
	_      struct{} `cbor:",toarray"`
	Prefix string
	After  uint64
	Wait   time.Duration
}

// watchAnswer is the answer to a watchQuestion; see sequoiafollow.Answer.
type watchAnswer struct {
	_         struct{} `cbor:",toarray"`
	Revision  uint64
	Confirmed bool
	Age       time.Duration
	Items     []watchItem
}

// watchItem is a sequoiaregistry.Item in a watchAnswer.
type watchItem struct {
	_        struct{} `cbor:",toarray"`
	Key      string
	Value    []byte
	Revision uint64
	Lease    uint64
	Deleted  bool
}

// knownReason returns the reason of a rejected question. A process of an older build rejects it as a bad request.
func knownReason(reason string) sequoiafollow.Reason {
	switch r := sequoiafollow.Reason(reason); r {
	case sequoiafollow.ReasonLostStore, sequoiafollow.ReasonNotFollowing, sequoiafollow.ReasonNotCovered,
		sequoiafollow.ReasonStopping, sequoiafollow.ReasonBusy:
		return r
	case reasonBadRequest:
		return sequoiafollow.ReasonUnsupported
	}
	return sequoiafollow.ReasonSilent
}

func encodeAnswer(a sequoiafollow.Answer) ([]byte, error) {
	out := watchAnswer{Revision: a.Revision, Confirmed: a.Confirmed, Age: a.Age}
	for _, it := range a.Items {
		out.Items = append(out.Items, watchItem{Key: it.Key, Value: it.Value, Revision: it.Revision, Lease: it.Lease, Deleted: it.Deleted})
	}
	return cbor.Marshal(out)
}

// decodeAnswer decodes the answer to a question. It returns false if the answer is not one of a watch after the
// question's revision in the same era of the store.
func decodeAnswer(body []byte, q watchQuestion) (sequoiafollow.Answer, bool) {
	var in watchAnswer
	if err := cbor.Unmarshal(body, &in); err != nil {
		return sequoiafollow.Answer{}, false
	}
	era := sequoiaregistry.Era(q.After)
	if in.Revision < q.After || sequoiaregistry.Era(in.Revision) != era {
		return sequoiafollow.Answer{}, false
	}
	a := sequoiafollow.Answer{Revision: in.Revision, Confirmed: in.Confirmed, Age: in.Age}
	for _, it := range in.Items {
		if !strings.HasPrefix(it.Key, q.Prefix) || it.Revision <= q.After || it.Revision > in.Revision {
			return sequoiafollow.Answer{}, false
		}
		a.Items = append(a.Items, sequoiaregistry.Item{Key: it.Key, Value: it.Value, Revision: it.Revision, Lease: it.Lease, Deleted: it.Deleted})
	}
	return a, true
}
