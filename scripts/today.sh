#!/usr/bin/env bash
# Runs one deployment in today's shape as plain processes on loopback and prints what it measured as key=value lines.
#
#   scripts/today.sh DEPLOYMENT LENGTH SEED
#
# DEPLOYMENT is kalipci or luminaria, or both by commas, one after the other. LENGTH is the seconds of load (at least 30).
# SEED decides arrivals, keys and targets. Needs bash, curl, ss, awk and Linux's /proc; `make build` builds the programs.
#
# Steps: stand-ins of the deployment; 7 daemons spread over its data centres; publish its document; 5 s idle; load and
# an audit of non-idempotent calls; meanwhile a change of a caller's limit every 2 s, and at set shares of LENGTH daemon 2
# is killed (and leaves the instance list, as the platform would do it), daemon 3 is paused for LENGTH/10 s, and daemon 4
# is stopped and started again. Every process that it started is ended by its id, also after a failure or Ctrl-C.
#
# Figures:
#   daemon         rssKb, peakRssKb; cpuSeconds of the whole run; idleBytesPerSecond: bytes read and written (log, list,
#                  reports, cache events, log lines) in the 5 s without load, 0 for one that was started later; logBytes
#                  and listBytes: bytes on its connections to the log and the list, both directions, as ss saw them each
#                  second; ioBytes: all bytes, with the callers'
#   change         delayMs from the start of the command to the last instance that was running then; inForce=K/N
#   class          the lines of `standin load`;   audit: the line of `standin audit`
#   promises       secondRuns, falseNotRun and wrongAnswers of the audit; brokenAnswers of the load (streams through the
#                  killed daemon break with it); reverts: an instance put an older revision in force than before
set -euo pipefail

readonly BIN="$(cd "$(dirname "$0")/.." && pwd)"/bin
readonly SAMPLES="$(cd "$(dirname "$0")/.." && pwd)"/standin/sampler
readonly COUNT=7 IDLE=5 PAUSE_BETWEEN_CHANGES=2 READY_TRIES=300
readonly TICKS="$(getconf CLK_TCK)"

fail() {
	echo "today: $*" >&2
	exit 1
}

# stop_all ends every process of this script by its id; paused ones are continued first.
stop_all() {
	local pid
	for pid in "${started[@]}"; do kill -CONT "$pid" 2>/dev/null || true; done
	for pid in "${started[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
	for _ in $(seq 50); do
		any_alive || break
		sleep 0.1
	done
	for pid in "${started[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
	for pid in "${started[@]}"; do wait "$pid" 2>/dev/null || true; done
	started=()
}

any_alive() {
	local pid
	for pid in "${started[@]}"; do
		if kill -0 "$pid" 2>/dev/null; then return 0; fi
	done
	return 1
}

finish() {
	local code=$?
	trap - EXIT INT TERM
	stop_all
	if [ "$code" -ne 0 ]; then find "$work" -name '*.err' -size +0 -exec tail -n 3 {} + >&2 || true; fi
	rm -rf "$work"
	exit "$code"
}

# await_line FILE PATTERN prints the first line with the pattern once it is there.
await_line() {
	for _ in $(seq "$READY_TRIES"); do
		if grep -m1 -- "$2" "$1" 2>/dev/null; then return; fi
		sleep 0.1
	done
	fail "no line $2 in $(basename "$1")"
}

# value KEY prints the value of a key of the line on the standard input.
value() { grep -o -m1 "\b$1=[^ ]*" | head -n1 | cut -d= -f2-; }

start_host() {
	"$BIN"/standin host --document "$document" >"$work/host.out" 2>"$work/host.err" &
	started+=("$!")
	local line
	line="$(await_line "$work/host.out" part=host)"
	log_url="$(value logUrl <<<"$line")" list_url="$(value listUrl <<<"$line")" store_url="$(value storeUrl <<<"$line")"
	services="$(grep part=service "$work/host.out" | grep -o 'url=[^ ]*' | cut -d= -f2 | paste -sd,)"
}

# start_daemon NUMBER starts a daemon, on its earlier addresses if it had some, and enters it into the instance list.
start_daemon() {
	local n=$1 file="$work/spool-$1.log" line lines
	lines="$(grep -c event=started "$file" 2>/dev/null || true)"
	"$BIN"/rosemaryspool serve --instance "spool-$n" --data-centre "${centres[$(((n - 1) % ${#centres[@]}))]}" --environment trial \
		--listen "${address[n]:-127.0.0.1:0}" --peer-listen "${peer[n]:-127.0.0.1:0}" \
		--log-url "$log_url" --list-url "$list_url" --store-url "$store_url" --shutdown-delay 500ms \
		>>"$file" 2>>"$work/spool-$n.err" &
	pid[n]=$!
	started+=("$!")
	owner[$!]=$n
	for _ in $(seq "$READY_TRIES"); do
		if [ "$(grep -c event=started "$file" || true)" -gt "${lines:-0}" ]; then break; fi
		sleep 0.1
	done
	line="$(grep event=started "$file" | tail -n1)"
	address[n]="$(value listen <<<"$line")" peer[n]="$(value peerListen <<<"$line")"
	enter "$n"
	running[n]=1
}

