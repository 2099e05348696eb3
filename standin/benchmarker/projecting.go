package benchmarker

import "fmt"

// Assumed values of quantities that neither the target nor the code defines.
const (
	todayChangesPerDay   = 20
	targetChangesPerDay  = 4600
	todayCallsPerSecond  = 10
	targetCallsPerSecond = 110
	keyWindowSeconds     = 3600
	// restartsPerDay counts 620 restarts and 17 failures of instances.
	restartsPerDay = 620 + 17
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
func (b *Benchmarker) projectRoles() {
	today := scenario{
		name: "today", engines: todayUpstreams, listedMembers: todayUpstreams + todayInstances, callers: todayCallers,
		changes: todayChangesPerDay / 86_400.0, calls: todayCallsPerSecond, keys: todayCallsPerSecond * keyWindowSeconds,
		orderedEngines: todayUpstreams, idleRates: b.appendRates[appendRatesKey(todayInstances, todayScopes, 0)],
		loadRates: b.appendRates[appendRatesKey(30, todayScopes, todayCallsPerSecond)],
		requests:  todayRequestsPerSecond / float64(todayInstances), estimatedEngines: todayUpstreams,
	}
	target := scenario{
		name: "targetAsBuilt", engines: targetServers, listedMembers: targetServers + targetInstances, callers: targetCallers,
		changes: targetChangesPerDay / 86_400.0, calls: targetCallsPerSecond, keys: targetCallsPerSecond * keyWindowSeconds,
		orderedEngines: targetServers, idleRates: b.appendRates[appendRatesKey(todayInstances, targetScopes, 0)],
		loadRates: b.appendRates[appendRatesKey(30, todayScopes, targetCallsPerSecond)],
		requests:  targetRequestsPerSecond / float64(targetInstances), estimatedEngines: targetModels * subsetSize,
	}
	if today.idleRates.appends == 0 || today.loadRates.appends == 0 ||
		b.figures["reportJSONBytes"] == 0 || len(b.fits) == 0 {
		b.fail("project roles", fmt.Errorf("all other parts must run first"))
		return
	}
	for _, sc := range []scenario{today, target} {
		b.writeDemands("entry", sc.name, b.entryDemands(sc))
		b.writeDemands("leaseHolder", sc.name, b.holderDemands(sc))
		b.writeDemands("entryData", sc.name, b.routingDemands(sc))
	}
	planned := b.mechanismDemands(target)
	b.writeDemands("entry", "targetWithMechanisms", planned)
	b.writeDemands("relay", "targetWithMechanisms", relayDemands(planned, nodesPerDataCentre-1))
	b.writeDemands("sharedRelay", "targetWithMechanisms", relayDemands(planned, 1))
	b.writeDemands("engine", "today", b.engineDemands(todayInstances))
	b.writeDemands("engine", "targetAsBuilt", b.engineDemands(targetInstances))
}

// predict returns the fitted value of a measured series at a size, at least zero.
func (b *Benchmarker) predict(name string, size float64) float64 {
	return max(0, b.fits[name].predict(size))
}

// slope returns the growth of a measured series for each unit of size.
func (b *Benchmarker) slope(name string) float64 { return b.fits[name].slope }

// readTraffic returns the traffic of a rate of log reads that deliver recordBytes a second.
func (b *Benchmarker) readTraffic(reads, recordBytes float64) (in, out float64) {
	f := b.fits["logReadBytesIn"]
	return reads*f.intercept + recordBytes*f.slope, reads * b.figures["logReadBytesOut"]
}

// Rates at which an instance polls each engine, as in the daemon's package poller.
const (
	reportReadsPerSecond     = 2
	cacheEventReadsPerSecond = 0.5
)

// entryDemands returns the control demands of an entry instance with today's code.
func (b *Benchmarker) entryDemands(sc scenario) []demand {
	polls := reportReadsPerSecond * sc.engines
	cachePolls := cacheEventReadsPerSecond * sc.engines
	reports := demand{
		line: "loadReports", in: polls * b.figures["reportExchangeIn"], out: polls * b.figures["reportExchangeOut"],
		messages: polls, cpu: polls * (b.slope("decodeReportsJSONCPU") + b.figures["takeReportCPU"]),
	}
	events := demand{
		line: "cacheEvents", in: cachePolls * b.figures["emptyCacheExchangeIn"],
		out: cachePolls * b.figures["emptyCacheExchangeOut"], messages: cachePolls,
	}
	list := demand{
		line: "instanceList", in: b.predict("listingBytes", sc.listedMembers), messages: 1,
		cpu: b.predict("decodeListingCPU", sc.listedMembers),
	}
	return append([]demand{reports, events, list}, b.logDemands(sc)...)
}

// logDemands returns the demands of following the log.
func (b *Benchmarker) logDemands(sc scenario) []demand {
	leases := demand{
		line: "leaseRecords", messages: sc.idleRates.leases,
		cpu: sc.idleRates.leaseBytes / b.figures["renewalRecordBytes"] * b.slope("foldRenewalsCPU"),
	}
	leases.in, leases.out = b.readTraffic(sc.idleRates.leases, sc.idleRates.leaseBytes)
	snapshots := demand{line: "snapshots", messages: sc.idleRates.snapshots}
	size := b.predict("snapshotBytes", sc.callers) + b.predict("orderedEngineSnapshotBytes", sc.orderedEngines)
	snapshots.in, snapshots.out = b.readTraffic(
		sc.idleRates.snapshots, sc.idleRates.snapshots*size+sc.idleRates.snapshotBytes,
	)
	changes := demand{
		line: "configuration", messages: sc.changes, cpu: sc.changes * b.changeCPU(sc.callers),
		memory: b.predict("configurationMemory", sc.callers) + b.predict("indexDocumentMemory", sc.callers) +
			b.predict("callerLimitMemory", sc.callers),
	}
	changes.in, changes.out = b.readTraffic(sc.changes, sc.changes*b.predict("sectionDeltaBytes", sc.callers))
	orders := demand{line: "orderedEngines", memory: b.predict("orderedEngineMemory", sc.orderedEngines)}
	claims := demand{
		line: "claims", messages: sc.loadRates.appends - sc.loadRates.leases,
		cpu: sc.calls * b.slope("foldClaimsCPU"), memory: b.predict("keyMemory", sc.keys),
	}
	claims.in, claims.out = b.readTraffic(claims.messages, sc.loadRates.claimBytes)
	return []demand{leases, snapshots, changes, orders, claims}
}

// changeCPU returns the processor time of one configuration change: applying it, rebuilding the classifier and setting
// the limits of all callers again.
func (b *Benchmarker) changeCPU(callers float64) float64 {
	return b.predict("foldChangeCPU", callers) + b.predict("indexDocumentCPU", callers) +
		b.predict("setAllLimitsCPU", callers)
}

// holderDemands returns the additional demands of a lease holder.
func (b *Benchmarker) holderDemands(sc scenario) []demand {
	size := b.predict("snapshotBytes", sc.callers) + b.predict("orderedEngineSnapshotBytes", sc.orderedEngines)
	bytesPerRecordByte := b.slope("logReadBytesIn")
	return []demand{
		{line: "renewals", out: sc.idleRates.leaseBytes * bytesPerRecordByte, messages: sc.idleRates.leases},
		{
			line: "snapshots", out: sc.idleRates.snapshots * size * bytesPerRecordByte, messages: sc.idleRates.snapshots,
			cpu: sc.idleRates.snapshots * b.predict("encodeSnapshotCPU", sc.callers), memory: size,
		},
	}
}

// routingDemands returns the demands of an entry instance for routing requests.
func (b *Benchmarker) routingDemands(sc scenario) []demand {
	cpuPerRequest := b.predict("requestCPUWhole", sc.estimatedEngines)
	if sc.estimatedEngines > subsetSize {
		cpuPerRequest = b.predict("requestCPUModels", sc.estimatedEngines/subsetSize)
	}
	return []demand{{
		line: "routing", messages: sc.requests, cpu: sc.requests * cpuPerRequest,
		memory: sc.estimatedEngines * (b.slope("schedulerMemoryWhole") + b.predict("prefixMemory", 1024)),
	}}
}

// mechanismDemands returns the control demands of an entry instance at the target once all planned mechanisms exist:
// binary load reports that a subset of engines attaches to its responses, a relay over the protocol between instances,
// snapshots in a separate stream, and claim shards.
func (b *Benchmarker) mechanismDemands(sc scenario) []demand {
	overhead := b.figures["relayReplyOverhead"]
	relayed := func(reads, bytes float64) float64 { return reads*overhead + bytes }
	demands := b.logDemands(sc)
	leases, changes, orders, claims := demands[0], demands[2], demands[3], demands[4]
	leases.in, leases.out = relayed(sc.idleRates.leases, sc.idleRates.leaseBytes), 0
	changes.in, changes.out = relayed(sc.changes, sc.changes*b.predict("sectionDeltaBytes", sc.callers)), 0
	claims.messages /= claimShards
	claims.in, claims.out = relayed(claims.messages, sc.loadRates.claimBytes/claimShards), 0
	claims.cpu /= claimShards
	claims.memory /= claimShards
	listChanges := 2.0 * restartsPerDay / 86_400
	return []demand{
		{
			line: "loadReports", in: subsetSize * b.figures["reportBinaryBytes"], messages: subsetSize,
			cpu: subsetSize * (b.slope("decodeReportsBinaryCPU") + b.figures["takeReportCPU"]),
		},
		{
			line: "instanceList", in: listChanges * b.slope("listingBytes"), messages: listChanges,
			cpu: listChanges * b.slope("decodeListingCPU"),
		},
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

// engineDemands returns the demands of one engine for responding to the polls of all instances.
func (b *Benchmarker) engineDemands(instances float64) []demand {
	polls := reportReadsPerSecond * instances
	cachePolls := cacheEventReadsPerSecond * instances
	return []demand{
		{
			line: "loadReports", in: polls * b.figures["reportExchangeOut"], out: polls * b.figures["reportExchangeIn"],
			messages: polls,
		},
		{
			line: "cacheEvents", in: cachePolls * b.figures["emptyCacheExchangeOut"],
			out: cachePolls * b.figures["emptyCacheExchangeIn"], messages: cachePolls,
		},
	}
}

// writeDemands prints the demands of a role and their total, also as shares of the budgets of a node.
func (b *Benchmarker) writeDemands(role, size string, demands []demand) {
	total := demand{line: "total"}
	for _, d := range demands {
		total.in += d.in
		total.out += d.out
		total.messages += d.messages
		total.cpu += d.cpu
		total.memory += d.memory
	}
	for _, d := range append(demands, total) {
		fmt.Fprintf(b.output,
			"role=%s size=%s line=%s inBytesPerSecond=%.0f outBytesPerSecond=%.0f messagesPerSecond=%.3f coreShare=%.5f memoryBytes=%.0f "+
				"ofBytes=%.3f ofCPU=%.3f ofMemory=%.3f\n",
			role, size, d.line, d.in, d.out, d.messages, d.cpu/1e9, d.memory,
			(d.in+d.out)/budgetBytesPerSecond, d.cpu/budgetCPU, d.memory/budgetMemoryBytes)
	}
}
