package benchmarker

import "fmt"

// Assumptions for what neither the target nor the code defines.
const (
	todayChangesPerDay   = 20
	targetChangesPerDay  = 4600
	todayCallsPerSecond  = 10
	targetCallsPerSecond = 110
	keyWindowSeconds     = 3600
	restartsPerDay       = 620 + 17
	// todayRequestsPerSecond and targetRequestsPerSecond are totals over all instances.
	todayRequestsPerSecond  = 20
	targetRequestsPerSecond = 11_000
	// targetModels times subsetSize is the number of engines whose load a node estimates when every data centre runs all
	// models.
	targetModels = 37
	subsetSize   = 24
	// claimShards is three for each data centre; ten nodes follow each shard.
	claimShards = 36
	// nodesPerDataCentre is the number of instances in each data centre of the target.
	nodesPerDataCentre = targetInstances / dataCentres
)

// Budgets of one node for control traffic and its processing. The processor budget is in nanoseconds a second.
const (
	budgetBytesPerSecond = 9000
	budgetCPU            = 0.024e9
	budgetMemoryBytes    = 128e6
)

// demand holds the resources that one activity of a role takes: bytes in and out, messages and processor nanoseconds a
// second, and bytes of memory.
type demand struct {
	line     string
	in, out  float64
	messages float64
	cpu      float64
	memory   float64
}

// scenario is a deployment size for which the demands of the roles are projected. Rates are per second.
type scenario struct {
	name                                 string
	engines, listedMembers, callers      float64
	changes, calls, keys, orderedEngines float64
	idleRates                            appendRates
	// loadRates are the rates of appends under calls, idleRates those without.
	loadRates        appendRates
	requests         float64
	estimatedEngines float64
}

// projectRoles prints the projected demands of each role at today's size and at the target's, from the measured fits.
func (s *Benchmarker) projectRoles() {
	today := scenario{
		name: "today", engines: todayUpstreams, listedMembers: todayUpstreams + todayInstances, callers: todayCallers,
		changes: todayChangesPerDay / 86_400.0, calls: todayCallsPerSecond, keys: todayCallsPerSecond * keyWindowSeconds,
		orderedEngines: todayUpstreams, idleRates: s.appendRates[appendRatesKey(todayInstances, todayScopes, 0)],
		loadRates: s.appendRates[appendRatesKey(30, todayScopes, todayCallsPerSecond)],
		requests:  todayRequestsPerSecond / float64(todayInstances), estimatedEngines: todayUpstreams,
	}
	target := scenario{
		name: "targetAsBuilt", engines: targetServers, listedMembers: targetServers + targetInstances, callers: targetCallers,
		changes: targetChangesPerDay / 86_400.0, calls: targetCallsPerSecond, keys: targetCallsPerSecond * keyWindowSeconds,
		orderedEngines: targetServers, idleRates: s.appendRates[appendRatesKey(todayInstances, targetScopes, 0)],
		loadRates: s.appendRates[appendRatesKey(30, todayScopes, targetCallsPerSecond)],
		requests:  targetRequestsPerSecond / float64(targetInstances), estimatedEngines: targetModels * subsetSize,
	}
	if today.idleRates.appends == 0 || today.loadRates.appends == 0 ||
		s.figures["reportJSONBytes"] == 0 || len(s.fits) == 0 {
		s.fail("project roles", fmt.Errorf("all other parts must run first"))
		return
	}
	for _, sc := range []scenario{today, target} {
		s.writeDemands("entry", sc.name, s.entryDemands(sc))
		s.writeDemands("leaseHolder", sc.name, s.holderDemands(sc))
		s.writeDemands("entryData", sc.name, s.routingDemands(sc))
	}
	planned := s.mechanismDemands(target)
	s.writeDemands("entry", "targetWithMechanisms", planned)
	s.writeDemands("relay", "targetWithMechanisms", relayDemands(planned, nodesPerDataCentre-1))
	s.writeDemands("sharedRelay", "targetWithMechanisms", relayDemands(planned, 1))
	s.writeDemands("engine", "today", s.engineDemands(todayInstances))
	s.writeDemands("engine", "targetAsBuilt", s.engineDemands(targetInstances))
}

// predict returns the fitted value of a measured series at a size, at least zero.
func (s *Benchmarker) predict(name string, size float64) float64 {
	return max(0, s.fits[name].predict(size))
}

