#!/usr/bin/env bash
# Builds the stand-ins of all cases into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/[0-9]*/case.c; do
  name=$(basename "$(dirname "$case")")
  gcc -std=gnu11 -O1 -g -Wall -Wextra -D_GNU_SOURCE -o "target/review/case-$name" "$case" \
    review/lib/*.c $(pkg-config --cflags --libs glib-2.0 jansson)
done
