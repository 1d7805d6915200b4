package sequoiastore

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

// MaxPartBytes is the size of a checkpoint's parts, half of what the store takes as one value.
const MaxPartBytes = 512 << 10

// maxParts bounds what a bad head can make a reader fetch.
const maxParts = sequoiatable.MaxCheckpointBytes/MaxPartBytes + 1

// checkpointReads is the number of attempts to read a checkpoint that newer ones replace meanwhile.
const checkpointReads = 3

const (
	checkpointPrefix = "checkpoint/"
	headKey          = checkpointPrefix + "head"
)

// head is the value of checkpoint/head. Entries up to Previous, the index of the checkpoint before, may be deleted.
type head struct {
	Index    uint64
	Parts    int
	Previous uint64
}

func partKey(index uint64, part int) string {
	return fmt.Sprintf("%s%020d/%04d", checkpointPrefix, index, part)
}

// readHead returns a zero head and revision if there is no checkpoint.
func (c *Client) readHead(ctx context.Context) (head, uint64, error) {
	v, err := c.get(ctx, headKey, 0)
	if err != nil || v.revision == 0 {
		return head{}, 0, err
	}
	var h head
	if err := decodeJSON(headKey, v.data, &h); err != nil {
		return head{}, 0, err
	}
	if h.Index == 0 || h.Previous >= h.Index || h.Parts < 1 || h.Parts > maxParts {
		return head{}, 0, badValue(headKey, errors.Errorf("index %d, previous %d, %d parts", h.Index, h.Previous, h.Parts))
	}
	return h, v.revision, nil
}

// ReadCheckpoint returns the table of the latest checkpoint, or ErrNoCheckpoint.
func (c *Client) ReadCheckpoint(ctx context.Context) (*sequoiatable.Table, error) {
	var err error
	for range checkpointReads {
		var h head
		if h, _, err = c.readHead(ctx); err != nil {
			return nil, err
		}
		if h.Index == 0 {
			return nil, errors.WithStack(ErrNoCheckpoint)
		}
		var t *sequoiatable.Table
		if t, err = c.readParts(ctx, h); err == nil {
			return t, nil
		}
		if !errors.Is(err, errPartMissing) {
			return nil, err
		}
	}
	return nil, err
}

// errPartMissing marks a checkpoint that is incomplete, most likely since two newer ones were written.
var errPartMissing = errors.New("a part of the checkpoint is missing")

func (c *Client) readParts(ctx context.Context, h head) (*sequoiatable.Table, error) {
	parts := make([][]byte, h.Parts)
	for n := range parts {
		key := partKey(h.Index, n)
		v, err := c.get(ctx, key, 0)
		if err != nil {
			return nil, err
		}
		if v.revision == 0 {
			return nil, badValue(key, errPartMissing)
		}
		parts[n] = v.data
	}
	t, err := sequoiatable.DecodeCheckpoint(parts)
	if err != nil {
		return nil, badValue(partKey(h.Index, 0), err)
	}
	if t.Index != h.Index {
		return nil, badValue(partKey(h.Index, 0), errors.Errorf("the checkpoint has index %d", t.Index))
	}
	return t, nil
}

// WriteCheckpoint writes the table's checkpoint, makes it the latest and deletes the entries and checkpoints that the
// one before makes superfluous. It returns ErrConflict, and changes nothing, if a checkpoint of the same or a later
// index is already the latest.
func (c *Client) WriteCheckpoint(ctx context.Context, t *sequoiatable.Table) error {
	old, revision, err := c.readHead(ctx)
	if err != nil {
		return err
	}
	if old.Index >= t.Index {
		return errors.Wrapf(ErrConflict, "checkpoint %d, the latest is %d", t.Index, old.Index)
	}
	parts := t.Encode(MaxPartBytes)
	for n, p := range parts {
		if err := c.writePart(ctx, partKey(t.Index, n), p); err != nil {
			return err
		}
	}
	next := head{Index: t.Index, Parts: len(parts), Previous: old.Index}
	if err := c.writeHead(ctx, next, revision); err != nil {
		return err
	}
	return c.trim(ctx, next)
}

// writePart leaves a part that is already there: the encoding is deterministic, so it is the same.
func (c *Client) writePart(ctx context.Context, key string, data []byte) error {
	err := c.putIf(ctx, key, data, 0)
	if errors.Is(err, ErrConflict) {
		return nil
	}
	return err
}

// writeHead resolves a lost reply by reading the head back.
func (c *Client) writeHead(ctx context.Context, h head, revision uint64) error {
	data, err := json.Marshal(h)
	if err != nil {
		return errors.Wrap(err, "encode the checkpoint head")
	}
	err = c.putIf(ctx, headKey, data, revision)
	if err == nil || !errors.Is(err, ErrUnavailable) {
		return err
	}
	now, _, errRead := c.readHead(ctx)
	if errRead == nil && now == h {
		return nil
	}
	return err
}

// trim deletes the entries up to h.Previous and the checkpoints before it. What it leaves, the next trim deletes.
func (c *Client) trim(ctx context.Context, h head) error {
	if err := c.trimPrefix(ctx, logPrefix, h.Previous+1); err != nil {
		return err
	}
	return c.trimPrefix(ctx, checkpointPrefix, h.Previous)
}

// trimPrefix deletes the numbered keys below an index. The list is read in small pages since it carries the values.
func (c *Client) trimPrefix(ctx context.Context, prefix string, below uint64) error {
	for {
		page, err := c.list(ctx, prefix, "", trimPage)
		if err != nil {
			return err
		}
		deleted := 0
		for _, item := range page.Items {
			number, _, _ := strings.Cut(strings.TrimPrefix(item.Key, prefix), "/")
			index, err := strconv.ParseUint(number, 10, 64)
			if err != nil || index >= below {
				break
			}
			if err := c.delete(ctx, item.Key); err != nil {
				return err
			}
			deleted++
			if err := pause(ctx, c.trimPause); err != nil {
				return err
			}
		}
		if deleted < len(page.Items) || !page.More {
			return nil
		}
	}
}

// trimPage is the number of keys listed at once by a trim.
const trimPage = 16
