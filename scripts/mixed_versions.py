#!/usr/bin/env python3
"""Plays a scenario whose controllers are processes of two builds, under the same emulated hosts, proxies and store.

usage: mixed_versions.py PLAYER EARLIER EARLIER_IDS SCENARIO [OPTION ...]

PLAYER        the build that plays the scenario, judges it and runs all other controllers
EARLIER       the other build
EARLIER_IDS   ids of the controllers that EARLIER runs, as in 0 or 0,2
SCENARIO      a scenario file with [stewards] count of two or more; further options go to `railhub day`

The player starts each controller from the path of its own program. This script lets that path name a small launcher,
which reads the id out of the controller's settings and executes one build or the other. Prints which build each start
used, then what the player prints; the exit code is the player's. Linux only; not part of CI.
"""
import os
import shutil
import sys
import tempfile
from pathlib import Path

LAUNCHER = """#!/usr/bin/env python3
import configparser, os, sys
arguments = sys.argv[1:]
settings = configparser.ConfigParser(strict=False, inline_comment_prefixes=(";",))
settings.read(arguments[arguments.index("--conf") + 1])
controller = settings["fleet"]["id"]
is_earlier = controller in {ids!r}
program = {earlier!r} if is_earlier else {player!r}
if is_earlier and arguments[0] == "controller":
    arguments[0] = "steward"  # the command's name in builds before its rename
with open({starts!r}, "a") as starts:
    starts.write(f"controller {{controller}}: {{program}}\\n")
os.execv(program, [program] + arguments)
"""


def main():
    if len(sys.argv) < 5:
        sys.exit(__doc__)
    player, earlier = (os.path.realpath(path) for path in sys.argv[1:3])
    ids, scenario, options = sys.argv[3].split(","), sys.argv[4], sys.argv[5:]
    folder = Path(tempfile.mkdtemp(prefix="mixed-versions-"))
    program, starts = folder / "railhub", folder / "starts"
    shutil.copy2(player, program)
    starts.touch()
    # A running program whose file is gone names itself with this suffix: there the launcher waits.
    launcher = folder / "railhub (deleted)"
    launcher.write_text(
        LAUNCHER.format(earlier=earlier, ids=ids, player=player, starts=str(starts))
    )
    launcher.chmod(0o755)
    child = os.fork()
    if child == 0:
        descriptor = os.open(program, os.O_RDONLY)
        os.set_inheritable(descriptor, False)
        program.unlink()
        arguments = ["railhub", "day", scenario, "--no-fixed", *options]
        os.execve(descriptor, arguments, os.environ)
    _, status = os.waitpid(child, 0)
    print(starts.read_text(), end="", file=sys.stderr)
    shutil.rmtree(folder)
    sys.exit(os.waitstatus_to_exitcode(status))


main()
