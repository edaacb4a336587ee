#!/usr/bin/env bash
# All daemons are restarted in turn while answers of the store are lost; takes about 50 s.
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd)
exec "$folder/../rig2/run-case.sh" LostRegistration "$folder"
