package main

import (
	"encoding/binary"
	"fmt"
	"math/bits"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"
)

// Times of the case of foreign entries in the place of readers.
const (
	// cycles is how often the target goes down and comes back, and oddReturnDown how long it is down.
	cycles        = 4
	oddReturnDown = 3700 * time.Millisecond
	// minWarmTime and maxWarmTime bound the random time for which the target is up before it goes
	// down, and coldTime is how long it is watched after its return.
	minWarmTime = time.Second
	maxWarmTime = 2500 * time.Millisecond
	coldTime    = 2300 * time.Millisecond
	// maxMachines is the number of addresses in each zone among which the other writer's is chosen.
	maxMachines = 100
)

// runOddReaders lets a zone's target come back cold again and again while the store serves. Before, another
// writer adds an entry in each zone, with an address of its own.
func runOddReaders(s *system, trouble bool) (bool, error) {
	const service = "campaign-desk"
	s.seeds = []string{s.at(s.host(0, 1), s.ports.control).String()}
	s.store.put("op/config", newDesiredState(s, service, coldPerS))
	members, front, err := startDeployment(s, service, coldStart)
	if err != nil {
		return false, err
	}
	clients, err := startClient(s.at(s.host(0, 100), s.ports.datagram), front, s.record)
	if err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	if trouble {
		putForeignEntries(s, members)
	}
	var load sync.WaitGroup
	load.Go(func() { sendLoad(clients, s, time.Now().Add(cycles*(maxWarmTime+oddReturnDown+coldTime))) })
	broken := false
	for range cycles {
		time.Sleep(minWarmTime + rand.N(maxWarmTime-minWarmTime))
		s.record.note("the target of %s goes down", s.zones[0])
		members[0].crashTarget()
		time.Sleep(oddReturnDown)
		s.record.note("the target of %s is back, cold", s.zones[0])
		if err := members[0].startTarget(); err != nil {
			return false, err
		}
		returned := members[0].current()
		time.Sleep(coldTime)
		broken = judgeCold(s.record, returned) || broken
	}
	load.Wait()
	return broken, nil
}

// putForeignEntries writes one entry of another writer in each zone, with a service that no desired state
// names and an address at which nobody listens.
func putForeignEntries(s *system, members []*member) {
	for zone, name := range s.zones {
		address := foreignAddress(s, byte(zone), members[zone].address())
		s.store.put(fmt.Sprintf("servers/other-%d", zone), entry{
			Service: "node-exporter", Address: s.at(address, s.ports.app).String(), Zone: name, Version: "v1", Slots: 1, State: "ready",
			Sequence: 1, Born: time.Now().UnixMilli(),
		})
		s.record.note("trouble: another writer's entry names %s, with a service that no desired state names", address)
	}
}

// foreignAddress returns an address in a zone at which nobody listens. Of those it takes the one whose
// agent would come first in the order in which agents read the store.
func foreignAddress(s *system, zone byte, target netip.Addr) netip.Addr {
	first := target
	for number := range byte(maxMachines) {
		if address := s.host(zone, maxMachines+number); instanceID(address) < instanceID(first) {
			first = address
		}
	}
	return first
}

// Primes of xxHash64.
const (
	prime1 = 0x9E3779B185EBCA87
	prime2 = 0xC2B2AE3D27D4EB4F
	prime3 = 0x165667B19E3779F9
	prime4 = 0x85EBCA77C2B2AE63
	prime5 = 0x27D4EB2F165667C5
)

// instanceID returns the number by which the system orders its processes: the xxHash64 of their name, which
// is the address of an agent, with fewer than 32 bytes.
func instanceID(address netip.Addr) uint64 {
	rest := []byte(address.String())
	hash := uint64(prime5) + uint64(len(rest))
	for ; len(rest) >= 8; rest = rest[8:] {
		hash ^= bits.RotateLeft64(binary.LittleEndian.Uint64(rest)*prime2, 31) * prime1
		hash = bits.RotateLeft64(hash, 27)*prime1 + prime4
	}
	if len(rest) >= 4 {
		hash ^= uint64(binary.LittleEndian.Uint32(rest)) * prime1
		hash = bits.RotateLeft64(hash, 23)*prime2 + prime3
		rest = rest[4:]
	}
	for _, b := range rest {
		hash = bits.RotateLeft64(hash^uint64(b)*prime5, 11) * prime1
	}
	hash = (hash ^ hash>>33) * prime2
	hash = (hash ^ hash>>29) * prime3
	return hash ^ hash>>32
}
