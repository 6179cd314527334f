package control

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"errors"
	"fmt"
	"sync"

	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// FleetDelivery carries an update of the fleet state to a node; it is empty if
// the node is up to date. An update is packed once for all nodes at the same
// version. Packing also keeps gob's type descriptions off the connection: after a
// restart of all nodes, these took the leader longer than the content.
type FleetDelivery struct {
	// From is the version that the update applies to; zero for a full update.
	From FleetVersion
	// Packed is a FleetUpdate encoded by pack.
	Packed []byte
}

// Empty reports whether d carries no update.
func (d FleetDelivery) Empty() bool { return d.Packed == nil }

// Update returns the update that d carries, or nil.
func (d FleetDelivery) Update() (*FleetUpdate, error) {
	if d.Empty() {
		return nil, nil
	}
	var u FleetUpdate
	if err := unpack(d.Packed, &u); err != nil {
		return nil, fmt.Errorf("control: decoding fleet update: %w", err)
	}
	u.From = d.From
	return &u, nil
}

// ConfigDelivery carries an update of the configuration to a node, packed like a
// FleetDelivery; it is empty if the node is up to date.
type ConfigDelivery struct {
	// Packed is a config.Update encoded by pack.
	Packed []byte
}

// Update returns the update that d carries, or nil.
func (d ConfigDelivery) Update() (*config.Update, error) {
	if d.Packed == nil {
		return nil, nil
	}
	var u config.Update
	if err := unpack(d.Packed, &u); err != nil {
		return nil, fmt.Errorf("control: decoding configuration update: %w", err)
	}
	return &u, nil
}

// configDeliveries caches the packed updates to the latest revision by the
// revision that they apply to.
type configDeliveries struct {
	mu      sync.Mutex
	latest  ident.Revision
	updates map[ident.Revision]ConfigDelivery
}

// configDelivery returns the update of a node from revision have to the current
// one. It is empty if the node is up to date. The update is computed and packed once
// for all nodes at the same revision.
func (s *Service) configDelivery(have ident.Revision) (ConfigDelivery, error) {
	c := &s.deliveries
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, current, _ := s.machine.Config(); c.latest == current {
		if d, known := c.updates[have]; known {
			return d, nil
		}
	}
	update := s.machine.ConfigUpdate(have)
	if update == nil {
		return ConfigDelivery{}, nil
	}
	if c.latest != update.To {
		c.latest, c.updates = update.To, make(map[ident.Revision]ConfigDelivery)
	}
	packed, err := pack(update)
	if err != nil {
		return ConfigDelivery{}, fmt.Errorf("control: encoding configuration update from revision %d to %d: %w", have, update.To, err)
	}
	c.updates[have] = ConfigDelivery{Packed: packed}
	return c.updates[have], nil
}

// pack encodes a value with gob and compresses it with flate.
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

// unpack decodes the output of pack into value, which is a pointer.
func unpack(packed []byte, value any) error {
	return gob.NewDecoder(flate.NewReader(bytes.NewReader(packed))).Decode(value)
}
