package main

import (
	"fmt"

	"github.com/limpetdock/limpetdock/examples/deployments"
	"github.com/limpetdock/limpetdock/fleet"
)

// Ports of the demo; every VM has an IP of its own on the loopback network.
const (
	callersPort = 7100
	adminPort   = 7400
	backendPort = 8000
	platformIP  = "127.10.0.1"
	// One way, in milliseconds, as the brief gives them.
	betweenZonesMs   = 1.5
	betweenRegionsMs = 8
)

const platformAddr = platformIP + ":8500"

// place is one VM of the demo.
type place struct {
	vm, service, region, zone string
	zoneNo, no                int
	slots                     int
}

// ip is the VM's own address; seenFrom is its relay's address in another zone.
func (p place) ip() string { return fmt.Sprintf("127.10.%d.%d", p.zoneNo, p.no) }

func (p place) seenFrom(zoneNo int) string {
	if zoneNo == p.zoneNo {
		return p.ip()
	}
	const firstRelayNet = 20
	return fmt.Sprintf("127.%d.%d.%d", firstRelayNet+zoneNo, p.zoneNo, p.no)
}

func (p place) callers() string { return fmt.Sprintf("%s:%d", p.ip(), callersPort) }
func (p place) admin() string   { return fmt.Sprintf("%s:%d", p.ip(), adminPort) }
func (p place) backend() string { return fmt.Sprintf("%s:%d", p.ip(), backendPort) }

// plan lists the VMs of a fleet, with their zones numbered from 1.
func plan(f fleet.Fleet) ([]place, map[string]int) {
	zones := map[string]int{}
	regions := map[string]string{}
	for i, z := range f.Zones {
		zones[z.Name] = i + 1
		regions[z.Name] = z.Region
	}
	var places []place
	inZone := map[string]int{}
	for _, s := range f.Services {
		for _, t := range s.Targets {
			inZone[t.Zone]++
			places = append(places, place{
				vm: t.VM, service: s.Name, region: regions[t.Zone], zone: t.Zone,
				zoneNo: zones[t.Zone], no: inZone[t.Zone], slots: t.Slots,
			})
		}
	}
	return places, zones
}

// declared is the demo's fleet.
func declared() fleet.Fleet { return deployments.CestaViva(1).WithDefaults() }

// route is a row of a relay's routes, as the relay reads it.
type route struct {
	Listen  string  `json:"listen"`
	Target  string  `json:"target"`
	From    string  `json:"from"`
	To      string  `json:"to"`
	DelayMs float64 `json:"delay_ms"`
}

// routes lists what the relay of one zone passes on.
func routes(f fleet.Fleet, places []place, zones map[string]int, from string) []route {
	region := map[string]string{}
	for _, z := range f.Zones {
		region[z.Name] = z.Region
	}
	var list []route
	for _, p := range places {
		if p.zone == from {
			continue
		}
		delay := float64(betweenZonesMs)
		if region[from] != p.region {
			delay = betweenRegionsMs
		}
		for _, port := range []int{f.Ports.Guard, f.Ports.Control} {
			list = append(list, route{
				Listen: fmt.Sprintf("%s:%d", p.seenFrom(zones[from]), port),
				Target: fmt.Sprintf("%s:%d", p.ip(), port),
				From:   from, To: p.zone, DelayMs: delay,
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

func settings(f fleet.Fleet, p place, seeds string) string {
	return fmt.Sprintf(settingsText, p.vm, f.Name, p.region, p.zone, p.callers(),
		p.ip(), f.Ports.Guard, p.ip(), f.Ports.Control, p.admin(), p.backend(), platformAddr, p.zone, seeds)
}
