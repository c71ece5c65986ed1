#!/usr/bin/env bash
# Compares two folders of reports that hold the same days and plays, in pairs:
#
#   scripts/compare.sh BEFORE AFTER
#
# prints the mean of each, the mean difference, and half of its 95% confidence
# interval, by Student's t of the pairs.
set -euo pipefail
[ $# -eq 2 ] || { sed -n '2,7p' "$0" >&2; exit 2; }

figure() { awk -F'[:,]' '/"G"/ { print $2; exit }' "$1"; }

for before in "$1"/*-[0-9]*.json; do
  name=$(basename "$before")
  after=$2/$name
  case $name in 20[0-9][0-9]*) continue ;; esac # journal entries
  [ -s "$after" ] || continue
  echo "$(figure "$before") $(figure "$after")"
done | awk '
  NF == 2 { n++; before += $1; after += $2; d[n] = $2 - $1 }
  END {
    if (n < 2) { print "fewer than two pairs" > "/dev/stderr"; exit 1 }
    split("12.71 4.30 3.18 2.78 2.57 2.45 2.36 2.31 2.26 2.23 2.20 2.18 2.16 2.14 2.13", t, " ")
    mean = (after - before) / n
    for (i = 1; i <= n; i++) squares += (d[i] - mean) ^ 2
    factor = n - 1 <= 15 ? t[n - 1] : 2.0
    printf "pairs %d  before %.4f  after %.4f  difference %+.4f  +-%.4f\n", n, before / n, after / n, mean, factor * sqrt(squares / (n - 1) / n)
  }'
