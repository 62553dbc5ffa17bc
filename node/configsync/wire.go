package configsync

import "agateswitch/core/configuration"

// wireDelta is the encoding of a configuration.Delta in messages to peers, with short field names.
type wireDelta struct {
	From  configuration.Revision `msgpack:"f"`
	To    configuration.Revision `msgpack:"t"`
	Floor configuration.Revision `msgpack:"o,omitempty"`
	Full  bool                   `msgpack:"u,omitempty"`
	Items []wireItem             `msgpack:"i"`
}

// wireItem is the encoding of a configuration.Item in messages to peers.
type wireItem struct {
	Kind     string                 `msgpack:"k"`
	Name     string                 `msgpack:"n"`
	Revision configuration.Revision `msgpack:"r"`
	Deleted  bool                   `msgpack:"d,omitempty"`
	Value    []byte                 `msgpack:"v,omitempty"`
}

func toWire(delta configuration.Delta) wireDelta {
	wire := wireDelta{From: delta.From, To: delta.To, Floor: delta.Floor, Full: delta.Full}
	for _, item := range delta.Items {
		wire.Items = append(wire.Items, wireItem{
			Kind: string(item.Key.Kind), Name: item.Key.Name, Revision: item.Revision,
			Deleted: item.Deleted, Value: item.Value,
		})
	}
	return wire
}

func (w wireDelta) delta() configuration.Delta {
	delta := configuration.Delta{From: w.From, To: w.To, Floor: w.Floor, Full: w.Full}
	for _, item := range w.Items {
		delta.Items = append(delta.Items, configuration.Item{
			Key:      configuration.Key{Kind: configuration.Kind(item.Kind), Name: item.Name},
			Revision: item.Revision, Deleted: item.Deleted, Value: item.Value,
		})
	}
	return delta
}