// slope returns the growth of a measured series for each unit of size.
func (s *Benchmarker) slope(name string) float64 { return s.fits[name].slope }

// readTraffic returns the traffic of a rate of log reads that deliver recordBytes a second.
func (s *Benchmarker) readTraffic(reads, recordBytes float64) (in, out float64) {
	f := s.fits["logReadBytesIn"]
	return reads*f.intercept + recordBytes*f.slope, reads * s.figures["logReadBytesOut"]
}

// Rates at which an instance polls each engine, as in the daemon's package watcher.
const (
	reportReadsPerSecond     = 2
	cacheEventReadsPerSecond = 0.5
)

// entryDemands returns the control demands of an entry instance with today's code.
func (s *Benchmarker) entryDemands(sc scenario) []demand {
	polls := reportReadsPerSecond * sc.engines
	cachePolls := cacheEventReadsPerSecond * sc.engines
	reports := demand{
		line: "loadReports", in: polls * s.figures["reportExchangeIn"], out: polls * s.figures["reportExchangeOut"], messages: polls,
		cpu: polls * (s.slope("decodeReportsJSONCPU") + s.figures["takeReportCPU"]),
	}
	events := demand{
		line: "cacheEvents", in: cachePolls * s.figures["emptyCacheExchangeIn"], out: cachePolls * s.figures["emptyCacheExchangeOut"],
		messages: cachePolls,
	}
	list := demand{
		line: "instanceList", in: s.predict("listingBytes", sc.listedMembers), messages: 1,
		cpu: s.predict("decodeListingCPU", sc.listedMembers),
	}
	return append([]demand{reports, events, list}, s.logDemands(sc)...)
}

// logDemands returns the demands of following the log.
func (s *Benchmarker) logDemands(sc scenario) []demand {
	leases := demand{
		line: "leaseRecords", messages: sc.idleRates.leases,
		cpu: sc.idleRates.leaseBytes / s.figures["renewalRecordBytes"] * s.slope("foldRenewalsCPU"),
	}
	leases.in, leases.out = s.readTraffic(sc.idleRates.leases, sc.idleRates.leaseBytes)
	snapshots := demand{line: "snapshots", messages: sc.idleRates.snapshots}
	size := s.predict("snapshotBytes", sc.callers) + s.predict("orderedEngineSnapshotBytes", sc.orderedEngines)
	snapshots.in, snapshots.out = s.readTraffic(
		sc.idleRates.snapshots, sc.idleRates.snapshots*size+sc.idleRates.snapshotBytes,
	)
	changes := demand{
		line: "configuration", messages: sc.changes, cpu: sc.changes * s.changeCPU(sc.callers),
		memory: s.predict("configurationMemory", sc.callers) + s.predict("indexDocumentMemory", sc.callers) + s.predict("callerLimitMemory", sc.callers),
	}
	changes.in, changes.out = s.readTraffic(sc.changes, sc.changes*s.predict("sectionDeltaBytes", sc.callers))
	orders := demand{line: "orderedEngines", memory: s.predict("orderedEngineMemory", sc.orderedEngines)}
	claims := demand{
		line: "claims", messages: sc.loadRates.appends - sc.loadRates.leases,
		cpu: sc.calls * s.slope("foldClaimsCPU"), memory: s.predict("keyMemory", sc.keys),
	}
	claims.in, claims.out = s.readTraffic(claims.messages, sc.loadRates.claimBytes)
	return []demand{leases, snapshots, changes, orders, claims}
}

// changeCPU returns the processor time of one configuration change: applying it, rebuilding the classifier and setting
// the limits of all callers again.
func (s *Benchmarker) changeCPU(callers float64) float64 {
	return s.predict("foldChangeCPU", callers) + s.predict("indexDocumentCPU", callers) + s.predict("setAllLimitsCPU", callers)
}

// holderDemands returns the additional demands of a lease holder.
func (s *Benchmarker) holderDemands(sc scenario) []demand {
	size := s.predict("snapshotBytes", sc.callers) + s.predict("orderedEngineSnapshotBytes", sc.orderedEngines)
	bytesPerRecordByte := s.slope("logReadBytesIn")
	return []demand{
		{line: "renewals", out: sc.idleRates.leaseBytes * bytesPerRecordByte, messages: sc.idleRates.leases},
		{
			line: "snapshots", out: sc.idleRates.snapshots * size * bytesPerRecordByte, messages: sc.idleRates.snapshots,
			cpu: sc.idleRates.snapshots * s.predict("encodeSnapshotCPU", sc.callers), memory: size,
		},
	}
}