enter() {
	local body
	body="{\"id\":\"spool-$1\",\"kind\":\"instance\",\"address\":\"http://${address[$1]}\",\"peerAddress\":\"${peer[$1]}\""
	body+=",\"dataCentre\":\"${centres[$((($1 - 1) % ${#centres[@]}))]}\"}"
	curl -fsS -X PUT -H 'Content-Type: application/json' -d "$body" "$list_url/v1/instances/spool-$1" >/dev/null
}

# sample notes memory, processor time and bytes of every daemon that lives, and its connections to log and list.
sample() {
	local p
	for p in "${!owner[@]}"; do
		[ -r "/proc/$p/io" ] || continue
		awk -v p="$p" '
			FILENAME ~ /stat$/ { sub(/.*\) /, ""); cpu = $12 + $13 }
			/^VmRSS/ { rss = $2 }
			/^VmHWM/ { peak = $2 }
			/^[rw]char/ { bytes += $2 }
			END { if (rss) print "proc", p, rss, peak, cpu, bytes }' "/proc/$p/stat" "/proc/$p/status" "/proc/$p/io" 2>/dev/null || true
	done
	ss -tnipHO "( dport = :${log_url##*:} or dport = :${list_url##*:} )" 2>/dev/null | awk -v log_port="${log_url##*:}" '
		match($0, /pid=[0-9]+/) {
			p = substr($0, RSTART + 4, RLENGTH - 4)
			bytes = 0
			for (i = 1; i <= NF; i++) if ($i ~ /^bytes_(sent|received):/) { split($i, part, ":"); bytes += part[2] }
			print "socket", p, $4, ($5 ~ ":" log_port "$") ? "log" : "list", bytes
		}'
}

sample_always() {
	while true; do
		sample >>"$work/samples" || true
		sleep 1
	done
}

# publish changes a caller's limit, and notes when the command began and which instances were running.
publish() {
	local began revision names=() n
	changes=$((changes + 1))
	sed "0,/requestsPerSecond: 5$/s//requestsPerSecond: $((5 + changes))/" "$document" >"$work/next.yaml"
	for n in "${!running[@]}"; do names+=("$n"); done
	began="$(date +%s%N)"
	if ! "$BIN"/rosemaryctl publish "$work/next.yaml" --wait 0s --message "limit $changes" >"$work/publish.out" 2>&1; then
		echo "change=$changes failed=$(tr '\n' ' ' <"$work/publish.out" | tr ' ' '_')"
		return
	fi
	revision="$(grep -o -m1 'revision [0-9]* of trial is accepted' "$work/publish.out" | cut -d' ' -f2)"
	echo "$changes $revision $began ${names[*]}" >>"$work/changes"
}

# keep_publishing SECONDS publishes until that much time of this step is over.
keep_publishing() {
	local end=$((SECONDS + $1))
	while [ "$SECONDS" -lt "$end" ]; do
		publish
		sleep "$PAUSE_BETWEEN_CHANGES"
	done
}

start_load() {
	local targets
	targets="$(for n in $(seq "$COUNT"); do echo "http://${address[n]}"; done | paste -sd,)"
	"$BIN"/standin load --targets "$targets" --deployment "$deployment" --share 0.5 --length "${length}s" --seed "$seed" \
		>"$work/load.out" 2>"$work/load.err" &
	load=$!
	"$BIN"/standin audit --targets "$targets" --services "$services" --service "$service" --class "$class" --callers "$caller" \
		--keys $((length * 3)) --length "${length}s" --seed "$seed" >"$work/audit.out" 2>"$work/audit.err" &
	audit=$!
	started+=("$load" "$audit")
}

# disturb kills, pauses and restarts daemons while changes go on.
disturb() {
	local step=$((length / 5)) pause=$((length / 10))
	keep_publishing "$step"
	echo "event=kill daemon=spool-2"
	kill -KILL "${pid[2]}"
	wait "${pid[2]}" 2>/dev/null || true
	unset 'running[2]'
	curl -fsS -X DELETE "$list_url/v1/instances/spool-2" >/dev/null
	keep_publishing "$step"
	echo "event=pause daemon=spool-3 seconds=$pause"
	kill -STOP "${pid[3]}"
	unset 'running[3]'
	keep_publishing "$pause"
	kill -CONT "${pid[3]}"
	running[3]=1
	keep_publishing $((step - pause))
	echo "event=restart daemon=spool-4"
	unset 'running[4]'
	kill -TERM "${pid[4]}"
	for _ in $(seq "$READY_TRIES"); do
		kill -0 "${pid[4]}" 2>/dev/null || break
		publish
		sleep "$PAUSE_BETWEEN_CHANGES"
	done
	start_daemon 4
	keep_publishing "$step"
}

