# Runs a case of this review. Sourced by review/N/run.sh, which sets CASE.
HERE=$(cd "$(dirname "$0")" && pwd)
ROOT=$(cd "$HERE/../.." && pwd)
if [ ! -f "$ROOT/target/review-3/Lab.class" ] || [ ! -f "$ROOT/target/endivetrayd.jar" ]; then
    echo "not built: run the build of the deploy file and review/build-3.sh first" >&2
    exit 2
fi
WORK=$(mktemp -d)
trap 'rm -rf "$WORK"' EXIT
timeout -k 5 110 java -Xmx1500m -Dsun.net.httpserver.nodelay=true \
    -Djdk.httpclient.connectionPoolSize=64 \
    -Drecord="$HERE/record.txt" -Droot="$ROOT" -Dwork="$WORK" \
    -cp "$ROOT/target/review-3:$ROOT/target/endivetrayd.jar" "$CASE"
status=$?
[ -n "${KEEP_LOGS:-}" ] && cp "$WORK"/*.log "$KEEP_LOGS"/
case $status in 0 | 1 | 2) exit $status ;; *) exit 2 ;; esac
