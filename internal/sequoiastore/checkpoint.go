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

// MaxPartBytes is the maximum size of a part of a checkpoint, half of the store's limit for one value.
const MaxPartBytes = 512 << 10

// maxParts limits how many parts an invalid head can make a reader fetch.
const maxParts = sequoiatable.MaxCheckpointBytes/MaxPartBytes + 1

// checkpointReadAttempts is the number of attempts to read the latest checkpoint, whose parts may be deleted during the
// read if newer checkpoints are written.
const checkpointReadAttempts = 3

const (
	checkpointPrefix = "checkpoint/"
	headKey          = checkpointPrefix + "head"
)

// head is the value of checkpoint/head. Log entries up to Previous, the index of the preceding checkpoint, may be
// deleted.
type head struct {
	Index    uint64
	Parts    int
	Previous uint64
}

func partKey(index uint64, part int) string {
	return fmt.Sprintf("%s%020d/%04d", checkpointPrefix, index, part)
}

// readHead returns the head and its revision, both zero if there is no checkpoint.
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
		return head{}, 0, newBadValueError(headKey,
			errors.Errorf("invalid head: index %d, previous %d, %d parts", h.Index, h.Previous, h.Parts))
	}
	return h, v.revision, nil
}

// ReadCheckpoint returns the table of the latest checkpoint, or ErrNoCheckpoint.
func (c *Client) ReadCheckpoint(ctx context.Context) (*sequoiatable.Table, error) {
	var err error
	for range checkpointReadAttempts {
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

// errPartMissing reports an incomplete checkpoint, most likely deleted because two newer ones were written.
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
			return nil, newBadValueError(key, errPartMissing)
		}
		parts[n] = v.data
	}
	t, err := sequoiatable.DecodeCheckpoint(parts)
	if err != nil {
		return nil, newBadValueError(partKey(h.Index, 0), err)
	}
	if t.Index != h.Index {
		return nil, newBadValueError(partKey(h.Index, 0), errors.Errorf("the checkpoint has index %d", t.Index))
	}
	return t, nil
}

// WriteCheckpoint writes a checkpoint of the table, makes it the latest and deletes the log entries and checkpoints
// that the preceding checkpoint replaces. It returns ErrConflict and changes nothing if the latest checkpoint has the
// same or a later index.
func (c *Client) WriteCheckpoint(ctx context.Context, t *sequoiatable.Table) error {
	old, revision, err := c.readHead(ctx)
	if err != nil {
		return err
	}
	if old.Index >= t.Index {
		return errors.Wrapf(ErrConflict, "checkpoint at index %d, the latest has index %d", t.Index, old.Index)
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

// writePart does not overwrite an existing part: the encoding is deterministic, so it has the same content.
func (c *Client) writePart(ctx context.Context, key string, data []byte) error {
	err := c.putIf(ctx, key, data, 0)
	if errors.Is(err, ErrConflict) {
		return nil
	}
	return err
}

// writeHead writes the head. If the response is lost, it reads the head back to learn whether the write was applied.
func (c *Client) writeHead(ctx context.Context, h head, revision uint64) error {
	data, err := json.Marshal(h)
	if err != nil {
		return errors.Wrap(err, "encode the checkpoint head")
	}
	err = c.putIf(ctx, headKey, data, revision)
	if err == nil || !errors.Is(err, ErrUnavailable) {
		return err
	}
	stored, _, readErr := c.readHead(ctx)
	if readErr == nil && stored == h {
		return nil
	}
	return err
}

// trim deletes the log entries up to h.Previous and the checkpoints before it. The next trim deletes what a failed one
// leaves.
func (c *Client) trim(ctx context.Context, h head) error {
	if err := c.trimPrefix(ctx, logPrefix, h.Previous+1); err != nil {
		return err
	}
	return c.trimPrefix(ctx, checkpointPrefix, h.Previous)
}

// trimPrefix deletes the keys under a prefix whose index is less than below. It lists them in small pages, since the
// store returns the values too.
func (c *Client) trimPrefix(ctx context.Context, prefix string, below uint64) error {
	for {
		page, err := c.list(ctx, prefix, "", trimPageSize)
		if err != nil {
			return err
		}
		deleted := 0
		for _, item := range page.Items {
			indexText, _, _ := strings.Cut(strings.TrimPrefix(item.Key, prefix), "/")
			index, err := strconv.ParseUint(indexText, 10, 64)
			if err != nil || index >= below {
				break
			}
			if err := c.delete(ctx, item.Key); err != nil {
				return err
			}
			deleted++
			if err := sleep(ctx, c.trimPause); err != nil {
				return err
			}
		}
		if deleted < len(page.Items) || !page.More {
			return nil
		}
	}
}

// trimPageSize is the number of keys that a trim lists per call.
const trimPageSize = 16
