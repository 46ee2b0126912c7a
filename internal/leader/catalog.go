package leader

import (
	"slices"

	"swiftledge/internal/peer"
	"swiftledge/internal/store"
	"swiftledge/wire"
)

// catalogLoaded applies the cloud's catalog of machine types. A changed catalog is stored, so that submissions can be
// validated while the cloud is unavailable, and sent to all connected controllers.
func (l *Leader) catalogLoaded(types []wire.MachineType) {
	if len(types) == 0 {
		return
	}
	sameType := func(a, b wire.MachineType) bool { return a.Name == b.Name && a.CPUs == b.CPUs }
	unchanged := slices.EqualFunc(types, l.autoscaler.catalog, sameType)
	l.setTypes(types)
	if unchanged {
		return
	}
	l.commit(store.PriorityReads, nil, nil, []wire.Write{put(CatalogKey, wire.Catalog{Types: types})})
	for _, c := range l.controllersByName() {
		l.emit(SendToHolder{c.link, peer.FromLeader{Term: l.term, Types: types}})
	}
}

// setTypes replaces the machine types, including those of the known machines.
func (l *Leader) setTypes(types []wire.MachineType) {
	l.autoscaler.catalog = types
	for _, machineType := range types {
		l.autoscaler.types[machineType.Name] = machineType
	}
	for _, m := range l.inventory.machines {
		m.option.Type = l.autoscaler.types[m.option.Type.Name]
	}
}
