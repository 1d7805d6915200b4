package sequoiastore

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiacontrol"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

// Limits of an append and of a read.
const (
	appendAttempts      = 3
	appendRetryInterval = 50 * time.Millisecond
	readPageSize        = 200
	maxReadEntries      = 4096
)

const logPrefix = "log/"

func logKey(index uint64) string {
	return fmt.Sprintf("%s%020d", logPrefix, index)
}

// Append writes an entry at its index unless the index is taken. If the response is lost, it reads the index back and
// compares writer and nonce, and writes again if the index is still free, which the precondition makes safe. The result
// is AppendUnknown, with Err set, if the store does not answer, holds an invalid value or has trimmed the index.
//
// A writer that was paused until its next index had been trimmed would find the index free and create an entry that no
// other process reads. Append therefore checks every result against the checkpoint head, which is written before any
// entry is deleted.
func (c *Client) Append(ctx context.Context, e sequoiatable.Entry) sequoiacontrol.Appended {
	result := sequoiacontrol.Appended{Index: e.Index, Nonce: e.Nonce, Result: sequoiacontrol.AppendUnknown}
	data, err := sequoiatable.EncodeEntry(e)
	if err != nil {
		result.Err = err
		return result
	}
	winner, err := c.putEntry(ctx, e, data)
	if err == nil {
		err = c.confirmNotTrimmed(ctx, e, winner)
	}
	if err != nil {
		result.Err = err
		return result
	}
	result.Winner = winner
	result.Result = sequoiacontrol.AppendLost
	if sameEntry(winner, &e) {
		result.Result = sequoiacontrol.AppendWon
	}
	return result
}

func sameEntry(a, b *sequoiatable.Entry) bool {
	return a.Writer == b.Writer && a.Nonce == b.Nonce
}

// putEntry writes an encoded entry unless its index is taken. It returns the entry that the store holds at the index.
func (c *Client) putEntry(ctx context.Context, e sequoiatable.Entry, data []byte) (*sequoiatable.Entry, error) {
	for attempt := 1; ; attempt++ {
		err := c.putIf(ctx, logKey(e.Index), data, 0)
		if err == nil {
			return &e, nil
		}
		if errors.Is(err, ErrRejected) {
			return nil, err
		}
		winner, readErr := c.readEntry(ctx, e.Index, 0)
		if readErr == nil && winner != nil {
			return winner, nil
		}
		if errors.Is(readErr, ErrBadValue) {
			return nil, readErr
		}
		if attempt == appendAttempts {
			return nil, err
		}
		if sleepErr := sleep(ctx, appendRetryInterval); sleepErr != nil {
			return nil, err
		}
	}
}

// confirmNotTrimmed returns ErrTrimmed if the index was trimmed. If e was written there nevertheless, it deletes it.
func (c *Client) confirmNotTrimmed(ctx context.Context, e sequoiatable.Entry, winner *sequoiatable.Entry) error {
	h, _, err := c.readHead(ctx)
	if err != nil {
		return err
	}
	if e.Index > h.Previous {
		return nil
	}
	if sameEntry(winner, &e) {
		_ = c.delete(ctx, logKey(e.Index))
	}
	return errors.Wrapf(ErrTrimmed, "entry %d, the log is trimmed up to %d", e.Index, h.Previous)
}

// readEntry waits for the entry at an index. It returns nil if there is none at the end of the wait.
func (c *Client) readEntry(ctx context.Context, index uint64, wait time.Duration) (*sequoiatable.Entry, error) {
	v, err := c.get(ctx, logKey(index), wait)
	if err != nil || v.revision == 0 {
		return nil, err
	}
	e, err := decodeEntry(logKey(index), index, v.data)
	if err != nil {
		return nil, err
	}
	return &e, nil
}

func decodeEntry(key string, index uint64, data []byte) (sequoiatable.Entry, error) {
	e, err := sequoiatable.DecodeEntry(data)
	if err != nil {
		return e, newBadValueError(key, err)
	}
	if e.Index != index {
		return e, newBadValueError(key, errors.Errorf("the entry has index %d, not %d", e.Index, index))
	}
	return e, nil
}

// ReadLog returns the entries after an index, or the latest checkpoint if some of them are trimmed. It reads no further
// page once it has 4,096 entries. If Err is set, no other field is.
func (c *Client) ReadLog(ctx context.Context, after uint64) sequoiacontrol.LogRead {
	entries, err := c.readEntries(ctx, after)
	return c.readResult(ctx, after, entries, err)
}

// WaitLog waits for the entry after an index and returns it. It returns an empty LogRead if there is none at the end of
// the wait, and the latest checkpoint if the entry is trimmed.
func (c *Client) WaitLog(ctx context.Context, after uint64, wait time.Duration) sequoiacontrol.LogRead {
	e, err := c.readEntry(ctx, after+1, wait)
	var entries []sequoiatable.Entry
	if e != nil {
		entries = append(entries, *e)
	}
	return c.readResult(ctx, after, entries, err)
}

// readResult returns the result of a read. It reads the checkpoint head after the entries, and if that shows that
// some of them may be trimmed, it returns the latest checkpoint instead.
func (c *Client) readResult(
	ctx context.Context, after uint64, entries []sequoiatable.Entry, err error,
) sequoiacontrol.LogRead {
	if errors.Is(err, ErrUnavailable) || errors.Is(err, ErrRejected) {
		return sequoiacontrol.LogRead{Err: err}
	}
	h, _, headErr := c.readHead(ctx)
	if headErr != nil {
		return sequoiacontrol.LogRead{Err: headErr}
	}
	if after < h.Previous {
		t, err := c.ReadCheckpoint(ctx)
		return sequoiacontrol.LogRead{Checkpoint: t, Err: err}
	}
	if err != nil {
		return sequoiacontrol.LogRead{Err: err}
	}
	return sequoiacontrol.LogRead{Entries: entries}
}

func (c *Client) readEntries(ctx context.Context, after uint64) ([]sequoiatable.Entry, error) {
	var entries []sequoiatable.Entry
	for {
		next := after + uint64(len(entries)) + 1
		page, err := c.list(ctx, logPrefix, logKey(next-1), readPageSize)
		if err != nil {
			return nil, err
		}
		for _, item := range page.Items {
			if item.Key != logKey(next) {
				return nil, newBadValueError(logKey(next), errors.Errorf("the entry is missing, the next key is %s", item.Key))
			}
			e, err := decodeEntry(item.Key, next, item.Value)
			if err != nil {
				return nil, err
			}
			entries = append(entries, e)
			next++
		}
		if !page.More || len(page.Items) == 0 || len(entries) >= maxReadEntries {
			return entries, nil
		}
	}
}
