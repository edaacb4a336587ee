# Starts and stops a site as separate processes on loopback addresses. Sourced by the scripts.

ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
# ENDIVETRAY_JARS names a folder with copies of the three built files, to compare versions.
DAEMON_JAR=${ENDIVETRAY_JARS:-$ROOT/target}/endivetrayd.jar
CTL_JAR=${ENDIVETRAY_JARS:-$ROOT/ctl/target}/endivetrayctl-0.1.0-all.jar
STANDIN_JAR=${ENDIVETRAY_JARS:-$ROOT/standin/target}/endivetray-standin-0.1.0-all.jar
JVM_FLAGS="-Xmx160m -Xss512k -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:MaxDirectMemorySize=48m"
RUN=$(mktemp -d "${TMPDIR:-/tmp}/endivetray.XXXXXX")

build() {
    mvn -q -f "$ROOT/pom.xml" -DskipTests -Dspotless.check.skip -Dcheckstyle.skip package
}

start() { # name command...
    local name=$1
    shift
    "$@" >"$RUN/$name.out" 2>"$RUN/$name.log" &
    LAST_PID=$!
    echo "$LAST_PID" >>"$RUN/pids"
}

wait_for_file() {
    for _ in $(seq 1 300); do
        [ -s "$1" ] && return 0
        sleep 0.1
    done
    echo "no $1 in 30 s" >&2
    return 1
}

standin() {
    java -Xmx512m -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -jar "$STANDIN_JAR" "$@"
}

start_platform() { # site work-millis [extra platform options]
    local site=$1 work=$2
    shift 2
    start minions java -Xmx512m -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -jar "$STANDIN_JAR" minions --site "$site" \
        --work "$work" --out "$RUN/minions.json" --control "$RUN/control"
    wait_for_file "$RUN/minions.json"
    MINION_CONTROL=$(cat "$RUN/control")
    start platform java -Xmx512m -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -jar "$STANDIN_JAR" platform --site "$site" \
        --minions "$RUN/minions.json" --out "$RUN/platform" "$@"
    wait_for_file "$RUN/platform"
    PLATFORM=$(cat "$RUN/platform")
}

relay_port() { # name -> its port at the relay, 0 without a relay
    [ -s "$RUN/relay.json" ] || { echo 0; return; }
    sed "s/.*\"$1\":\([0-9]*\).*/\1/" "$RUN/relay.json"
}

start_relay() { # names, separated by commas
    start relay java -Xmx128m -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -jar "$STANDIN_JAR" relay \
        --targets "$1" --out "$RUN/relay.json" --control "$RUN/relay-control"
    wait_for_file "$RUN/relay.json"
    RELAY_CONTROL=$(cat "$RUN/relay-control")
}

settings() { # name zone policy decisions
    cat >"$RUN/$1.json" <<EOF
{
  // Written by the scripts for one run.
  "name": "$1", "zone": "$2",
  "platform": {
    "store": {"host": "127.0.0.1", "port": $PLATFORM},
    "hosts": {"host": "127.0.0.1", "port": $PLATFORM},
    "workers": {"host": "127.0.0.1", "port": $PLATFORM}
  },
  "routing": {"policy": "$3"},
  "callers": {"port": ${5:-0}}, "operators": {"port": ${6:-0}},
  "inner": {"advertisedPort": $(relay_port "$1")},
  "log": {"decisions": $4}
}
EOF
}

start_daemon() { # name zone [policy] [decisions]
    settings "$1" "$2" "${3:-granted}" "${4:-1}" "${5:-0}" "${6:-0}"
    rm -f "$RUN/$1.ports"
    # shellcheck disable=SC2086
    start "$1" java $JVM_FLAGS -jar "$DAEMON_JAR" --settings "$RUN/$1.json" \
        --ports-file "$RUN/$1.ports"
    eval "PID_${1//-/_}=$LAST_PID"
}

replace_daemon() { # name zone policy decisions: stops it gracefully and starts it on its ports
    local callers operators pid="PID_${1//-/_}"
    read -r callers operators _ <"$RUN/$1.ports"
    kill -TERM "${!pid}"
    for _ in $(seq 1 400); do
        grep -q '^State:.[^Z]' "/proc/${!pid}/status" 2>/dev/null || break
        sleep 0.1
    done
    start_daemon "$1" "$2" "$3" "$4" "$callers" "$operators"
    wait_for_file "$RUN/$1.ports" && wait_ready "$1"
}

target() { # name -> callers:operators:pid
    wait_for_file "$RUN/$1.ports"
    read -r callers operators _ <"$RUN/$1.ports"
    local pid="PID_${1//-/_}"
    echo "$callers:$operators:${!pid}"
}

operators_of() { # name -> host:port
    wait_for_file "$RUN/$1.ports"
    echo "127.0.0.1:$(cut -d' ' -f2 "$RUN/$1.ports")"
}

ctl() {
    java -Xmx64m -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -jar "$CTL_JAR" "$@"
}

http() { # port uri
    exec 9<>"/dev/tcp/127.0.0.1/$1" || return 1
    printf 'GET %s HTTP/1.0\r\nHost: x\r\n\r\n' "$2" >&9
    sed '1,/^\r*$/d' <&9
    exec 9<&-
}

wait_ready() { # name
    local port
    port=$(cut -d' ' -f2 "$RUN/$1.ports")
    for _ in $(seq 1 300); do
        [ "$(http "$port" /readyz 2>/dev/null)" = "ready" ] && return 0
        sleep 0.1
    done
    echo "$1 was not ready in 30 s" >&2
    return 1
}

configure_site() { # site daemon-name
    standin site --site "$1" --out "$RUN/site.json"
    ctl apply "$RUN/site.json" --server "$(operators_of "$2")" --operator setup --yes >"$RUN/apply.out"
    wait_plans_done "$2"
}

plans_running() { # daemon-name
    http "$(cut -d' ' -f2 "$RUN/$1.ports")" /v1/status | sed 's/.*"plansRunning":\([0-9]*\).*/\1/'
}

wait_plans_done() { # daemon-name
    for _ in $(seq 1 600); do
        [ "$(plans_running "$1")" = "0" ] && return 0
        sleep 0.1
    done
    echo "plans did not end in 60 s" >&2
    return 1
}

stop_all() {
    local pids pid
    [ -s "$RUN/pids" ] || return 0
    pids=$(cat "$RUN/pids")
    for pid in $pids; do
        kill -CONT "$pid" 2>/dev/null
        kill -TERM "$pid" 2>/dev/null
    done
    for pid in $pids; do
        for _ in $(seq 1 100); do
            kill -0 "$pid" 2>/dev/null || break
            sleep 0.1
        done
        kill -KILL "$pid" 2>/dev/null
        wait "$pid" 2>/dev/null
    done
    rm -f "$RUN/pids"
}

remove_run() {
    [ -n "${KEEP_RUN:-}" ] && echo "kept $RUN" >&2 || rm -rf "$RUN"
}
