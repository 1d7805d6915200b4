package sequoiasettings

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// MinimumSharedKeyBytes is the minimum length of the shared key. It equals the strength of the HMAC with which
// processes authenticate to each other.
const MinimumSharedKeyBytes = 32

// Secret is a string that formatting and text encoding replace by "redacted".
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

// Authority selects how owners keep the authority over their keys.
type Authority string

// The kinds of authority.
const (
	// AuthorityWitnesses uses leases that three other processes renew.
	AuthorityWitnesses Authority = "Witnesses"
	// AuthorityStoreLease uses one lease per instance in the store. It is the baseline for measurements.
	AuthorityStoreLease Authority = "StoreLease"
)

// LogLimits limits the volume of the decision log.
type LogLimits struct {
	// LinesPerSecond is the maximum number of routing lines that a process logs per second; the rest are counted in a
	// summary. Placement decisions and faults are always logged.
	LinesPerSecond int
	// SampleOneIn is the sampling rate of routing lines: one in this many answered requests is a candidate for a line.
	// Requests that were not answered are always candidates.
	SampleOneIn int
}

// Settings are the settings of one process.
type Settings struct {
	Instance      string
	Region        string
	FailureDomain string
	// Control is the QUIC address and Forward the TCP address that other processes connect to.
	Control netip.AddrPort
	Forward netip.AddrPort
	// HTTP is the address that callers connect to.
	HTTP netip.AddrPort
	// Announce is the address to which the upstream on this instance sends its announcements.
	Announce       netip.AddrPort
	Administration netip.AddrPort
	// Store lists the addresses of the key-value store's servers.
	Store []netip.AddrPort
	// SharedKey authenticates processes to each other. SharedKeyFile is the path of a file that contains it instead.
	SharedKey     Secret
	SharedKeyFile string
	// AdministrationCredential authenticates operators. AdministrationCredentialFile is the path of a file that
	// contains it instead.
	AdministrationCredential     Secret
	AdministrationCredentialFile string
	// Contacts are control addresses of peers from which the table is fetched while the store is down.
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

// ParseSettings parses and validates the settings in data. The file name is only used in errors. If the settings are
// invalid, the error is of type FieldErrors and lists every error. Secrets in files are read later by ReadSecrets.
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
	d.Check(isOneOf(s.Authority, AuthorityWitnesses, AuthorityStoreLease), "Authority",
		strconv.Quote(string(s.Authority)), "Witnesses, StoreLease")
}

func (s *Settings) checkAddresses(d *Document) {
	listen := []struct {
		field string
		addr  netip.AddrPort
	}{{"Control", s.Control}, {"Forward", s.Forward}, {"HTTP", s.HTTP}, {"Announce", s.Announce}, {"Administration", s.Administration}}
	// Control uses UDP and may have the same port number as a TCP address.
	used := map[netip.AddrPort]string{}
	for _, a := range listen {
		if !d.Has(a.field) && !a.addr.IsValid() {
			continue
		}
		checkAddress(d, a.field, a.addr)
		if a.field == "Control" || !a.addr.IsValid() {
			continue
		}
		if other, ok := used[a.addr]; ok {
			d.AddError(a.field, ErrConflict, fmt.Sprintf("%s is the address of %s too", a.addr, other), "an address of its own")
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

// checkAddress rejects addresses that peers cannot connect to, because the table distributes them to every process.
func checkAddress(d *Document, field string, a netip.AddrPort) {
	ok := a.IsValid() && !a.Addr().IsUnspecified() && !a.Addr().IsMulticast() && a.Port() != 0
	d.Check(ok, field, a.String(), "a unicast IP address and a port from 1 to 65535")
}

func (s *Settings) checkSecrets(d *Document) {
	requireExactlyOne(d, "SharedKey", "SharedKeyFile")
	requireExactlyOne(d, "AdministrationCredential", "AdministrationCredentialFile")
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
			d.Check(value != "", field, "an empty string", "a non-empty string")
		}
	}
}

// requireExactlyOne requires either the field or the field that names a file with its value, but not both.
func requireExactlyOne(d *Document, field, file string) {
	allowed := fmt.Sprintf("exactly one of %s and %s", field, file)
	switch {
	case d.Has(field) && d.Has(file):
		d.AddError(file, ErrConflict, "", allowed)
	case !d.Has(field) && !d.Has(file):
		d.AddError(field, ErrMissingField, "", allowed)
	}
}

// ReadSecrets reads the shared key and the administration credential from their files, if files are set, and trims
// surrounding white space. readFile is usually os.ReadFile. ReadSecrets returns readFile's error, or ErrValue if the
// key is too short or the credential is empty.
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
