package confg

import "apricotproxy/core"

// usable is what of a service may take new work: endpoints that are not
// leaving, in data centres in service.
type usable struct {
	Endpoints int
	WarmSlots int
}

func usableOf(config core.Config) map[core.ServiceName]usable {
	inService := make(map[core.DataCentreName]bool, len(config.DataCentres))
	for _, dataCentre := range config.DataCentres {
		inService[dataCentre.Name] = dataCentre.InService
	}
	result := make(map[core.ServiceName]usable, len(config.Services))
	for _, endpoint := range config.Endpoints {
		if endpoint.Leaving || !inService[endpoint.DataCentre] {
			continue
		}
		sum := result[endpoint.Service]
		sum.Endpoints++
		sum.WarmSlots += endpoint.WarmSlots
		result[endpoint.Service] = sum
	}
	return result
}

// usable tells how much of each service is left, where that changes.
func (d *differ) usable(old, next core.Config) {
	before, after := usableOf(old), usableOf(next)
	for _, service := range next.Services {
		was, is := before[service.Name], after[service.Name]
		switch {
		case was == is:
		case is.Endpoints == 0:
			d.add(PartServices, "leaves %s no endpoint in service: its requests are refused", service.Name)
		default:
			d.add(PartServices, "gives %s %d endpoints in service with %d warm slots (before: %d with %d)",
				service.Name, is.Endpoints, is.WarmSlots, was.Endpoints, was.WarmSlots)
		}
	}
}
