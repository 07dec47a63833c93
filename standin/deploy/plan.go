package deploy

import (
	"fmt"

	"github.com/limpetdock/limpetdock/fleet"
)

// Ports and link delays of a deployment. Every VM has its own loopback IP.
const (
	callersPort  = 7100
	adminPort    = 7400
	backendPort  = 8000
	platformPort = 8500
	relayPort    = 8600
	// One-way delays in milliseconds, as stated in the requirements.
	betweenZonesMs   = 1.5
	betweenRegionsMs = 8
)

// network is the second octet of all addresses of a deployment. Deployments
// with different networks can run on one machine.
type network int

func (n network) platform() string { return fmt.Sprintf("127.%d.0.1:%d", n, platformPort) }

func (n network) relayAdmin(zoneNo int) string {
	return fmt.Sprintf("127.%d.0.%d:%d", n, 1+zoneNo, relayPort)
}

// VM is one VM of a deployment.
type VM struct {
	Name, Service, Region, Zone string
	Slots                       int
	net                         network
	zoneNo, index               int
}

// IP returns the VM's own address.
func (p VM) IP() string { return fmt.Sprintf("127.%d.%d.%d", p.net, p.zoneNo, p.index) }

const (
	firstRelayNet = 100
	maxZones      = 11
)

// addressFrom returns the address under which a zone reaches the VM: the VM's
// own address within its zone, otherwise that of the zone's relay.
func (p VM) addressFrom(zoneNo int) string {
	if zoneNo == p.zoneNo {
		return p.IP()
	}
	link := (zoneNo-1)*maxZones + p.zoneNo - 1
	return fmt.Sprintf("127.%d.%d.%d", p.net, firstRelayNet+link, p.index)
}

// Guard returns the address on which the node accepts requests from other nodes' entries.
func (p VM) Guard(f fleet.Fleet) string { return fmt.Sprintf("%s:%d", p.IP(), f.Ports.Guard) }

// Control returns the address on which the node accepts messages of other nodes.
func (p VM) Control(f fleet.Fleet) string { return fmt.Sprintf("%s:%d", p.IP(), f.Ports.Control) }

// Callers returns the address on which the node accepts callers' requests.
func (p VM) Callers() string { return fmt.Sprintf("%s:%d", p.IP(), callersPort) }

// Admin returns the address of the node's administration API.
func (p VM) Admin() string { return fmt.Sprintf("%s:%d", p.IP(), adminPort) }

// Backend returns the address of the backend server stand-in.
func (p VM) Backend() string { return fmt.Sprintf("%s:%d", p.IP(), backendPort) }

// plan returns the VMs of a fleet and the numbers of its zones, from 1.
func plan(n network, f fleet.Fleet) ([]VM, map[string]int) {
	zones := map[string]int{}
	regions := map[string]string{}
	for i, z := range f.Zones {
		zones[z.Name] = i + 1
		regions[z.Name] = z.Region
	}
	var vms []VM
	inZone := map[string]int{}
	for _, s := range f.Services {
		for _, t := range s.Targets {
			inZone[t.Zone]++
			vms = append(vms, VM{
				Name: t.VM, Service: s.Name, Region: regions[t.Zone], Zone: t.Zone, Slots: t.Slots,
				net: n, zoneNo: zones[t.Zone], index: inZone[t.Zone],
			})
		}
	}
	return vms, zones
}

// RelayRoute is an entry of a relay's routes file.
type RelayRoute struct {
	Listen  string  `json:"listen"`
	Target  string  `json:"target"`
	From    string  `json:"from"`
	To      string  `json:"to"`
	DelayMs float64 `json:"delay_ms"`
}

// routes returns the routes of one zone's relay.
func routes(f fleet.Fleet, vms []VM, zones map[string]int, from string) []RelayRoute {
	region := map[string]string{}
	for _, z := range f.Zones {
		region[z.Name] = z.Region
	}
	var list []RelayRoute
	for _, p := range vms {
		if p.Zone == from {
			continue
		}
		delay := float64(betweenZonesMs)
		if region[from] != p.Region {
			delay = betweenRegionsMs
		}
		for _, port := range []int{f.Ports.Guard, f.Ports.Control} {
			list = append(list, RelayRoute{
				Listen: fmt.Sprintf("%s:%d", p.addressFrom(zones[from]), port),
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

func settings(f fleet.Fleet, p VM, seeds string) string {
	return fmt.Sprintf(settingsText, p.Name, f.Name, p.Region, p.Zone, p.Callers(),
		p.IP(), f.Ports.Guard, p.IP(), f.Ports.Control, p.Admin(), p.Backend(), p.net.platform(), p.Zone, seeds)
}
