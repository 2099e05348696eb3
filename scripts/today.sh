#!/usr/bin/env bash
# Runs a sample deployment as separate processes on loopback and prints the measurements as lines of key=value pairs.
#
#   scripts/today.sh DEPLOYMENT LENGTH SEED
#
# DEPLOYMENT is kalipci, luminaria or a comma-separated list of them, run one after the other. LENGTH is the duration
# of the load in seconds (at least 30). SEED determines arrivals, keys and targets. Requires bash, curl, ss, awk and
# Linux's /proc, and the programs in bin (`make build`).
#
# Steps: start the stand-ins of the deployment and 7 daemons spread over its data centres; publish the configuration
# document; measure 5 s without load; then run a load test and an audit of non-idempotent calls. During the load, a
# caller's limit is changed every 2 s. After LENGTH/5, daemon 2 is killed and deleted from the instance list, as the
# platform would do. After another LENGTH/5, daemon 3 is paused for LENGTH/10. After a third LENGTH/5, daemon 4 is
# stopped and started again. All child processes are ended by PID on exit, also after a failure or Ctrl-C.
#
# Output:
#   daemon         rssKb, peakRssKb; cpuSeconds over the whole run; idleBytesPerSecond: bytes read and written (log,
#                  list, reports, cache events, log lines) in the 5 s without load, 0 for a process started later;
#                  logBytes and listBytes: bytes in both directions on the connections to the log service and the
#                  instance list, sampled each second with ss; ioBytes: all bytes read and written, including traffic
#                  with callers
#   change         delayMs: from the start of the publish command until the revision is in force on the last instance
#                  that was running then; inForce=K/N: K of N instances applied it
#   pausedCatchUpMs, restartInForceMs: time from the end of the pause until the daemon has the revision in force that
#                  was newest at that moment (or a later one), and time from the start of the new process until the
#                  daemon has its first revision in force
#   load           the lines of `standin load`, one for each class
#   audit          the line of `standin audit`
#   promises       secondRuns, falseNotRun, wrongAnswers and missingRuns of the audit; brokenAnswers of the load test
#                  (includes streams through the killed daemon); reverts: number of times that an instance replaced a
#                  revision by an older one
set -euo pipefail

readonly BIN="$(cd "$(dirname "$0")/.." && pwd)"/bin
readonly SAMPLE_DOCUMENTS="$(cd "$(dirname "$0")/.." && pwd)"/standin/sampler
readonly DAEMONS=7 IDLE_SECONDS=5 CHANGE_INTERVAL_SECONDS=2 READY_TRIES=300
readonly TICKS_PER_SECOND="$(getconf CLK_TCK)"

fail() {
	echo "today: $*" >&2
	exit 1
}

# stop_all ends every child process by PID. Paused processes are resumed first so that they handle SIGTERM; those still
# alive after 5 s are killed.
stop_all() {
	local pid
	for pid in "${child_pids[@]}"; do kill -CONT "$pid" 2>/dev/null || true; done
	for pid in "${child_pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
	for _ in $(seq 50); do
		any_alive || break
		sleep 0.1
	done
	for pid in "${child_pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
	for pid in "${child_pids[@]}"; do wait "$pid" 2>/dev/null || true; done
	child_pids=()
}

any_alive() {
	local pid
	for pid in "${child_pids[@]}"; do
		if kill -0 "$pid" 2>/dev/null; then return 0; fi
	done
	return 1
}

clean_up() {
	local code=$?
	trap - EXIT INT TERM
	stop_all
	if [ "$code" -ne 0 ]; then find "$tmp" -name '*.err' -size +0 -exec tail -n 3 {} + >&2 || true; fi
	rm -rf "$tmp"
	exit "$code"
}

# wait_for_line FILE PATTERN waits until FILE has a line that matches PATTERN and prints the first one.
wait_for_line() {
	for _ in $(seq "$READY_TRIES"); do
		if grep -m1 -- "$2" "$1" 2>/dev/null; then return; fi
		sleep 0.1
	done
	fail "timed out waiting for a line with $2 in $(basename "$1")"
}

# field KEY prints the value of KEY in a line of key=value pairs on standard input.
field() { grep -o -m1 "\b$1=[^ ]*" | head -n1 | cut -d= -f2-; }

