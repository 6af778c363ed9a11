package conf

const maxSeats = 1024

// Domain is a failure domain, as the settings describe it.
type Domain struct {
	name   string
	region string
	seats  int
}

// Name is unique in the fleet.
func (d Domain) Name() string { return d.name }

// Region is the region that the failure domain lies in.
func (d Domain) Region() string { return d.region }

// Seats is the number of numbered seats. Each owns an equal fixed part of what
// the failure domain owns of rates, bursts and connections.
func (d Domain) Seats() int { return d.seats }

func parseDomain(l location, o *object) value {
	return Domain{
		name:   l.name,
		region: take(o, name("region").require()),
		seats:  take(o, integer("seats", 1, maxSeats).require()),
	}
}

func (d Domain) join(f *Fleet) Problems {
	f.domains = append(f.domains, d)
	return nil
}
