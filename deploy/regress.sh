#!/usr/bin/env bash
# Plays what is played before a landing, and prints one row for each day.
#
#   bash deploy/regress.sh BENCH JOBS SITE...
#
# BENCH is the users' bench and each SITE one of their site files. The standard days of a site are
# scored, and days with other luck are hunted: 8 on a site of 60 VMs or more, 40 on a smaller one.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly LARGE_VMS=60 LARGE_DAYS=8 SMALL_DAYS=40

if [ "$#" -lt 3 ]; then
    echo "usage: bash deploy/regress.sh BENCH JOBS SITE..." >&2
    exit 2
fi
bench=$1 jobs=$2
shift 2

failed=0
for site in "$@"; do
    if [ ! -r "$site" ]; then
        echo "the site file $site cannot be read" >&2
        exit 2
    fi
    name=$(basename "$site" .toml)
    # Standard days come with machines of their own, so only those before the first day count.
    vms=$(sed '/^\[\[day\]\]/,$d' "$site" | grep -o 'count = [0-9]*, spare' | awk '{ sum += $3 } END { print sum + 0 }')
    days=$SMALL_DAYS
    [ "$vms" -ge "$LARGE_VMS" ] && days=$LARGE_DAYS
    for play in "score $site" "hunt $site --days $days"; do
        # shellcheck disable=SC2086
        "$bench" $play --jobs "$jobs" --why "regression of $name" >"target/regress-$name-${play%% *}.txt" 2>&1 || failed=1
        awk -v site="$name" '$3 ~ /^[0-9]+\/[0-9]+$/ || /own\/srv|GATE|score on/ { print site ": " $0 }
            /--seed|hunt-|mix / && /\// { print site ": " $0 }' "target/regress-$name-${play%% *}.txt" | sort -u
        grep -q 'BROKEN\|GATE failed' "target/regress-$name-${play%% *}.txt" && failed=1
    done
done
exit "$failed"
