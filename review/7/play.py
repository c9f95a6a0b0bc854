"""A VM that is partitioned from the store passes on streams whose version it could not record, and is restarted: other VMs take them for streams of the
default version."""
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))

from fleet import run_case  # noqa: E402
from streams import Load, add_deployment, judge  # noqa: E402

CUT = 5.5  # Seconds. The largest cut of the site file.


def play(fleet, trouble):
    add_deployment(fleet)
    fleet.start()
    time.sleep(6.0)  # The VMs hear each other, and the default version is set.
    load = Load(fleet, [0, 0, 1, 2], 32)
    time.sleep(4.0)
    cut_vm, link = fleet.relays[0], fleet.links[0]
    if trouble:
        link.is_cut = True
        fleet.record.write(f"{cut_vm.name} is partitioned from the store")
        time.sleep(1.7)
        cut_vm.kill()
        time.sleep(0.3)
        cut_vm.start()
        time.sleep(CUT - 2.0)
        link.is_cut = False
        fleet.record.write(f"{cut_vm.name} reaches the store again")
    else:
        time.sleep(CUT)
    time.sleep(1.0)
    return judge(load.finish())


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
