#!/usr/bin/env bash
# A submission is accepted for a pool without an owner, then its queue moves to another service; takes about 40 s.
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd)
exec "$folder/../rig2/run-case.sh" MovedQueue "$folder"