start_host() {
	"$BIN"/standin host --document "$document" >"$tmp/host.out" 2>"$tmp/host.err" &
	child_pids+=("$!")
	local line
	line="$(wait_for_line "$tmp/host.out" part=host)"
	log_url="$(field logUrl <<<"$line")" list_url="$(field listUrl <<<"$line")" store_url="$(field storeUrl <<<"$line")"
	services="$(grep part=service "$tmp/host.out" | grep -o 'url=[^ ]*' | cut -d= -f2 | paste -sd,)"
}

# start_daemon NUMBER starts a daemon, waits until it is ready and registers it in the instance list. A restarted daemon
# listens on its previous addresses.
start_daemon() {
	local n=$1 file="$tmp/spool-$1.log" line starts_before
	starts_before="$(grep -c event=started "$file" 2>/dev/null || true)"
	"$BIN"/rosemaryspool serve --instance "spool-$n" --data-centre "${centres[$(((n - 1) % ${#centres[@]}))]}" --environment trial \
		--listen "${addresses[n]:-127.0.0.1:0}" --peer-listen "${peers[n]:-127.0.0.1:0}" \
		--log-url "$log_url" --list-url "$list_url" --store-url "$store_url" --shutdown-delay 500ms \
		>>"$file" 2>>"$tmp/spool-$n.err" &
	daemon_pids[n]=$!
	child_pids+=("$!")
	daemon_of_pid[$!]=$n
	for _ in $(seq "$READY_TRIES"); do
		if [ "$(grep -c event=started "$file" || true)" -gt "${starts_before:-0}" ]; then break; fi
		sleep 0.1
	done
	line="$(grep event=started "$file" | tail -n1)"
	addresses[n]="$(field listen <<<"$line")" peers[n]="$(field peerListen <<<"$line")"
	register_instance "$n"
	running[n]=1
}

register_instance() {
	local body
	body="{\"id\":\"spool-$1\",\"kind\":\"instance\",\"address\":\"http://${addresses[$1]}\",\"peerAddress\":\"${peers[$1]}\""
	body+=",\"dataCentre\":\"${centres[$((($1 - 1) % ${#centres[@]}))]}\"}"
	curl -fsS -X PUT -H 'Content-Type: application/json' -d "$body" "$list_url/v1/instances/spool-$1" >/dev/null
}

# sample_usage prints memory, CPU time and I/O bytes of every running daemon, and the bytes of its connections to the
# log service and the instance list.
sample_usage() {
	local p
	for p in "${!daemon_of_pid[@]}"; do
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
			for (i = 1; i <= NF; i++) if ($i ~ /^bytes_(sent|received):/) { split($i, counter, ":"); bytes += counter[2] }
			print "socket", p, $4, ($5 ~ ":" log_port "$") ? "log" : "list", bytes
		}'
}

sample_periodically() {
	while true; do
		sample_usage >>"$tmp/samples" || true
		sleep 1
	done
}

# publish changes a caller's limit and records the start time of the command and the instances running at that time.
publish() {
	local start_time revision instances=() n
	changes=$((changes + 1))
	sed "0,/requestsPerSecond: 5$/s//requestsPerSecond: $((5 + changes))/" "$document" >"$tmp/next.yaml"
	for n in "${!running[@]}"; do instances+=("$n"); done
	start_time="$(date +%s%N)"
	if ! "$BIN"/rosemaryctl publish "$tmp/next.yaml" --wait 0s --message "limit $changes" >"$tmp/publish.out" 2>&1; then
		echo "change=$changes failed=$(tr '\n' ' ' <"$tmp/publish.out" | tr ' ' '_')"
		return
	fi
	revision="$(grep -o -m1 'revision [0-9]* of trial is accepted' "$tmp/publish.out" | cut -d' ' -f2)"
	echo "$changes $revision $start_time ${instances[*]}" >>"$tmp/changes"
}

# publish_for SECONDS publishes changes repeatedly for the given time.
publish_for() {
	local end=$((SECONDS + $1))
	while [ "$SECONDS" -lt "$end" ]; do
		publish
		sleep "$CHANGE_INTERVAL_SECONDS"
	done
}

