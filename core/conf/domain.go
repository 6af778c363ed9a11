package conf

import "coltsfootloft/core/seat"

const maxSeats = seat.MaxSeats

// Domain is a failure domain with its settings.
type Domain struct {
	name   string
	region string
	seats  int
}

// Name is unique in the fleet.
func (d Domain) Name() string { return d.name }

// Region is the name of the region that contains the failure domain.
func (d Domain) Region() string { return d.region }

// Seats is the number of seats of the failure domain. Each owns an equal fixed part
// of the rates, bursts and connections that the failure domain owns.
func (d Domain) Seats() int { return d.seats }

func parseDomain(l location, o *object) value {
	return Domain{
		name:   l.name,
		region: take(o, nameField("region").require()),
		seats:  take(o, integer("seats", 1, maxSeats).require()),
	}
}

func (d Domain) addTo(f *Fleet) Problems {
	f.domains = append(f.domains, d)
	return nil
}
