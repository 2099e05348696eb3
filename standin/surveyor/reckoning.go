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
	todayRequests  = 20
	targetRequests = 11_000
	// targetModels times the usual subset is how many engines a node estimates when every data centre runs all models.
	targetModels = 37
	subset       = 24
	// claimShards is three for each data centre, each followed by ten nodes.
	claimShards = 36
	// nodesOfCentre is the number of instances in one data centre of the target.
	nodesOfCentre = targetInstances / dataCentres
)

// Budgets of control for one node.
const (
	budgetBytes  = 9000
	budgetCPU    = 0.024e9
	budgetMemory = 128e6
)

// demand is what one line of a role takes in a second, and the memory that it keeps.
type demand struct {
	line      string
	in, out   float64
	messages  float64
	processor float64
	memory    float64
}

// setting is a size at which the roles are reckoned.
type setting struct {
	name                          string
	engines, listed, callers      float64
	changes, calls, keys, ordered float64
	count                         count
	// callCount is the count under calls.
	callCount count
	requests  float64
	estimated float64
}

// reckonRoles prints what each role takes at today's size and at the target's, from the measured slopes.
func (s *Surveyor) reckonRoles() {
	today := setting{
		name: "today", engines: todayUpstreams, listed: todayUpstreams + todayInstances, callers: todayCallers,
		changes: todayChangesPerDay / 86_400.0, calls: todayCallsPerSecond, keys: todayCallsPerSecond * keyWindowSeconds,
		ordered: todayUpstreams, count: s.counts[countName(todayInstances, todayScopes, 0)],
		callCount: s.counts[countName(30, todayScopes, todayCallsPerSecond)],
		requests:  todayRequests / float64(todayInstances), estimated: todayUpstreams,
	}
	target := setting{
		name: "targetAsBuilt", engines: targetServers, listed: targetServers + targetInstances, callers: targetCallers,
		changes: targetChangesPerDay / 86_400.0, calls: targetCallsPerSecond, keys: targetCallsPerSecond * keyWindowSeconds,
		ordered: targetServers, count: s.counts[countName(todayInstances, targetScopes, 0)],
		callCount: s.counts[countName(30, todayScopes, targetCallsPerSecond)],
		requests:  targetRequests / float64(targetInstances), estimated: targetModels * subset,
	}
	if today.count.appends == 0 || today.callCount.appends == 0 || s.figures["reportJSONBytes"] == 0 || len(s.fits) == 0 {
		s.fail("reckon roles", fmt.Errorf("needs all other parts before it"))
		return
	}
	for _, at := range []setting{today, target} {
		s.writeDemands("entry", at.name, s.entryDemands(at))
		s.writeDemands("leaseHolder", at.name, s.holderDemands(at))
		s.writeDemands("entryData", at.name, s.dataDemands(at))
	}
	with := s.mechanismDemands(target)
	s.writeDemands("entry", "targetWithMechanisms", with)
	s.writeDemands("relay", "targetWithMechanisms", relayDemands(with, nodesOfCentre-1))
	s.writeDemands("sharedRelay", "targetWithMechanisms", relayDemands(with, 1))
	s.writeDemands("engine", "today", s.engineDemands(todayInstances))
	s.writeDemands("engine", "targetAsBuilt", s.engineDemands(targetInstances))
}

// at returns a measured series' value at a size, never below zero.
func (s *Surveyor) at(name string, size float64) float64 { return max(0, s.fits[name].at(size)) }

// perUnit returns a measured series' slope.
func (s *Surveyor) perUnit(name string) float64 { return s.fits[name].slope }

// read returns the bytes of reads that deliver some record bytes a second.
func (s *Surveyor) read(reads, recordBytes float64) (in, out float64) {
	f := s.fits["logReadBytesIn"]
	return reads*f.fixed + recordBytes*f.slope, reads * s.figures["logReadBytesOut"]
}

// How often an instance reads from each engine, a second, as package watcher of the daemon does.
const (
	reportReads     = 2
	cacheEventReads = 0.5
)

// entryDemands returns the control lines of an entry instance as it is built.
func (s *Surveyor) entryDemands(at setting) []demand {
	polls := reportReads * at.engines
	cachePolls := cacheEventReads * at.engines
	reports := demand{
		line: "loadReports", in: polls * s.figures["reportExchangeIn"], out: polls * s.figures["reportExchangeOut"], messages: polls,
		processor: polls * (s.perUnit("decodeReportsJSONCPU") + s.figures["takeReportCPU"]),
	}
	events := demand{
		line: "cacheEvents", in: cachePolls * s.figures["emptyCacheExchangeIn"], out: cachePolls * s.figures["emptyCacheExchangeOut"],
		messages: cachePolls,
	}
	list := demand{line: "instanceList", in: s.at("listingBytes", at.listed), messages: 1, processor: s.at("decodeListingCPU", at.listed)}
	return append([]demand{reports, events, list}, s.logDemands(at)...)
}

