//go:build review

package main

import "time"

// writeForeignEntry lets a target drain while another writer has written an incomplete entry with its
// address. The target must get no new flows when the bound has passed.
func writeForeignEntry(f *fleet, trouble bool) error {
	orders := route{host: "198.18.0.1", kind: "unsafe", service: "orders"}
	f.putConfig(1, []route{orders}, map[string]float64{"orders": 0})
	if err := startFleet(f, "orders", 2); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	all, result, err := traffic(f, orders, 20, stop)
	if err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	leaving := f.sides()[0].target
	if trouble {
		f.store.put("servers/other", map[string]any{
			"service": "orders", "address": leaving.conn.LocalAddr().String(), "zone": leaving.zone, "state": "ready", "born": time.Now().UnixMilli(),
		})
		f.record("another writer writes an entry with the address of %s, without slots, version, sequence and cold-remaining-ms", leaving.name)
	}
	time.Sleep(2 * time.Second)
	leaving.mu.Lock()
	leaving.state = "draining"
	leaving.mu.Unlock()
	leaving.writeEntry()
	at := time.Now()
	f.record("the store confirms that %s is draining", leaving.name)
	f.onOpening = func(id ends, t *target, now time.Time) {
		if t == leaving && now.After(at.Add(drainBound)) {
			f.violation("DRAIN: flow %v reaches %s %v after it was confirmed to be draining", id.client, t.name, now.Sub(at).Round(time.Millisecond))
		}
	}
	time.Sleep(8 * time.Second)
	f.record("%s has drained and ends", leaving.name)
	leaving.stop()
	f.store.remove("servers/" + leaving.name)
	time.Sleep(4 * time.Second)
	close(stop)
	all.Wait()
	f.record("%s", result)
	return nil
}
