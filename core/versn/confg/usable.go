package confg

import "apricotproxy/core"

// serviceCapacity is the part of a service that accepts new work: endpoints that
// are not leaving, in data centres that are in service.
type serviceCapacity struct {
	Endpoints int
	WarmSlots int
}

func capacityByService(config core.Config) map[core.ServiceName]serviceCapacity {
	inService := make(map[core.DataCentreName]bool, len(config.DataCentres))
	for _, dataCentre := range config.DataCentres {
		inService[dataCentre.Name] = dataCentre.InService
	}
	result := make(map[core.ServiceName]serviceCapacity, len(config.Services))
	for _, endpoint := range config.Endpoints {
		if endpoint.Leaving || !inService[endpoint.DataCentre] {
			continue
		}
		total := result[endpoint.Service]
		total.Endpoints++
		total.WarmSlots += endpoint.WarmSlots
		result[endpoint.Service] = total
	}
	return result
}

// capacity reports the services whose capacity changes.
func (d *differ) capacity(old, next core.Config) {
	before, after := capacityByService(old), capacityByService(next)
	for _, service := range next.Services {
		oldCapacity, newCapacity := before[service.Name], after[service.Name]
		switch {
		case oldCapacity == newCapacity:
		case newCapacity.Endpoints == 0:
			d.add(PartServices, "leaves %s no endpoint in service: its requests are refused", service.Name)
		default:
			d.add(PartServices, "gives %s %d endpoints in service with %d warm slots (before: %d with %d)",
				service.Name, newCapacity.Endpoints, newCapacity.WarmSlots, oldCapacity.Endpoints, oldCapacity.WarmSlots)
		}
	}
}
