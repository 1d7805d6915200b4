package sequoiastore

import (
	"context"
	"encoding/json"
	"net/netip"
	"slices"

	"github.com/pkg/errors"
)

// MaxContacts is the maximum length of the list of contacts. The oldest are removed first.
const MaxContacts = 32

const contactsKey = "contacts"

// contactAttempts is the number of attempts to add a contact while other processes change the list.
const contactAttempts = 5

type contactList struct {
	Addresses []netip.AddrPort
}

// Contacts returns control addresses of processes, the most recently added first. The processes may no longer run.
func (c *Client) Contacts(ctx context.Context) ([]netip.AddrPort, error) {
	list, _, err := c.readContacts(ctx)
	return list.Addresses, err
}

func (c *Client) readContacts(ctx context.Context) (contactList, uint64, error) {
	var list contactList
	v, err := c.get(ctx, contactsKey, 0)
	if err != nil || v.revision == 0 {
		return list, 0, err
	}
	if err := decodeJSON(contactsKey, v.data, &list); err != nil {
		return contactList{}, 0, err
	}
	if len(list.Addresses) > MaxContacts {
		return contactList{}, 0, newBadValueError(contactsKey,
			errors.Errorf("%d addresses, limit %d", len(list.Addresses), MaxContacts))
	}
	for _, a := range list.Addresses {
		if !a.IsValid() {
			return contactList{}, 0, newBadValueError(contactsKey, errors.New("the list has an invalid address"))
		}
	}
	return list, v.revision, nil
}

// AddContact adds a control address to the list unless it is listed. It returns ErrConflict if other processes kept
// changing the list.
func (c *Client) AddContact(ctx context.Context, addr netip.AddrPort) error {
	if !addr.IsValid() {
		return errors.Wrap(ErrRejected, "the address is invalid")
	}
	var err error
	for range contactAttempts {
		list, revision, readErr := c.readContacts(ctx)
		if readErr != nil {
			return readErr
		}
		if slices.Contains(list.Addresses, addr) {
			return nil
		}
		list.Addresses = slices.Insert(list.Addresses, 0, addr)
		list.Addresses = list.Addresses[:min(len(list.Addresses), MaxContacts)]
		data, encodeErr := json.Marshal(list)
		if encodeErr != nil {
			return errors.Wrap(encodeErr, "encode the contacts")
		}
		if err = c.putIf(ctx, contactsKey, data, revision); err == nil {
			return nil
		}
		if errors.Is(err, ErrRejected) {
			return err
		}
	}
	return err
}
