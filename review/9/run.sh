#!/bin/sh
# Plays the case "latestart". Exit code: 1 the rule was broken, 0 it held, 2 the case could not
# run. TROUBLE=0 plays it without the disruption. Needs the build of deploy/system.toml and
# review/build-2.sh.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
if [ ! -x target/rig2 ] || [ ! -x target/lacewingfork-scheduler ]; then
	echo "target/rig2 or target/lacewingfork-scheduler is missing" >&2
	exit 2
fi
exec target/rig2 latestart "$here/record.txt"