start_load() {
	local targets
	targets="$(for n in $(seq "$DAEMONS"); do echo "http://${addresses[n]}"; done | paste -sd,)"
	"$BIN"/standin load --targets "$targets" --deployment "$deployment" --share 0.5 --length "${length}s" --seed "$seed" \
		>"$tmp/load.out" 2>"$tmp/load.err" &
	load_pid=$!
	"$BIN"/standin audit --targets "$targets" --services "$services" --service "$service" --class "$class" --callers "$caller" \
		--keys $((length * 3)) --length "${length}s" --seed "$seed" >"$tmp/audit.out" 2>"$tmp/audit.err" &
	audit_pid=$!
	child_pids+=("$load_pid" "$audit_pid")
}

# inject_faults kills, pauses and restarts daemons while changes are published.
inject_faults() {
	local interval=$((length / 5)) pause_seconds=$((length / 10))
	publish_for "$interval"
	echo "event=kill daemon=spool-2"
	kill -KILL "${daemon_pids[2]}"
	wait "${daemon_pids[2]}" 2>/dev/null || true
	unset 'running[2]'
	curl -fsS -X DELETE "$list_url/v1/instances/spool-2" >/dev/null
	publish_for "$interval"
	echo "event=pause daemon=spool-3 seconds=$pause_seconds"
	kill -STOP "${daemon_pids[3]}"
	unset 'running[3]'
	publish_for "$pause_seconds"
	resume_time="$(date +%s%N)" newest_revision="$(tail -n1 "$tmp/changes" | cut -d' ' -f2)"
	kill -CONT "${daemon_pids[3]}"
	running[3]=1
	publish_for $((interval - pause_seconds))
	echo "event=restart daemon=spool-4"
	unset 'running[4]'
	kill -TERM "${daemon_pids[4]}"
	for _ in $(seq "$READY_TRIES"); do
		kill -0 "${daemon_pids[4]}" 2>/dev/null || break
		publish
		sleep "$CHANGE_INTERVAL_SECONDS"
	done
	restart_time="$(date +%s%N)"
	start_daemon 4
	publish_for "$interval"
}

# report_changes prints the propagation delay of each change, taken from the log lines of the instances, and the median
# and maximum.
report_changes() {
	local change revision start_time instances n line applied_at worst in_force expected
	: >"$tmp/delays"
	not_in_force=0
	while read -r change revision start_time instances; do
		worst=0 in_force=0 expected=0
		for n in $instances; do
			expected=$((expected + 1))
			line="$(grep -m1 "event=configurationInForce .*revision=$revision\b" "$tmp/spool-$n.log" || true)"
			[ -n "$line" ] || continue
			in_force=$((in_force + 1))
			applied_at="$(date -d "$(field time <<<"$line")" +%s%N)"
			if [ $(((applied_at - start_time) / 1000000)) -gt "$worst" ]; then worst=$(((applied_at - start_time) / 1000000)); fi
		done
		echo "change=$change revision=$revision delayMs=$worst inForce=$in_force/$expected"
		not_in_force=$((not_in_force + expected - in_force))
		echo "$worst" >>"$tmp/delays"
	done <"$tmp/changes"
	sort -n "$tmp/delays" | awk '{ d[NR] = $1 }
		END { print "changes=" NR " delayMedianMs=" d[int((NR + 1) / 2)] " delayWorstMs=" d[NR] }'
	echo "changesNotSeenInForce=$not_in_force"
}

# elapsed_ms NANOSECONDS prints the milliseconds from that Unix time to the timestamp of the first log line on standard
# input.
elapsed_ms() {
	local line
	line="$(awk 'NR == 1')"
	[ -n "$line" ] || fail "no instance log line with the expected revision"
	echo $((($(date -d "$(field time <<<"$line")" +%s%N) - $1) / 1000000))
}

# report_recovery prints how long the resumed daemon took to have the revision in force that was newest when it
# resumed, or a later one, and how long the restarted daemon took to have its first revision in force.
report_recovery() {
	local paused_ms restart_ms
	paused_ms="$(awk -v newest="$newest_revision" '/event=configurationInForce/ { match($0, /revision=[0-9]+/)
		if (substr($0, RSTART + 9, RLENGTH - 9) + 0 >= newest) print }' "$tmp/spool-3.log" | elapsed_ms "$resume_time")"
	restart_ms="$(awk '/event=started/ { n++ } n == 2 && /event=configurationInForce/' "$tmp/spool-4.log" | elapsed_ms "$restart_time")"
	echo "pausedCatchUpMs=$paused_ms restartInForceMs=$restart_ms"
}

