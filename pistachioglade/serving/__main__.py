"""Starts one of the serving programs: ``python3 -m pistachioglade.serving ROLE``.

SIGHUP means that the settings file has changed, but its default action ends the
process. SIGHUP is therefore ignored before the other imports, which take most of the
start, until the program installs its handler. Changes of the file in that time are read
without the signal, since the program loads the file and then checks it at intervals.
"""

import signal
import sys


def _run() -> int:
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from ._start import main

    return main(sys.argv[1:])


if __name__ == "__main__":
    sys.exit(_run())
