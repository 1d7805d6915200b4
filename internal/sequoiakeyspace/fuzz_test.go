package sequoiakeyspace_test

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiakeyspace"
)

// Guards against bytes from the store or another process that decode to a table with gaps or cause a panic.
func FuzzDecode(f *testing.F) {
	table, changes := restartChanges(30, 5)
	encoded, err := table.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(encoded)
	encoded, err = cbor.Marshal(changes)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(encoded)
	f.Fuzz(func(t *testing.T, b []byte) {
		if table, err := sequoiakeyspace.Decode(b); err == nil {
			for name, ranges := range table.Services {
				for key := 0; key <= int(sequoiakeyspace.MaxKey); key += 257 {
					if r, ok := table.Find(name, sequoiakeyspace.Key(key)); !ok || !r.Contains(sequoiakeyspace.Key(key)) {
						t.Fatalf("key %d is in none of %d ranges", key, len(ranges))
					}
				}
			}
		}
		var c sequoiakeyspace.Changes
		if err := cbor.Unmarshal(b, &c); err == nil {
			other, _ := restartChanges(30, 5)
			other.Apply(c)
			if _, err := other.Encode(); err != nil {
				t.Fatal(err)
			}
		}
	})
}
