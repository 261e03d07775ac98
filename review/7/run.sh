#!/usr/bin/env bash
# Plays the case that claim.txt describes. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
here=$(cd "$(dirname "$0")" && pwd)
exec "$here/../standins-2/run-case.sh" refused-peers "$here"
