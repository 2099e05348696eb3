package surveyor

import "fmt"

// Assumptions where neither the target nor the code gives a figure.
const (
	todayChangesPerDay   = 20
	targetChangesPerDay  = 4600
	todayCallsPerSecond  = 10
	targetCallsPerSecond = 110
	keyWindowSeconds     = 3600
	restartsPerDay       = 620 + 17
	// todayRequests and targetRequests are a second's over all instances.
	todayRequestsPerSecond  = 20
	targetRequestsPerSecond = 11_000
	// targetModels times the usual subset is how many engines a node estimates when every data centre runs all models.
	targetModels = 37
	subsetSize       = 24
	// claimShards is three for each data centre, each followed by ten nodes.
	claimShards = 36
	// nodesOfCentre is the number of instances in one data centre of the target.
	nodesPerDataCentre = targetInstances / dataCentres
)

// Budgets of control for one node.
const (
	budgetBytesPerSecond  = 9000
	budgetCPU    = 0.024e9
	budgetMemoryBytes = 128e6
)

// demand is what one line of a role takes in a second, and the memory that it keeps.
type demand struct {
	line      string
	in, out   float64
	messages  float64
	cpu float64
	memory    float64
}

// setting is a size at which the roles are reckoned.
type scenario struct {
	name                          string
	engines, listedMembers, callers      float64
	changes, calls, keys, orderedEngines float64
	idleRates                         appendRates
	// callCount is the count under calls.
	loadRates appendRates
	requests  float64
	estimatedEngines float64
}

// reckonRoles prints what each role takes at today's size and at the target's, from the measured slopes.
func (s *Surveyor) projectRoles() {
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
	if today.idleRates.appends == 0 || today.loadRates.appends == 0 || s.figures["reportJSONBytes"] == 0 || len(s.fits) == 0 {
		s.fail("reckon roles", fmt.Errorf("needs all other parts before it"))
		return
	}
	for _, at := range []scenario{today, target} {
		s.writeDemands("entry", at.name, s.entryDemands(at))
		s.writeDemands("leaseHolder", at.name, s.holderDemands(at))
		s.writeDemands("entryData", at.name, s.routingDemands(at))
	}
	with := s.mechanismDemands(target)
	s.writeDemands("entry", "targetWithMechanisms", with)
	s.writeDemands("relay", "targetWithMechanisms", relayDemands(with, nodesPerDataCentre-1))
	s.writeDemands("sharedRelay", "targetWithMechanisms", relayDemands(with, 1))
	s.writeDemands("engine", "today", s.engineDemands(todayInstances))
	s.writeDemands("engine", "targetAsBuilt", s.engineDemands(targetInstances))
}

// at returns a measured series' value at a size, never below zero.
func (s *Surveyor) predict(name string, size float64) float64 { return max(0, s.fits[name].predict(size)) }

// perUnit returns a measured series' slope.
func (s *Surveyor) slope(name string) float64 { return s.fits[name].slope }

// read returns the bytes of reads that deliver some record bytes a second.
func (s *Surveyor) readTraffic(reads, recordBytes float64) (in, out float64) {
	f := s.fits["logReadBytesIn"]
	return reads*f.intercept + recordBytes*f.slope, reads * s.figures["logReadBytesOut"]
}

// How often an instance reads from each engine, a second, as package watcher of the daemon does.
const (
	reportReadsPerSecond     = 2
	cacheEventReadsPerSecond = 0.5
)

// entryDemands returns the control lines of an entry instance as it is built.
func (s *Surveyor) entryDemands(at scenario) []demand {
	polls := reportReadsPerSecond * at.engines
	cachePolls := cacheEventReadsPerSecond * at.engines
	reports := demand{
		line: "loadReports", in: polls * s.figures["reportExchangeIn"], out: polls * s.figures["reportExchangeOut"], messages: polls,
		cpu: polls * (s.slope("decodeReportsJSONCPU") + s.figures["takeReportCPU"]),
	}
	events := demand{
		line: "cacheEvents", in: cachePolls * s.figures["emptyCacheExchangeIn"], out: cachePolls * s.figures["emptyCacheExchangeOut"],
		messages: cachePolls,
	}
	list := demand{line: "instanceList", in: s.predict("listingBytes", at.listedMembers), messages: 1, cpu: s.predict("decodeListingCPU", at.listedMembers)}
	return append([]demand{reports, events, list}, s.logDemands(at)...)
}