// routingDemands returns the demands of an entry instance for routing requests.
func (s *Benchmarker) routingDemands(sc scenario) []demand {
	cpuPerRequest := s.predict("requestCPUWhole", sc.estimatedEngines)
	if sc.estimatedEngines > subsetSize {
		cpuPerRequest = s.predict("requestCPUModels", sc.estimatedEngines/subsetSize)
	}
	return []demand{{
		line: "routing", messages: sc.requests, cpu: sc.requests * cpuPerRequest,
		memory: sc.estimatedEngines * (s.slope("schedulerMemoryWhole") + s.predict("prefixMemory", 1024)),
	}}
}

// mechanismDemands returns the control demands of an entry instance at the target once all planned mechanisms exist:
// binary load reports that a subset of engines attaches to its answers, a relay over the protocol between instances,
// snapshots in a separate stream, and claim shards.
func (s *Benchmarker) mechanismDemands(sc scenario) []demand {
	overhead := s.figures["relayReplyOverhead"]
	relayed := func(reads, bytes float64) float64 { return reads*overhead + bytes }
	demands := s.logDemands(sc)
	leases, changes, orders, claims := demands[0], demands[2], demands[3], demands[4]
	leases.in, leases.out = relayed(sc.idleRates.leases, sc.idleRates.leaseBytes), 0
	changes.in, changes.out = relayed(sc.changes, sc.changes*s.predict("sectionDeltaBytes", sc.callers)), 0
	claims.messages /= claimShards
	claims.in, claims.out = relayed(claims.messages, sc.loadRates.claimBytes/claimShards), 0
	claims.cpu /= claimShards
	claims.memory /= claimShards
	departures := 2.0 * restartsPerDay / 86_400
	return []demand{
		{
			line: "loadReports", in: subsetSize * s.figures["reportBinaryBytes"], messages: subsetSize,
			cpu: subsetSize * (s.slope("decodeReportsBinaryCPU") + s.figures["takeReportCPU"]),
		},
		{line: "instanceList", in: departures * s.slope("listingBytes"), messages: departures, cpu: departures * s.slope("decodeListingCPU")},
		leases, changes, orders, claims,
	}
}

// relayDemands returns the demands of an entry instance that also relays the log's records to other instances.
func relayDemands(demands []demand, others float64) []demand {
	relaying := make([]demand, len(demands))
	for i, d := range demands {
		relaying[i] = d
		if d.line != "loadReports" {
			relaying[i].out = others * d.in
			relaying[i].messages += others * d.messages
		}
	}
	return relaying
}

// engineDemands returns the demands of one engine for answering the polls of all instances.
func (s *Benchmarker) engineDemands(instances float64) []demand {
	polls := reportReadsPerSecond * instances
	cachePolls := cacheEventReadsPerSecond * instances
	return []demand{
		{line: "loadReports", in: polls * s.figures["reportExchangeOut"], out: polls * s.figures["reportExchangeIn"], messages: polls},
		{line: "cacheEvents", in: cachePolls * s.figures["emptyCacheExchangeOut"], out: cachePolls * s.figures["emptyCacheExchangeIn"], messages: cachePolls},
	}
}

// writeDemands prints the demands of a role and their total, also as shares of the budgets of a node.
func (s *Benchmarker) writeDemands(role, size string, demands []demand) {
	total := demand{line: "total"}
	for _, d := range demands {
		total.in += d.in
		total.out += d.out
		total.messages += d.messages
		total.cpu += d.cpu
		total.memory += d.memory
	}
	for _, d := range append(demands, total) {
		fmt.Fprintf(s.output, "role=%s size=%s line=%s inBytesPerSecond=%.0f outBytesPerSecond=%.0f messagesPerSecond=%.3f coreShare=%.5f memoryBytes=%.0f "+
			"ofBytes=%.3f ofCPU=%.3f ofMemory=%.3f\n",
			role, size, d.line, d.in, d.out, d.messages, d.cpu/1e9, d.memory,
			(d.in+d.out)/budgetBytesPerSecond, d.cpu/budgetCPU, d.memory/budgetMemoryBytes)
	}
}
