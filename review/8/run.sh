#!/usr/bin/env bash
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 plays
# the same without the part that crashes replicas.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
root="$here/../.."
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
[ -x "$root/target/egretflow" ] && [ -x "$root/target/review-2/harness" ] || { echo "not built"; exit 2; }
exec "$root/target/review-2/harness" -root "$root" -folder "$here" -trouble="$trouble" longprompt