// logDemands returns what following the log takes.
func (s *Surveyor) logDemands(at scenario) []demand {
	leases := demand{line: "leaseRecords", messages: at.idleRates.leases, cpu: at.idleRates.leaseBytes / s.figures["renewalRecordBytes"] * s.slope("foldRenewalsCPU")}
	leases.in, leases.out = s.readTraffic(at.idleRates.leases, at.idleRates.leaseBytes)
	snapshots := demand{line: "snapshots", messages: at.idleRates.snapshots}
	size := s.predict("snapshotBytes", at.callers) + s.predict("orderedEngineSnapshotBytes", at.orderedEngines)
	snapshots.in, snapshots.out = s.readTraffic(at.idleRates.snapshots, at.idleRates.snapshots*size+at.idleRates.snapshotBytes)
	changes := demand{
		line: "configuration", messages: at.changes, cpu: at.changes * s.changeCPU(at.callers),
		memory: s.predict("configurationMemory", at.callers) + s.predict("indexDocumentMemory", at.callers) + s.predict("callerLimitMemory", at.callers),
	}
	changes.in, changes.out = s.readTraffic(at.changes, at.changes*s.predict("sectionDeltaBytes", at.callers))
	orders := demand{line: "orderedEngines", memory: s.predict("orderedEngineMemory", at.orderedEngines)}
	claims := demand{
		line: "claims", messages: at.loadRates.appends - at.loadRates.leases,
		cpu: at.calls * s.slope("foldClaimsCPU"), memory: s.predict("keyMemory", at.keys),
	}
	claims.in, claims.out = s.readTraffic(claims.messages, at.loadRates.claimBytes)
	return []demand{leases, snapshots, changes, orders, claims}
}

// changeCPU returns what one change costs: its fold, the index and setting every limit anew.
func (s *Surveyor) changeCPU(callers float64) float64 {
	return s.predict("foldChangeCPU", callers) + s.predict("indexDocumentCPU", callers) + s.predict("setAllLimitsCPU", callers)
}

// holderDemands returns what a lease holder takes on top.
func (s *Surveyor) holderDemands(at scenario) []demand {
	size := s.predict("snapshotBytes", at.callers) + s.predict("orderedEngineSnapshotBytes", at.orderedEngines)
	growth := s.slope("logReadBytesIn")
	return []demand{
		{line: "renewals", out: at.idleRates.leaseBytes * growth, messages: at.idleRates.leases},
		{
			line: "snapshots", out: at.idleRates.snapshots * size * growth, messages: at.idleRates.snapshots,
			cpu: at.idleRates.snapshots * s.predict("encodeSnapshotCPU", at.callers), memory: size,
		},
	}
}

// dataDemands returns the routing of an entry instance.
func (s *Surveyor) routingDemands(at scenario) []demand {
	request := s.predict("requestCPUWhole", at.estimatedEngines)
	if at.estimatedEngines > subsetSize {
		request = s.predict("requestCPUModels", at.estimatedEngines/subsetSize)
	}
	return []demand{{
		line: "routing", messages: at.requests, cpu: at.requests * request,
		memory: at.estimatedEngines * (s.slope("schedulerMemoryWhole") + s.predict("prefixMemory", 1024)),
	}}
}

// mechanismDemands returns the control lines of an entry instance at the target once every mechanism is built: binary
// reports on answers from a subset, a relay over the peers' protocol, snapshots in a stream of their own, claim shards.
func (s *Surveyor) mechanismDemands(at scenario) []demand {
	overhead := s.figures["relayReplyOverhead"]
	relayed := func(reads, bytes float64) float64 { return reads*overhead + bytes }
	lines := s.logDemands(at)
	leases, changes, orders, claims := lines[0], lines[2], lines[3], lines[4]
	leases.in, leases.out = relayed(at.idleRates.leases, at.idleRates.leaseBytes), 0
	changes.in, changes.out = relayed(at.changes, at.changes*s.predict("sectionDeltaBytes", at.callers)), 0
	claims.messages /= claimShards
	claims.in, claims.out = relayed(claims.messages, at.loadRates.claimBytes/claimShards), 0
	claims.cpu /= claimShards
	claims.memory /= claimShards
	leavings := 2.0 * restartsPerDay / 86_400
	return []demand{
		{
			line: "loadReports", in: subsetSize * s.figures["reportBinaryBytes"], messages: subsetSize,
			cpu: subsetSize * (s.slope("decodeReportsBinaryCPU") + s.figures["takeReportCPU"]),
		},
		{line: "instanceList", in: leavings * s.slope("listingBytes"), messages: leavings, cpu: leavings * s.slope("decodeListingCPU")},
		leases, changes, orders, claims,
	}
}

// relayDemands returns the lines of an entry instance that also passes the log's records on to others.
func relayDemands(lines []demand, others float64) []demand {
	relaying := make([]demand, len(lines))
	for i, d := range lines {
		relaying[i] = d
		if d.line != "loadReports" {
			relaying[i].out = others * d.in
			relaying[i].messages += others * d.messages
		}
	}
	return relaying
}

// engineDemands returns what one engine's control side answers.
func (s *Surveyor) engineDemands(instances float64) []demand {
	polls := reportReadsPerSecond * instances
	cachePolls := cacheEventReadsPerSecond * instances
	return []demand{
		{line: "loadReports", in: polls * s.figures["reportExchangeOut"], out: polls * s.figures["reportExchangeIn"], messages: polls},
		{line: "cacheEvents", in: cachePolls * s.figures["emptyCacheExchangeOut"], out: cachePolls * s.figures["emptyCacheExchangeIn"], messages: cachePolls},
	}
}

// writeDemands prints the lines of a role and their sum against the budgets of a node.
func (s *Surveyor) writeDemands(role, size string, demands []demand) {
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
