#!/usr/bin/env bash
# Plays days of a site on the users' bench and keeps the output under run/.
# Usage: scripts/play.sh SITE_FILE "WHY" DAY...
set -uo pipefail
cd "$(dirname "$0")/.."
site=$1 why=$2
shift 2
mkdir -p run/bench
for day in "$@"; do
  out=run/bench/$(basename "$site" .toml)-$(basename "$day" .toml).log
  ../given/kit/more/system/bin/fleetbench run "$site" "$day" --why "$why" --log edge,storage --jobs 4 > "$out" 2>&1 &
  if [ "$(jobs -r | wc -l)" -ge 3 ]; then wait -n; fi
done
wait
for day in "$@"; do
  out=run/bench/$(basename "$site" .toml)-$(basename "$day" .toml).log
  echo "== $out"
  grep -v '"message_type"' "$out" | grep -E -A3 "BROKEN|^[a-z0-9-]+ +[0-9]+/[0-9]+ |short of" | grep -v "^--$" | cut -c1-400 | head -12
done
