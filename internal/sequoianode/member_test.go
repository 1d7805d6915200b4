package sequoianode

import (
	"encoding/json"
	"net/netip"
	"strings"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaowner"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaregistry"
)

var _ = ginkgo.Describe("member entries", func() {
	valid := sequoiaowner.Member{
		Instance: "b", Address: netip.MustParseAddrPort("10.1.0.2:7380"), Domain: "north", Process: "p",
		Upstream: sequoiaowner.Upstream{ID: "i-1", Born: 1, Service: "dispatch", Slots: 6},
	}
	encode := func(m sequoiaowner.Member) string {
		b, err := json.Marshal(m)
		Expect(err).NotTo(HaveOccurred())
		return string(b)
	}
	item := func(value string) sequoiaregistry.Item {
		return sequoiaregistry.Item{Key: memberPrefix + "b", Value: []byte(value), Revision: 5, Lease: 3}
	}

	ginkgo.It("describe a member, also before its upstream has announced itself", func() {
		m, err := decodeMember(item(encode(valid)))
		Expect(err).NotTo(HaveOccurred())
		Expect(m.Upstream).To(Equal(valid.Upstream))
		starting := valid
		starting.Upstream = sequoiaowner.Upstream{}
		_, err = decodeMember(item(encode(starting)))
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against keys and requests that go to an upstream that does not exist, because another writer left an entry.
	ginkgo.DescribeTable("are rejected if another writer left them",
		func(change func(it *sequoiaregistry.Item)) {
			it := item(encode(valid))
			change(&it)
			_, err := decodeMember(it)
			Expect(err).To(MatchError(errMember))
		},
		ginkgo.Entry("under no lease", func(it *sequoiaregistry.Item) { it.Lease = 0 }),
		ginkgo.Entry("not JSON", func(it *sequoiaregistry.Item) { it.Value = []byte{0xff, 0} }),
		ginkgo.Entry("deeply nested", func(it *sequoiaregistry.Item) {
			it.Value = []byte(strings.Repeat(`{"Upstream":`, 200_000) + "1" + strings.Repeat("}", 200_000))
		}),
		replaced("a number too large", `"Slots":6`, `"Slots":1e400`),
		replaced("more slots than an upstream can have", `"Slots":6`, `"Slots":9223372036854775807`),
		replaced("no slots", `"Slots":6`, `"Slots":0`),
		replaced("a port out of range", `10.1.0.2:7380`, `10.1.0.2:73800`),
		replaced("no port", `10.1.0.2:7380`, `10.1.0.2:0`),
		replaced("no address", `10.1.0.2:7380`, ``),
		replaced("an unspecified address", `10.1.0.2:7380`, `0.0.0.0:7380`),
		replaced("a field of another type", `"Process":"p"`, `"Process":7`),
		replaced("no process", `"Process":"p"`, `"Process":""`),
		replaced("no service", `"Service":"dispatch"`, `"Service":""`),
		replaced("another instance", `"Instance":"b"`, `"Instance":"c"`),
	)

	// Guards against a process whose entry another writer has replaced and that does not register again.
	ginkgo.It("are written again if another writer has replaced the process's own", func() {
		n := newCommitNode(&tableStore{})
		n.registration = &sequoiaregistry.Registration{}
		it := sequoiaregistry.Item{Key: memberPrefix + "a", Value: []byte("{"), Revision: 9, Lease: 1}
		n.onStoreItems([]sequoiaregistry.Item{it})
		Expect(n.registration.ChangePending()).To(BeTrue())
	})
})

// replaced returns a table entry whose change replaces a part of the item.
func replaced(name, old, changed string) ginkgo.TableEntry {
	return ginkgo.Entry(name, func(it *sequoiaregistry.Item) {
		value := strings.Replace(string(it.Value), old, changed, 1)
		Expect(value).NotTo(Equal(string(it.Value)))
		it.Value = []byte(value)
	})
}