# report_changes prints the delay of each change, from the instances' log lines, and their median and worst.
report_changes() {
	local change revision began names n line stamp worst seen count
	: >"$work/delays"
	missing=0
	while read -r change revision began names; do
		worst=0 seen=0 count=0
		for n in $names; do
			count=$((count + 1))
			line="$(grep -m1 "event=configurationInForce .*revision=$revision\b" "$work/spool-$n.log" || true)"
			[ -n "$line" ] || continue
			seen=$((seen + 1))
			stamp="$(date -d "$(value time <<<"$line")" +%s%N)"
			if [ $(((stamp - began) / 1000000)) -gt "$worst" ]; then worst=$(((stamp - began) / 1000000)); fi
		done
		echo "change=$change revision=$revision delayMs=$worst inForce=$seen/$count"
		missing=$((missing + count - seen))
		echo "$worst" >>"$work/delays"
	done <"$work/changes"
	sort -n "$work/delays" | awk '{ d[NR] = $1 }
		END { print "changes=" NR " delayMedianMs=" d[int((NR + 1) / 2)] " delayWorstMs=" d[NR] }'
	echo "changesNotSeenInForce=$missing"
}

report_daemons() {
	local p
	for p in "${!owner[@]}"; do
		awk -v p="$p" -v ticks="$TICKS" -v idle="$IDLE" -v name="spool-${owner[$p]}" '
			$1 == "idle" && $2 == p { bytes_idle = $6 - bytes_idle }
			$1 == "proc" && $2 == p { rss = $3; peak = $4; cpu = $5; bytes = $6 }
			$1 == "socket" && $2 == p { seen[$4 " " $3] = $5 }
			END {
				for (s in seen) { split(s, part, " "); sum[part[1]] += seen[s] }
				printf "daemon=%s pid=%d rssKb=%d peakRssKb=%d cpuSeconds=%.2f idleBytesPerSecond=%d logBytes=%d listBytes=%d ioBytes=%d\n",
					name, p, rss, peak, cpu / ticks, bytes_idle / idle, sum["log"], sum["list"], bytes
			}' "$work/idle" "$work/samples"
	done | sort
}

report_promises() {
	local reverts broken
	reverts="$(awk 'FNR == 1 { last = 0 } /event=started/ { last = 0 }
		/event=configurationInForce/ { match($0, /revision=[0-9]+/); r = substr($0, RSTART + 9, RLENGTH - 9) + 0
			if (r < last) n++; last = r } END { print n + 0 }' "$work"/spool-*.log)"
	broken="$(grep -o 'broken=[0-9]*' "$work/load.out" | awk -F= '{ n += $2 } END { print n + 0 }')"
	echo "promises secondRuns=$(value secondRuns <"$work/audit.out") falseNotRun=$(value falseNotRun <"$work/audit.out")" \
		"wrongAnswers=$(value wrongAnswers <"$work/audit.out") missingRuns=$(value missingRuns <"$work/audit.out")" \
		"brokenAnswers=$broken reverts=$reverts"
	[ "$reverts" -eq 0 ] || breaches=1
}

# run_deployment measures one deployment.
run_deployment() {
	document="$SAMPLES/$deployment.yaml"
	address=() peer=() pid=() running=() owner=() changes=0 breaches=0
	: >"$work/changes"
	: >"$work/samples"
	: >"$work/idle"
	rm -f "$work"/spool-*
	start_host
	local n
	for n in $(seq "$COUNT"); do start_daemon "$n"; done
	export ROSEMARYCTL_LOG="$log_url" ROSEMARYCTL_INSTANCES="$list_url" ROSEMARYCTL_OPERATOR=today
	echo "deployment=$deployment daemons=$COUNT lengthSeconds=$length seed=$seed processors=$(nproc) loadAverage=$(cut -d' ' -f1 /proc/loadavg)"
	"$BIN"/rosemaryctl publish "$document" --wait 30s >"$work/publish.out" || fail "publish: $(cat "$work/publish.out")"
	sample | sed -n 's/^proc/idle/p' >>"$work/idle"
	sleep "$IDLE"
	sample | sed -n 's/^proc/idle/p' >>"$work/idle"
	sample_always &
	started+=("$!")
	start_load
	disturb
	wait "$load" || fail "load failed"
	wait "$audit" || breaches=1
	sample >>"$work/samples"
	report_changes
	report_daemons
	sed "s/^/load /" "$work/load.out"
	sed "s/^/audit /" "$work/audit.out"
	report_promises
	stop_all
	[ "$breaches" -eq 0 ] || fail "a promise was broken: $(cat "$work/audit.err")"
}

main() {
	local deployments="${1:?deployment}"
	length="${2:?seconds of load}" seed="${3:?seed}"
	[ "$length" -ge 30 ] || fail "seconds of load must be at least 30"
	started=()
	address=() peer=() pid=() running=() owner=()
	work="$(mktemp -d)"
	trap finish EXIT
	trap 'exit 130' INT
	trap 'exit 143' TERM
	for deployment in ${deployments//,/ }; do
		case "$deployment" in
		kalipci) service=atolye-app class=fabricOrder caller=hangar-istanbul centres=(marmara-a marmara-b marmara-c) ;;
		luminaria) service=registro class=certificateSigning caller=franchise-palermo centres=(palermo catania messina siracusa) ;;
		*) fail "unknown deployment $deployment" ;;
		esac
		run_deployment
	done
	exit
}

main "$@"
