package sequoiasettings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiasettings"
)

func TestSettings(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "sequoiasettings")
}

func example(elem ...string) []byte {
	data, err := os.ReadFile(filepath.Join(append([]string{"..", "..", "examples"}, elem...)...))
	Expect(err).NotTo(HaveOccurred())
	return data
}

var _ = ginkgo.Describe("ParseSettings", func() {
	ginkgo.It("parses the settings examples of both deployments, which therefore stay up to date with the format", func() {
		for _, deployment := range []string{"howrah", "pinehollow"} {
			s, err := sequoiasettings.ParseSettings("settings.hujson", example(deployment, "settings.hujson"))
			Expect(err).NotTo(HaveOccurred())
			Expect(s.Authority).To(Equal(sequoiasettings.AuthorityWitnesses))
		}
	})

	ginkgo.It("reports every error with line, field and allowed values, so that all of them can be corrected at once", func() {
		data := strings.NewReplacer(
			`"Authority": "Witnesses"`, `"Authority": "Election"`,
			`"Region"`, `"Regoin"`,
			`"Control": "10.20.0.11:7401"`, `"Control": "0.0.0.0:7401"`,
			`10.20.0.11:7403`, `10.20.0.11:7402`,
			`"SampleOneIn": 1000`, `"SampleOneIn": "often"`,
			`"Instance": "howrah-north-1",`, `"Instance": "howrah-north-1", "Instance": "x",`,
		).Replace(string(example("howrah", "settings.hujson")))
		_, err := sequoiasettings.ParseSettings("s.hujson", []byte(data))
		for _, class := range []error{
			sequoiasettings.ErrValue, sequoiasettings.ErrUnknownField, sequoiasettings.ErrMissingField,
			sequoiasettings.ErrConflict, sequoiasettings.ErrType, sequoiasettings.ErrDuplicateField,
		} {
			Expect(err).To(MatchError(class))
		}
		Expect(err.Error()).To(ContainSubstring(`s.hujson:25: Authority: value not allowed: "Election"; allowed: Witnesses, StoreLease`))
		Expect(err.Error()).To(ContainSubstring("s.hujson:8: Control: value not allowed: 0.0.0.0:7401"))
		Expect(err.Error()).To(ContainSubstring("s.hujson:3: Instance: duplicate field"))
		Expect(err).To(HaveLen(7))
	})

	ginkgo.It("rejects a short key, inline or in a file, and never prints it", func() {
		data := strings.Replace(string(example("howrah", "settings.hujson")),
			`"SharedKeyFile": "/run/secrets/sequoiaspring-shared-key"`, `"SharedKey": "0123456789"`, 1)
		_, err := sequoiasettings.ParseSettings("s", []byte(data))
		Expect(err).To(MatchError(ContainSubstring("SharedKey: value not allowed: 10 bytes")))
		Expect(err.Error()).NotTo(ContainSubstring("0123456789"))

		s, err := sequoiasettings.ParseSettings("s", example("howrah", "settings.hujson"))
		Expect(err).NotTo(HaveOccurred())
		short := func(string) ([]byte, error) { return []byte("0123456789\n"), nil }
		Expect(s.ReadSecrets(short)).To(MatchError(sequoiasettings.ErrValue))
		long := func(string) ([]byte, error) { return []byte(strings.Repeat("k", 32) + "\n"), nil }
		Expect(s.ReadSecrets(long)).To(Succeed())
		Expect(s.SharedKey).To(HaveLen(32))
		missing := func(string) ([]byte, error) { return nil, os.ErrNotExist }
		Expect(errors.Is(s.ReadSecrets(missing), os.ErrNotExist)).To(BeTrue())
	})

	ginkgo.It("reports the line of a syntax error, which names no field", func() {
		_, err := sequoiasettings.ParseSettings("s", []byte("{\n\"Instance\": \"a\",\n\"Region\" \"b\"}"))
		Expect(err).To(MatchError(sequoiasettings.ErrSyntax))
		Expect(err).To(MatchError(ContainSubstring("s:3: ")))
	})
})

var _ = ginkgo.Describe("ParseConfiguration", func() {
	ginkgo.It("parses the configuration examples of both deployments and fills in the defaults of omitted fields", func() {
		for _, deployment := range []string{"howrah", "pinehollow"} {
			cfg, err := sequoiasettings.ParseConfiguration("c", example(deployment, "configuration.hujson"))
			Expect(err).NotTo(HaveOccurred())
			Expect(cfg.Services[1].ResendWindow).To(Equal(60 * time.Second))
			Expect(cfg.TableServices()[0].Divided).To(BeTrue())
			Expect(cfg.TableServices()[1].Shards).To(Equal(uint32(256)))
		}
	})

	ginkgo.It("rejects duplicate service names and weights that are all zero, for which no choice is defined", func() {
		_, err := sequoiasettings.ParseConfiguration("c", []byte(`{
			"Services": [{"Name": "a", "Shards": 8, "Divided": true}, {"Name": "a", "Shards": 0, "Divided": false}],
			"Weights": {"Imbalance": 0, "Churn": 0, "Unavailable": 0}}`))
		Expect(err).To(MatchError(sequoiasettings.ErrConflict))
		Expect(err).To(MatchError(ContainSubstring("c:2: Services[1].Shards: value not allowed: 0; allowed: 1 to 65536")))
		Expect(err).To(MatchError(ContainSubstring("c:3: Weights: value not allowed: all zero")))
	})
})

// The fuzz targets guard against a panic on operator input and against accepting a document with missing values.
func FuzzParseSettings(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := sequoiasettings.ParseSettings("s", data)
		if err == nil && (s.Instance == "" || !s.Control.IsValid() || len(s.Store) == 0) {
			t.Errorf("accepted incomplete settings: %+v", s)
		}
	})
}

func FuzzParseConfiguration(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		cfg, err := sequoiasettings.ParseConfiguration("c", data)
		for _, s := range cfg.Services {
			if err == nil && (s.Name == "" || s.Shards == 0) {
				t.Errorf("accepted an incomplete service: %+v", s)
			}
		}
	})
}
