package sequoiasettings

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// MinimumSharedKeyBytes is the shortest shared key, the strength of the HMAC that processes authenticate with.
const MinimumSharedKeyBytes = 32

// Secret is a text that logs and encoders show as "redacted".
type Secret string

// String returns "redacted", so that a secret does not reach a log.
func (s Secret) String() string {
	return "redacted"
}

// GoString returns "redacted", so that a secret does not reach a log.
func (s Secret) GoString() string {
	return "redacted"
}

// MarshalText encodes "redacted", so that a secret does not reach a log.
func (s Secret) MarshalText() ([]byte, error) {
	return []byte("redacted"), nil
}

// Authority says what keeps an owner's authority over its keys alive.
type Authority string

// The kinds of authority.
const (
	// AuthorityWitnesses has leases renewed by three other processes.
	AuthorityWitnesses Authority = "Witnesses"
	// AuthorityStoreLease has one lease per instance in the store, the baseline for measurements.
	AuthorityStoreLease Authority = "StoreLease"
)

// LogLimits bound the decision log.
type LogLimits struct {
	// LinesPerSecond is the most routing lines that a process writes; the rest are counted in a summary. Placement
	// decisions and faults are always logged.
	LinesPerSecond int
	// SampleOneIn considers one in this many answered requests for a routing line. Each request that was not answered is
	// considered.
	SampleOneIn int
}

// Settings are the settings of one process.
type Settings struct {
	Instance      string
	Region        string
	FailureDomain string
	// Control is the QUIC address and Forward the TCP address that other processes use.
	Control netip.AddrPort
	Forward netip.AddrPort
	// HTTP is the callers' address.
	HTTP netip.AddrPort
	// Announce is the address where the upstream on this instance announces itself.
	Announce       netip.AddrPort
	Administration netip.AddrPort
	// Store lists the addresses of the key-value store.
	Store []netip.AddrPort
	// SharedKey authenticates processes to each other. SharedKeyFile names a file that holds it instead.
	SharedKey     Secret
	SharedKeyFile string
	// AdministrationCredential is what operators present, AdministrationCredentialFile names a file that holds it.
	AdministrationCredential     Secret
	AdministrationCredentialFile string
	// Contacts are control addresses of peers to fetch the table from while the store is down.
	Contacts  []netip.AddrPort
	Log       LogLimits
	Authority Authority
}

func defaultSettings() Settings {
	return Settings{
		Announce:       netip.MustParseAddrPort("127.0.0.1:7404"),
		Administration: netip.MustParseAddrPort("127.0.0.1:7405"),
		Log:            LogLimits{LinesPerSecond: 200, SampleOneIn: 1000},
		Authority:      AuthorityWitnesses,
	}
}

// ParseSettings reads and checks the settings in data; name is the file's name for faults. It returns Faults with every
// fault found. A key or credential in a file is read later by ReadSecrets.
func ParseSettings(name string, data []byte) (Settings, error) {
	d := NewDocument(name, data)
	s := defaultSettings()
	if d.Decode(&s) {
		s.check(d)
	}
	if err := d.Err(); err != nil {
		return Settings{}, err
	}
	return s, nil
}

func (s *Settings) check(d *Document) {
	checkName(d, "Instance", s.Instance)
	checkName(d, "Region", s.Region)
	checkName(d, "FailureDomain", s.FailureDomain)
	for _, field := range []string{"Control", "Forward", "HTTP", "Store"} {
		d.Require(field, "an IP address and port such as 10.0.0.1:7400")
	}
	s.checkAddresses(d)
	s.checkSecrets(d)
	checkRange(d, "Log.LinesPerSecond", s.Log.LinesPerSecond, 1, 10_000)
	checkRange(d, "Log.SampleOneIn", s.Log.SampleOneIn, 1, 1_000_000)
	d.Check(contains(s.Authority, AuthorityWitnesses, AuthorityStoreLease), "Authority",
		strconv.Quote(string(s.Authority)), "Witnesses, StoreLease")
}

