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

// FleetDelivery carries an update of the spread to a node; without content where
// the node lacks nothing. It is packed once for all nodes that lack the same, and
// keeps the descriptions of its types off the connection: after a restart of all
// nodes these took the leader longer than the content.
type FleetDelivery struct {
	// From is the version that the update builds on.
	From FleetVersion
	// Packed is a SpreadUpdate as pack writes it.
	Packed []byte
}

// Empty reports whether the node lacks nothing.
func (d FleetDelivery) Empty() bool { return d.Packed == nil }

// Update returns the update that d carries, or nil.
func (d FleetDelivery) Update() (*FleetUpdate, error) {
	if d.Empty() {
		return nil, nil
	}
	var u FleetUpdate
	if err := unpack(d.Packed, &u); err != nil {
		return nil, fmt.Errorf("control: update of members and upstreams: %w", err)
	}
	u.From = d.From
	return &u, nil
}

// ConfigDelivery carries an update of the configuration to a node in the same way.
type ConfigDelivery struct {
	// Packed is a config.Update as pack writes it.
	Packed []byte
}

// Update returns the update that d carries, or nil.
func (d ConfigDelivery) Update() (*config.Update, error) {
	if d.Packed == nil {
		return nil, nil
	}
	var u config.Update
	if err := unpack(d.Packed, &u); err != nil {
		return nil, fmt.Errorf("control: update of the configuration: %w", err)
	}
	return &u, nil
}

// configDeliveries keeps the updates to the latest revision as they are sent, by the
// revision that they build on.
type configDeliveries struct {
	mu      sync.Mutex
	latest  ident.Revision
	updates map[ident.Revision]ConfigDelivery
}

// configDelivery returns what a node at a revision lacks of the configuration.
func (s *Service) configDelivery(have ident.Revision) (ConfigDelivery, error) {
	update := s.machine.ConfigUpdate(have)
	if update == nil {
		return ConfigDelivery{}, nil
	}
	c := &s.deliveries
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.latest != update.To {
		c.latest, c.updates = update.To, make(map[ident.Revision]ConfigDelivery)
	}
	if d, known := c.updates[have]; known {
		return d, nil
	}
	packed, err := pack(update)
	if err != nil {
		return ConfigDelivery{}, fmt.Errorf("control: update of the configuration to revision %d: %w", update.To, err)
	}
	c.updates[have] = ConfigDelivery{Packed: packed}
	return c.updates[have], nil
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