// logDemands returns what following the log takes.
func (s *Surveyor) logDemands(at setting) []demand {
	leases := demand{line: "leaseRecords", messages: at.count.leases, processor: at.count.leaseBytes / s.figures["renewalRecordBytes"] * s.perUnit("foldRenewalsCPU")}
	leases.in, leases.out = s.read(at.count.leases, at.count.leaseBytes)
	snapshots := demand{line: "snapshots", messages: at.count.snapshots}
	size := s.at("snapshotBytes", at.callers) + s.at("orderedEngineSnapshotBytes", at.ordered)
	snapshots.in, snapshots.out = s.read(at.count.snapshots, at.count.snapshots*size+at.count.snapshotBytes)
	changes := demand{
		line: "configuration", messages: at.changes, processor: at.changes * s.changeCPU(at.callers),
		memory: s.at("configurationMemory", at.callers) + s.at("indexDocumentMemory", at.callers) + s.at("callerLimitMemory", at.callers),
	}
	changes.in, changes.out = s.read(at.changes, at.changes*s.at("sectionDeltaBytes", at.callers))
	orders := demand{line: "orderedEngines", memory: s.at("orderedEngineMemory", at.ordered)}
	claims := demand{
		line: "claims", messages: at.callCount.appends - at.callCount.leases,
		processor: at.calls * s.perUnit("foldClaimsCPU"), memory: s.at("keyMemory", at.keys),
	}
	claims.in, claims.out = s.read(claims.messages, at.callCount.claimBytes)
	return []demand{leases, snapshots, changes, orders, claims}
}

// changeCPU returns what one change costs: its fold, the index and setting every limit anew.
func (s *Surveyor) changeCPU(callers float64) float64 {
	return s.at("foldChangeCPU", callers) + s.at("indexDocumentCPU", callers) + s.at("setAllLimitsCPU", callers)
}

// holderDemands returns what a lease holder takes on top.
func (s *Surveyor) holderDemands(at setting) []demand {
	size := s.at("snapshotBytes", at.callers) + s.at("orderedEngineSnapshotBytes", at.ordered)
	growth := s.perUnit("logReadBytesIn")
	return []demand{
		{line: "renewals", out: at.count.leaseBytes * growth, messages: at.count.leases},
		{
			line: "snapshots", out: at.count.snapshots * size * growth, messages: at.count.snapshots,
			processor: at.count.snapshots * s.at("encodeSnapshotCPU", at.callers), memory: size,
		},
	}
}

// dataDemands returns the routing of an entry instance.
func (s *Surveyor) dataDemands(at setting) []demand {
	request := s.at("requestCPUWhole", at.estimated)
	if at.estimated > subset {
		request = s.at("requestCPUModels", at.estimated/subset)
	}
	return []demand{{
		line: "routing", messages: at.requests, processor: at.requests * request,
		memory: at.estimated * (s.perUnit("schedulerMemoryWhole") + s.at("prefixMemory", 1024)),
	}}
}

// mechanismDemands returns the control lines of an entry instance at the target once every mechanism is built: binary
// reports on answers from a subset, a relay over the peers' protocol, snapshots in a stream of their own, claim shards.
func (s *Surveyor) mechanismDemands(at setting) []demand {
	overhead := s.figures["relayReplyOverhead"]
	relayed := func(reads, bytes float64) float64 { return reads*overhead + bytes }
	lines := s.logDemands(at)
	leases, changes, orders, claims := lines[0], lines[2], lines[3], lines[4]
	leases.in, leases.out = relayed(at.count.leases, at.count.leaseBytes), 0
	changes.in, changes.out = relayed(at.changes, at.changes*s.at("sectionDeltaBytes", at.callers)), 0
	claims.messages /= claimShards
	claims.in, claims.out = relayed(claims.messages, at.callCount.claimBytes/claimShards), 0
	claims.processor /= claimShards
	claims.memory /= claimShards
	leavings := 2.0 * restartsPerDay / 86_400
	return []demand{
		{
			line: "loadReports", in: subset * s.figures["reportBinaryBytes"], messages: subset,
			processor: subset * (s.perUnit("decodeReportsBinaryCPU") + s.figures["takeReportCPU"]),
		},
		{line: "instanceList", in: leavings * s.perUnit("listingBytes"), messages: leavings, processor: leavings * s.perUnit("decodeListingCPU")},
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
	polls := reportReads * instances
	cachePolls := cacheEventReads * instances
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
		total.processor += d.processor
		total.memory += d.memory
	}
	for _, d := range append(demands, total) {
		fmt.Fprintf(s.output, "role=%s size=%s line=%s inBytesPerSecond=%.0f outBytesPerSecond=%.0f messagesPerSecond=%.3f coreShare=%.5f memoryBytes=%.0f "+
			"ofBytes=%.3f ofCPU=%.3f ofMemory=%.3f\n",
			role, size, d.line, d.in, d.out, d.messages, d.processor/1e9, d.memory,
			(d.in+d.out)/budgetBytes, d.processor/budgetCPU, d.memory/budgetMemory)
	}
}