func (s *Settings) checkAddresses(d *Document) {
	own := []struct {
		field string
		addr  netip.AddrPort
	}{{"Control", s.Control}, {"Forward", s.Forward}, {"HTTP", s.HTTP}, {"Announce", s.Announce}, {"Administration", s.Administration}}
	// Control is UDP and may have the number of a TCP port.
	used := map[netip.AddrPort]string{}
	for _, a := range own {
		if !d.Has(a.field) && !a.addr.IsValid() {
			continue
		}
		checkAddress(d, a.field, a.addr)
		if a.field == "Control" || !a.addr.IsValid() {
			continue
		}
		if other, ok := used[a.addr]; ok {
			d.Fault(a.field, ErrConflict, fmt.Sprintf("%s is the address of %s too", a.addr, other), "an address of its own")
		}
		used[a.addr] = a.field
	}
	if d.Has("Store") {
		d.Check(len(s.Store) > 0, "Store", "an empty array", "one address or more")
	}
	for i, a := range s.Store {
		checkAddress(d, fmt.Sprintf("Store[%d]", i), a)
	}
	for i, a := range s.Contacts {
		checkAddress(d, fmt.Sprintf("Contacts[%d]", i), a)
	}
}

// checkAddress rejects addresses that peers cannot connect to: the table passes them on to every process.
func checkAddress(d *Document, field string, a netip.AddrPort) {
	ok := a.IsValid() && !a.Addr().IsUnspecified() && !a.Addr().IsMulticast() && a.Port() != 0
	d.Check(ok, field, a.String(), "a unicast IP address and a port from 1 to 65535")
}

func (s *Settings) checkSecrets(d *Document) {
	checkEither(d, "SharedKey", "SharedKeyFile")
	checkEither(d, "AdministrationCredential", "AdministrationCredentialFile")
	if d.Has("SharedKey") {
		d.Check(len(s.SharedKey) >= MinimumSharedKeyBytes, "SharedKey",
			fmt.Sprintf("%d bytes", len(s.SharedKey)), fmt.Sprintf("at least %d bytes", MinimumSharedKeyBytes))
	}
	for field, value := range map[string]string{
		"SharedKeyFile":                s.SharedKeyFile,
		"AdministrationCredential":     string(s.AdministrationCredential),
		"AdministrationCredentialFile": s.AdministrationCredentialFile,
	} {
		if d.Has(field) {
			d.Check(value != "", field, "an empty string", "a string that is not empty")
		}
	}
}

// checkEither requires exactly one of a value and the file that holds it.
func checkEither(d *Document, field, file string) {
	allowed := fmt.Sprintf("exactly one of %s and %s", field, file)
	switch {
	case d.Has(field) && d.Has(file):
		d.Fault(file, ErrConflict, "", allowed)
	case !d.Has(field) && !d.Has(file):
		d.Fault(field, ErrMissingField, "", allowed)
	}
}

// ReadSecrets reads the key and the credential that are in files with readFile, usually os.ReadFile, and removes white
// space around them. It returns readFile's error, or ErrValue for a key that is too short or an empty credential.
func (s *Settings) ReadSecrets(readFile func(name string) ([]byte, error)) error {
	if err := readSecret(&s.SharedKey, s.SharedKeyFile, MinimumSharedKeyBytes, readFile); err != nil {
		return err
	}
	return readSecret(&s.AdministrationCredential, s.AdministrationCredentialFile, 1, readFile)
}

func readSecret(secret *Secret, file string, minimum int, readFile func(name string) ([]byte, error)) error {
	if file == "" {
		return nil
	}
	data, err := readFile(file)
	if err != nil {
		return errors.Wrapf(err, "read secret from %s", file)
	}
	text := strings.TrimSpace(string(data))
	if len(text) < minimum {
		return errors.Wrapf(ErrValue, "%s: %d bytes; allowed: at least %d bytes", file, len(text), minimum)
	}
	*secret = Secret(text)
	return nil
}
