#!/bin/sh
# Plays the case with real processes of laburnum-node; exits with 1 if the rule was broken, 0 if it
# held, 2 if it couldn't run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
if [ ! -x target/release/laburnum-node ] || [ ! -x target/review-2/ends ]; then
    echo "build the deploy file's programs and run review/build-2.sh first"
    exit 2
fi
folder=$(mktemp -d) || exit 2
# All processes that the case starts note their pids there.
finish() {
    find "$folder" -name pids -exec cat {} + | while read -r pid; do
        case "$(readlink "/proc/$pid/exe")" in */laburnum-node*) kill -9 "$pid" ;; esac
    done
    rm -rf "$folder"
}
trap finish EXIT
trap 'exit 2' INT TERM
target/review-2/ends "$here/record.txt" "$folder" &
wait $!
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
