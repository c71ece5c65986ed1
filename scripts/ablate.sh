#!/usr/bin/env bash
# Plays days with one mechanism switched off at a time, each in a scratch copy, beside
# the copy as it is.
#
#   PLAY=PROGRAM scripts/ablate.sh OUT SITE "DAY ..." PLAYS JOBS [MECHANISM ...]
#
# PROGRAM plays a day of a site: PROGRAM run SITE DAY --report FILE. Reports go to
# OUT/MECHANISM/DAY-N.json; scripts/compare.sh compares two such folders in pairs.
set -euo pipefail
cd "$(dirname "$0")/.."

if [ $# -lt 5 ]; then
  sed -n '2,10p' "$0" >&2
  exit 2
fi
: "${PLAY:?set PLAY to the program that plays days}"
out=$1 site=$2 days=$3 plays=$4 jobs=$5
shift 5
all="none place stall handover quiet dial spare late stranded affinity slowstart pieces first lateshare share invite"
mechanisms=${*:-$all}
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# edit FILE FROM TO replaces one line's text, and fails if it is not there: a
# mechanism that was renamed must not count as switched off.
edit() {
  grep -qF -- "$2" "$1" || { echo "$1 has no line with: $2" >&2; exit 1; }
  awk -v from="$2" -v to="$3" '{ i = index($0, from); if (i) $0 = substr($0, 1, i - 1) to substr($0, i + length(from)); print }' "$1" > "$1.new"
  mv "$1.new" "$1"
}

# off switches a mechanism off in the present folder.
off() {
  case $1 in
    none) ;;
    place) edit internal/daemon/sitegate.go "PlaceWait:     placeWait," "" ;;
    stall) edit internal/route/stall.go "if s.config.StallMin <= 0 || len(r.attempts) == 0" "if len(r.attempts) >= 0" ;;
    handover) edit internal/gate/routed.go "found.moves(service)," "found.moves(service) && false," ;;
    quiet) edit internal/route/quiet.go "if s.config.StallMin <= 0 || r.health" "if s.config.StallMin > 0 || r.health" ;;
    dial) edit internal/route/dial.go "if l.took.mean == 0 {" "if l.took.mean >= 0 {" ;;
    spare) edit internal/route/spare.go "if !s.hasTime(req) {" "if true || !s.hasTime(req) {" ;;
    late) edit internal/route/queue.go "if !r.late && !r.delivered" "if false && !r.late && !r.delivered" ;;
    stranded) edit internal/route/stranded.go "if s.draining || s.batch.len() == 0 {" "if s.draining || s.batch.len() >= 0 {" ;;
    affinity) edit internal/route/pick.go "if req.Prefix == 0 || sampled == nil {" "if req.Prefix >= 0 || sampled == nil {" ;;
    slowstart) edit internal/route/config.go "defaultSlowStart      = 5 * time.Second" "defaultSlowStart      = time.Millisecond" ;;
    pieces) edit internal/gate/batch/item.go "if leased.Lease.OnlyAnswersCount {" "if false && leased.Lease.OnlyAnswersCount {" ;;
    first) edit internal/gate/follow/follower.go "	f.findFirst(ctx)" "" ;;
    lateshare) edit internal/route/late.go "return s.config.Disabled.LateShare ||" "return true ||" ;;
    share) edit internal/keeper/offers.go "return min(want.Max, max(1, free/(others+1)))" "return want.Max" ;;
    invite) edit internal/control/share.go "go s.inviteGates(ctx, slices.Clone(s.gatesBefore))" "" ;;
    *) echo "no mechanism $1; there are: $all" >&2; exit 2 ;;
  esac
}

for mechanism in $mechanisms; do
  mkdir -p "$work/$mechanism" "$out/$mechanism"
  git archive HEAD | tar -x -C "$work/$mechanism"
  (cd "$work/$mechanism" && off "$mechanism" && go build ./cmd/... && git init -q .)
done

play() { # MECHANISM DAY N
  cd "$work/$1"
  "$PLAY" run "$site" "$2" --jobs 1 --report "$out/$1/$2-$3.json" --why "ablation: $1" > "$out/$1/$2-$3.out" 2>&1 ||
    echo "$1 $2 $3 failed, see $out/$1/$2-$3.out" >&2
}
export -f play
export PLAY work out site

for n in $(seq "$plays"); do
  for day in $days; do
    for mechanism in $mechanisms; do echo "$mechanism $day $n"; done
  done
done | xargs -P "$jobs" -L 1 bash -c 'play "$0" "$1" "$2"'

for mechanism in $mechanisms; do
  find "$work/$mechanism/journal" -name '*.json' -newer "$work" -exec cp -n {} "$out/$mechanism/" \; 2>/dev/null || true
done