report_daemons() {
	local p
	for p in "${!daemon_of_pid[@]}"; do
		awk -v p="$p" -v ticks="$TICKS_PER_SECOND" -v idle="$IDLE_SECONDS" -v name="spool-${daemon_of_pid[$p]}" '
			$1 == "idle" && $2 == p { bytes_idle = $6 - bytes_idle }
			$1 == "proc" && $2 == p { rss = $3; peak = $4; cpu = $5; bytes = $6 }
			$1 == "socket" && $2 == p { last[$4 " " $3] = $5 }
			END {
				for (s in last) { split(s, key, " "); total[key[1]] += last[s] }
				printf "daemon=%s pid=%d rssKb=%d peakRssKb=%d cpuSeconds=%.2f idleBytesPerSecond=%d logBytes=%d listBytes=%d ioBytes=%d\n",
					name, p, rss, peak, cpu / ticks, bytes_idle / idle, total["log"], total["list"], bytes
			}' "$tmp/idle" "$tmp/samples"
	done | sort
}

report_guarantees() {
	local reverts broken
	reverts="$(awk 'FNR == 1 { last = 0 } /event=started/ { last = 0 }
		/event=configurationInForce/ { match($0, /revision=[0-9]+/); r = substr($0, RSTART + 9, RLENGTH - 9) + 0
			if (r < last) n++; last = r } END { print n + 0 }' "$tmp"/spool-*.log)"
	broken="$(grep -o 'broken=[0-9]*' "$tmp/load.out" | awk -F= '{ n += $2 } END { print n + 0 }')"
	echo "promises secondRuns=$(field secondRuns <"$tmp/audit.out") falseNotRun=$(field falseNotRun <"$tmp/audit.out")" \
		"wrongAnswers=$(field wrongAnswers <"$tmp/audit.out") missingRuns=$(field missingRuns <"$tmp/audit.out")" \
		"brokenAnswers=$broken reverts=$reverts"
	[ "$reverts" -eq 0 ] || violations=1
}

# run_deployment runs and measures one deployment.
run_deployment() {
	document="$SAMPLE_DOCUMENTS/$deployment.yaml"
	addresses=() peers=() daemon_pids=() running=() daemon_of_pid=() changes=0 violations=0
	: >"$tmp/changes"
	: >"$tmp/samples"
	: >"$tmp/idle"
	rm -f "$tmp"/spool-*
	start_host
	local n
	for n in $(seq "$DAEMONS"); do start_daemon "$n"; done
	export ROSEMARYCTL_LOG="$log_url" ROSEMARYCTL_INSTANCES="$list_url" ROSEMARYCTL_OPERATOR=today
	echo "deployment=$deployment daemons=$DAEMONS lengthSeconds=$length seed=$seed processors=$(nproc) loadAverage=$(cut -d' ' -f1 /proc/loadavg)"
	"$BIN"/rosemaryctl publish "$document" --wait 30s >"$tmp/publish.out" || fail "publish: $(cat "$tmp/publish.out")"
	sample_usage | sed -n 's/^proc/idle/p' >>"$tmp/idle"
	sleep "$IDLE_SECONDS"
	sample_usage | sed -n 's/^proc/idle/p' >>"$tmp/idle"
	sample_periodically &
	child_pids+=("$!")
	start_load
	inject_faults
	wait "$load_pid" || fail "load test failed"
	wait "$audit_pid" || violations=1
	sample_usage >>"$tmp/samples"
	report_changes
	report_recovery
	report_daemons
	sed "s/^/load /" "$tmp/load.out"
	sed "s/^/audit /" "$tmp/audit.out"
	report_guarantees
	stop_all
	[ "$violations" -eq 0 ] || fail "a guarantee was violated: $(cat "$tmp/audit.err")"
}

main() {
	local deployments="${1:?missing DEPLOYMENT}"
	length="${2:?missing LENGTH in seconds}" seed="${3:?missing SEED}"
	[ "$length" -ge 30 ] || fail "LENGTH must be at least 30 seconds"
	child_pids=()
	addresses=() peers=() daemon_pids=() running=() daemon_of_pid=()
	tmp="$(mktemp -d)"
	trap clean_up EXIT
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
