#!/usr/bin/env bash
# Plays days of a site on the users' bench, on a copy of the working tree, so
# that editing goes on meanwhile. Output lies under run/bench/, the bench's
# journal entries come back into journal/.
# Usage: scripts/play.sh SITE_FILE "WHY" DAY...     (some days)
#        scripts/play.sh SITE_FILE "WHY" hunt N     (N days of other luck)
set -uo pipefail
cd "$(dirname "$0")/.."
root=$PWD
bench=$(realpath ../given/kit/more/system/bin/fleetbench)
site=$(realpath "$1") why=$2
shift 2
copy=$(mktemp -d "$(dirname "$root")/play-XXXXXX")
trap 'rm -rf "$copy"' EXIT
mkdir -p run/bench
git ls-files -z --cached --others --exclude-standard -- . ':!journal' |
  xargs -0 cp --parents -t "$copy" 2>/dev/null
[ -d target ] && cp -a target "$copy/"
cd "$copy"
name=$(basename "$site" .toml)
if [ "$1" = hunt ]; then
  out=$root/run/bench/$name-hunt-$(date +%H%M).log
  "$bench" hunt "$site" --days "$2" --jobs "${JOBS:-6}" --why "$why" > "$out" 2>&1
  tail -n 400 "$out" | cut -c1-220
else
  for day in "$@"; do
    out=$root/run/bench/$name-$(basename "$day" .toml).log
    "$bench" run "$site" "$day" --why "$why" --log edge,storage --jobs 4 > "$out" 2>&1 &
    if [ "$(jobs -r | wc -l)" -ge 3 ]; then wait -n; fi
  done
  wait
  for day in "$@"; do
    out=$root/run/bench/$name-$(basename "$day" .toml).log
    echo "== $out"
    grep -v '"message_type"' "$out" |
      grep -E -A2 "BROKEN|^[a-z0-9-]+ +[0-9]+/[0-9]+ |short of" |
      grep -v "^--$" | cut -c1-300 | head -8
  done
fi
cp -rn journal/. "$root/journal/"
exit 0
