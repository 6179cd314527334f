package control

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"errors"
	"fmt"
	"sync"

	"k8s.io/klog/v2"

	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// packFrom is the number of entries from which an update is packed once for all
// nodes that get it; below it the descriptions of types in the packed form
// outweigh the entries.
const packFrom = 32

// SpreadDelivery carries an update of the spread to a node, in one of two forms or,
// where the node lacks nothing, in none.
type SpreadDelivery struct {
	// From is the version that the update builds on, whatever the form holds.
	From  SpreadVersion
	Small *SpreadUpdate
	// Packed is a SpreadUpdate as pack writes it.
	Packed []byte
}

// deliver packs an update unless it is small.
func deliver(u *SpreadUpdate) SpreadDelivery {
	entries := len(u.Members) + len(u.MembersGone) + len(u.Upstreams) + len(u.UpstreamsGone)
	if entries < packFrom {
		return SpreadDelivery{Small: u}
	}
	packed, err := pack(u)
	if err != nil {
		klog.ErrorS(err, "update of members and upstreams can't be packed, sending it as it is")
		return SpreadDelivery{Small: u}
	}
	return SpreadDelivery{Packed: packed}
}

// Empty reports whether the node lacks nothing.
func (d SpreadDelivery) Empty() bool { return d.Small == nil && d.Packed == nil }

// Update returns the update that d carries, or nil.
func (d SpreadDelivery) Update() (*SpreadUpdate, error) {
	var u SpreadUpdate
	switch {
	case d.Packed != nil:
		if err := unpack(d.Packed, &u); err != nil {
			return nil, fmt.Errorf("control: update of members and upstreams: %w", err)
		}
	case d.Small != nil:
		u = *d.Small
	default:
		return nil, nil
	}
	u.From = d.From
	return &u, nil
}

// ConfigDelivery carries an update of the configuration to a node, in one of two
// forms or, where the node lacks nothing, in none.
type ConfigDelivery struct {
	Delta *config.Update
	// Packed is a config.Update with the whole configuration, as pack writes it.
	Packed []byte
}

// Update returns the update that d carries, or nil.
func (d ConfigDelivery) Update() (*config.Update, error) {
	if d.Packed == nil {
		return d.Delta, nil
	}
	var u config.Update
	if err := unpack(d.Packed, &u); err != nil {
		return nil, fmt.Errorf("control: whole configuration: %w", err)
	}
	return &u, nil
}

// wholeConfig keeps the latest whole configuration as it is sent: after a restart
// of all nodes each of them gets it.
type wholeConfig struct {
	mu       sync.Mutex
	revision ident.Revision
	packed   []byte
}

// configDelivery returns what a node at a revision lacks of the configuration.
func (s *Service) configDelivery(have ident.Revision) ConfigDelivery {
	update := s.machine.ConfigUpdate(have)
	if update == nil || update.Full == nil {
		return ConfigDelivery{Delta: update}
	}
	s.whole.mu.Lock()
	defer s.whole.mu.Unlock()
	if s.whole.revision != update.To {
		packed, err := pack(update)
		if err != nil {
			klog.ErrorS(err, "whole configuration can't be packed, sending it as it is", "revision", update.To)
			return ConfigDelivery{Delta: update}
		}
		s.whole.revision, s.whole.packed = update.To, packed
	}
	return ConfigDelivery{Packed: s.whole.packed}
}

// pack writes a value as gob, compressed by flate.
func pack(value any) ([]byte, error) {
	var out bytes.Buffer
	writer, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if err := errors.Join(gob.NewEncoder(writer).Encode(value), writer.Close()); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// unpack reads what pack wrote.
func unpack(packed []byte, value any) error {
	return gob.NewDecoder(flate.NewReader(bytes.NewReader(packed))).Decode(value)
}
