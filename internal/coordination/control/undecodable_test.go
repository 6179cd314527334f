package control

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// TestApplyNumbered_UndecodableIsNotAcknowledged guards against an acknowledgement of a configuration that
// the replicas could not decode, since it has more objects than the encoding of commands allows.
func TestApplyNumbered_UndecodableIsNotAcknowledged(t *testing.T) {
	const tooMany = 1<<17 + 1
	service, m := newLocalService()
	service.EnableFleet(func() FleetState { return FleetState{} })
	service.Tick()
	tiers := make(map[ident.TierName]config.Tier, tooMany)
	for i := range tooMany {
		tiers[ident.TierName(fmt.Sprint("t", i))] = config.Tier{Rank: i}
	}
	var reply ApplyNumberedReply
	numbered := config.Numbered{Number: 1, Config: config.Config{Tiers: tiers}, Document: []byte("{}")}
	must.NoError(t, service.ApplyNumbered(&ApplyNumberedArgs{Numbered: numbered}, &reply))
	_, number := m.Document()
	must.Eq(t, 0, number)
	must.False(t, reply.OK())
}

// TestDocumentReader_LargestConfigurationIsDecodable checks the limit on objects against what replicas can
// decode, and that one object more is refused as invalid.
func TestDocumentReader_LargestConfigurationIsDecodable(t *testing.T) {
	service, m := newLocalService()
	service.EnableFleet(func() FleetState { return FleetState{} })
	service.Tick()
	var reader DocumentReader
	read := func(tiers int) (config.Numbered, error) {
		c := config.Config{Tiers: make(map[ident.TierName]config.Tier, tiers)}
		for i := range tiers {
			c.Tiers[ident.TierName(fmt.Sprint("t", i))] = config.Tier{Rank: i}
		}
		text := []byte(fmt.Sprint(tiers))
		return reader.Read(t.Context(), text, func([]byte) (config.Numbered, error) {
			return config.Numbered{Number: 1, Config: c, Document: text}, nil
		})
	}
	_, err := read(config.MaxElements + 1)
	must.ErrorIs(t, err, config.ErrInvalid)
	largest, err := read(config.MaxElements)
	must.NoError(t, err)
	var reply ApplyNumberedReply
	must.NoError(t, service.ApplyNumbered(&ApplyNumberedArgs{Numbered: largest}, &reply))
	must.True(t, reply.OK())
	_, number := m.Document()
	must.Eq(t, 1, number)
}
