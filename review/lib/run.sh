# Runs one case; sourced by the run.sh of its folder. Exit status: 0 held, 1 broken, 2 couldn't run.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
program="$root/target/review/case-$(basename "$here")"
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' "$root/deploy/service.toml")
[ -n "$run" ] && [ -x "$program" ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
cd "$root" || exit 2
export LOG_LEVEL=${LOG_LEVEL:-error}
timeout -k 2 118 "$program" "$here/record.txt" "$folder" $run
status=$?
[ -n "${KEEP_LOGS:-}" ] && cp "$folder"/*.log "$KEEP_LOGS"/
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
