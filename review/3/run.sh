#!/usr/bin/env bash
. "$(dirname "$0")/../lib/run.sh"
