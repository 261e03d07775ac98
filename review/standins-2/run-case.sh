#!/usr/bin/env bash
# run-case.sh CASE FOLDER: plays a case, with its record in FOLDER/record.txt. Exits with 1 if the rule was broken, 0 if it
# held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
root=$(cd "$(dirname "$0")/../.." && pwd)
program=$root/target/review-2/release/review-2
record=$2/record.txt
if [ ! -x "$program" ] || [ ! -x "$root/target/release/dalelb" ]; then
    echo "build the service with the command of the deploy file, and the stand-ins with review/build-2.sh" >&2
    exit 2
fi
TMPDIR=$(mktemp -d)
export TMPDIR
export REVIEW_ROOT=$root TROUBLE=${TROUBLE:-1}

# Ends what is left of this run: the program ends its controllers itself, unless it is killed.
clean_up() {
    [ -n "${child:-}" ] && kill "$child" 2>/dev/null
    sed -n 's/.* starts as process \([0-9]*\)$/\1/p' "$record" 2>/dev/null | while read -r process; do
        if grep -qsF "$TMPDIR" "/proc/$process/cmdline"; then
            kill -9 "$process" 2>/dev/null
        fi
    done
    rm -rf "$TMPDIR"
}
trap clean_up EXIT
trap 'exit 2' INT TERM

timeout 119 "$program" "$1" "$record" &
child=$!
wait "$child"
code=$?
child=
case $code in
0 | 1) exit "$code" ;;
*) exit 2 ;;
esac
