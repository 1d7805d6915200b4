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
	appendAttempts = 3
	appendPause    = 50 * time.Millisecond
	readPage       = 200
	maxReadEntries = 4096
)

const logPrefix = "log/"

func logKey(index uint64) string {
	return fmt.Sprintf("%s%020d", logPrefix, index)
}

// Append writes an entry at its index unless the index is taken. A lost reply is resolved by reading the index back and
// comparing writer and nonce, and by writing again where the index is still free: the precondition makes that safe. The
// result is AppendUnknown, with Err set, if the store does not answer, holds a bad value, or has trimmed the index.
//
// A writer that was paused until its next index was trimmed would find the index free and create an entry that no other
// process reads. Every result is therefore confirmed against the checkpoint head, which is written before any entry is
// deleted.
func (c *Client) Append(ctx context.Context, e sequoiatable.Entry) sequoiacontrol.Appended {
	result := sequoiacontrol.Appended{Index: e.Index, Nonce: e.Nonce, Result: sequoiacontrol.AppendUnknown}
	data, err := sequoiatable.EncodeEntry(e)
	if err != nil {
		result.Err = err
		return result
	}
	winner, err := c.appendData(ctx, e, data)
	if err == nil {
		err = c.confirm(ctx, e, winner)
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

// appendData returns the entry that the store holds at the index.
func (c *Client) appendData(ctx context.Context, e sequoiatable.Entry, data []byte) (*sequoiatable.Entry, error) {
	for attempt := 1; ; attempt++ {
		err := c.putIf(ctx, logKey(e.Index), data, 0)
		if err == nil {
			return &e, nil
		}
		if errors.Is(err, ErrRejected) {
			return nil, err
		}
		winner, errRead := c.readEntry(ctx, e.Index, 0)
		if errRead == nil && winner != nil {
			return winner, nil
		}
		if errors.Is(errRead, ErrBadValue) {
			return nil, errRead
		}
		if attempt == appendAttempts {
			return nil, err
		}
		if errPause := pause(ctx, appendPause); errPause != nil {
			return nil, err
		}
	}
}

// confirm returns ErrTrimmed if the index was trimmed, and then removes an entry of its own that fills the gap.
func (c *Client) confirm(ctx context.Context, e sequoiatable.Entry, winner *sequoiatable.Entry) error {
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
	return errors.Wrapf(ErrTrimmed, "entry %d, trimmed up to %d", e.Index, h.Previous)
}

// readEntry returns nil if the index is free at the end of the wait.
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
		return e, badValue(key, err)
	}
	if e.Index != index {
		return e, badValue(key, errors.Errorf("the entry has index %d, not %d", e.Index, index))
	}
	return e, nil
}

// ReadLog returns the entries after an index, at most 4,096, or the latest checkpoint if some of them are trimmed.
// On an error nothing else is set.
func (c *Client) ReadLog(ctx context.Context, after uint64) sequoiacontrol.LogRead {
	entries, err := c.readEntries(ctx, after)
	return c.completeRead(ctx, after, entries, err)
}

// WaitLog waits until the entry after an index exists and returns it. It returns an empty LogRead if there is none at
// the end of the wait, and the latest checkpoint if the entry is trimmed.
func (c *Client) WaitLog(ctx context.Context, after uint64, wait time.Duration) sequoiacontrol.LogRead {
	e, err := c.readEntry(ctx, after+1, wait)
	var entries []sequoiatable.Entry
	if e != nil {
		entries = append(entries, *e)
	}
	return c.completeRead(ctx, after, entries, err)
}

// completeRead discards what was read if the checkpoint head, read afterwards, shows that the entries may be trimmed.
func (c *Client) completeRead(
	ctx context.Context, after uint64, entries []sequoiatable.Entry, err error,
) sequoiacontrol.LogRead {
	if errors.Is(err, ErrUnavailable) || errors.Is(err, ErrRejected) {
		return sequoiacontrol.LogRead{Err: err}
	}
	h, _, errHead := c.readHead(ctx)
	if errHead != nil {
		return sequoiacontrol.LogRead{Err: errHead}
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
		page, err := c.list(ctx, logPrefix, logKey(next-1), readPage)
		if err != nil {
			return nil, err
		}
		for _, item := range page.Items {
			if item.Key != logKey(next) {
				return nil, badValue(logKey(next), errors.Errorf("missing before %s", item.Key))
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
