"""One owner a slice. A proxy's stream comes and goes while the steward is cut off from the relay for 6 s; a host that
drained meanwhile gets a successor as the owner before that proxy's write lease has ended."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin-2"))
from platform_standin import Steward, World, play, settings  # noqa: E402

WARM_UP, CUT = 10.0, 6.0
SLICES, DRAINED, REDIAL = 14, "h0", 2.2
WORK = {"availability": 0.1, "deposit": 0.1}


async def case(folder, trouble):
    names = [f"h{number}" for number in range(7)]
    classes = [{"aim_us": 600000, "effect": "repeatable", "group": "all", "hard_limit_us": 1500000,
                "key_ttl_us": 5000000, "late_value": 0.1, "name": "availability", "worth": 1.0},
               {"aim_us": 1000000, "effect": "once", "group": "all", "hard_limit_us": 1500000,
                "key_ttl_us": 5000000, "late_value": 0.1, "name": "deposit", "worth": 2.0}]
    family = {"key_ranges": SLICES, "exclusive": True, "empty_for_us": 20400000, "usual_how": 0, "pick": "round",
              "buffer_for_us": 500000, "write_lease_us": 2500000, "write_life_us": 1520000}
    world = World(folder, settings(family_info=family, request_classes=classes), ["a", "b"], late=(0.1, 0.3))
    # A deposit takes most of its contract time of 1 s; a write is finished within 1.52 s.
    world.durations = {"deposit": 0.9}
    try:
        world.stewards = [Steward(world, 0)]
        steward = world.stewards[0]
        for name in names:
            world.add_host(name, "ab"[int(name[1]) % 2])
        for number in range(5):
            world.add_proxy("ab"[number % 2])
        for number in range(SLICES):
            world.add_slice(number, {names[number % 7]: 1.0}, 0, {"availability": 1.0, "deposit": 5.0}, WORK)
        await world.open()
        steward.start()
        await steward.until_ready()
        await asyncio.sleep(2.0)
        for proxy in world.proxies:
            world.spawn(world.load(proxy, 1 / len(world.proxies)))
        roaming = world.proxies[4]
        await asyncio.sleep(WARM_UP)
        if trouble:
            world.leave(roaming, 0)
        await asyncio.sleep(0.5)
        if trouble:
            steward.set_cut(True)
        await asyncio.sleep(REDIAL - 0.5)
        if trouble:
            world.join(roaming, 0)
        await asyncio.sleep(1.5)
        # A deployment: the host drains; its successor is listed some seconds later.
        world.hosts[DRAINED].lifecycle = "draining"
        world.list_changed(DRAINED)
        await asyncio.sleep(CUT - (REDIAL - 0.5) - 1.5 - 0.3)
        if trouble:
            world.leave(roaming, 0)
            asyncio.get_running_loop().call_later(REDIAL, world.dial_again, roaming, 0)
        await asyncio.sleep(0.3)
        if trouble:
            steward.set_cut(False)
        await asyncio.sleep(2.05)
        world.add_host("h7", "a")
        await world.hosts["h7"].start_cold()
        world.list_changed("h7")
        await asyncio.sleep(6.0)
    finally:
        world.close()
    return world


play(HERE, case, "no effect twice")
