package deploy

import (
	"fmt"

	"github.com/limpetdock/limpetdock/fleet"
)

// Ports of a deployment; every VM has an IP of its own on the loopback network.
const (
	callersPort  = 7100
	adminPort    = 7400
	backendPort  = 8000
	platformPort = 8500
	relayPort    = 8600
	// One way, in milliseconds, as the brief gives them.
	betweenZonesMs   = 1.5
	betweenRegionsMs = 8
)

// network is the second octet of every address of a deployment, so that
// several can run on one machine.
type network int

func (n network) platform() string { return fmt.Sprintf("127.%d.0.1:%d", n, platformPort) }

func (n network) relayAdmin(zoneNo int) string {
	return fmt.Sprintf("127.%d.0.%d:%d", n, 1+zoneNo, relayPort)
}

// Place is one VM of a deployment.
type Place struct {
	VM, Service, Region, Zone string
	Slots                     int
	net                       network
	zoneNo, no                int
}

// IP is the VM's own address.
func (p Place) IP() string { return fmt.Sprintf("127.%d.%d.%d", p.net, p.zoneNo, p.no) }

const (
	firstRelayNet = 100
	maxZones      = 11
)

// seenFrom is the address of the VM in a zone: its own, or its relay's.
func (p Place) seenFrom(zoneNo int) string {
	if zoneNo == p.zoneNo {
		return p.IP()
	}
	link := (zoneNo-1)*maxZones + p.zoneNo - 1
	return fmt.Sprintf("127.%d.%d.%d", p.net, firstRelayNet+link, p.no)
}

// Callers, Admin and Backend are the addresses of the VM's processes.
func (p Place) Callers() string { return fmt.Sprintf("%s:%d", p.IP(), callersPort) }

// Admin is the address of the node's administration API.
func (p Place) Admin() string { return fmt.Sprintf("%s:%d", p.IP(), adminPort) }

// Backend is the address of the backend server stand-in.
func (p Place) Backend() string { return fmt.Sprintf("%s:%d", p.IP(), backendPort) }

// plan lists the VMs of a fleet, with its zones numbered from 1.
func plan(n network, f fleet.Fleet) ([]Place, map[string]int) {
	zones := map[string]int{}
	regions := map[string]string{}
	for i, z := range f.Zones {
		zones[z.Name] = i + 1
		regions[z.Name] = z.Region
	}
	var places []Place
	inZone := map[string]int{}
	for _, s := range f.Services {
		for _, t := range s.Targets {
			inZone[t.Zone]++
			places = append(places, Place{
				VM: t.VM, Service: s.Name, Region: regions[t.Zone], Zone: t.Zone, Slots: t.Slots,
				net: n, zoneNo: zones[t.Zone], no: inZone[t.Zone],
			})
		}
	}
	return places, zones
}

// RelayRoute is a row of a relay's routes, as the relay reads it.
type RelayRoute struct {
	Listen  string  `json:"listen"`
	Target  string  `json:"target"`
	From    string  `json:"from"`
	To      string  `json:"to"`
	DelayMs float64 `json:"delay_ms"`
}

// routes lists what the relay of one zone passes on.
func routes(f fleet.Fleet, places []Place, zones map[string]int, from string) []RelayRoute {
	region := map[string]string{}
	for _, z := range f.Zones {
		region[z.Name] = z.Region
	}
	var list []RelayRoute
	for _, p := range places {
		if p.Zone == from {
			continue
		}
		delay := float64(betweenZonesMs)
		if region[from] != p.Region {
			delay = betweenRegionsMs
		}
		for _, port := range []int{f.Ports.Guard, f.Ports.Control} {
			list = append(list, RelayRoute{
				Listen: fmt.Sprintf("%s:%d", p.seenFrom(zones[from]), port),
				Target: fmt.Sprintf("%s:%d", p.IP(), port),
				From:   from, To: p.Zone, DelayMs: delay,
			})
		}
	}
	return list
}

const settingsText = `[node]
vm = %s
fleet = %s
region = %s
zone = %s

[listen]
callers = %s
guard = %s:%d
control = %s:%d
admin = %s

[backend]
url = http://%s

[platform]
url = http://%s/zone/%s
seeds = %s

[stop]
limit = 60s
`

func settings(f fleet.Fleet, p Place, seeds string) string {
	return fmt.Sprintf(settingsText, p.VM, f.Name, p.Region, p.Zone, p.Callers(),
		p.IP(), f.Ports.Guard, p.IP(), f.Ports.Control, p.Admin(), p.Backend(), p.net.platform(), p.Zone, seeds)
}
