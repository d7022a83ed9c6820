"""Two stewards, one owner a slice. One of them is cut off from the relay for 6 s; meanwhile the other is in charge of
its slices and names an owner; then the first is back."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin-2"))
from platform_standin import INF, Steward, World, play, settings  # noqa: E402

WARM_UP, CUT, TAKEOVER, AFTER = 14.0, 6.0, 1.0, 6.0
SLICES, FIRST = 16, 4  # the first steward has the first four slices
MOVED = 0  # the slice whose owner drains
WORK = {"quote": 0.1, "commit": 0.1}
MASK = (1 << 64) - 1


def mix(bits):
    bits = (bits + 0x9E3779B97F4A7C15) & MASK
    bits = ((bits ^ (bits >> 30)) * 0xBF58476D1CE4E5B9) & MASK
    bits = ((bits ^ (bits >> 27)) * 0x94D049BB133111EB) & MASK
    return bits ^ (bits >> 31)


def first_choice(number, names):
    """The host that the project's rendezvous hash prefers for a slice, by docs/design.md: only to lay the slices out."""
    def unit(name):
        value = 0xCBF29CE484222325
        for byte in name.encode():
            value = ((value ^ byte) * 0x100000001B3) & MASK
        return (mix(mix(value ^ (number << 48))) >> 11) / 2.0 ** 53
    return max(names, key=unit)


async def case(folder, trouble):
    names = [f"h{number}" for number in range(7)]
    classes = [{"aim_us": 600000, "effect": "repeatable", "group": "all", "hard_limit_us": 1500000,
                "key_ttl_us": 5000000, "late_value": 0.1, "name": "quote", "worth": 1.0},
               {"aim_us": 1000000, "effect": "once", "group": "all", "hard_limit_us": 1500000,
                "key_ttl_us": 5000000, "late_value": 0.1, "name": "commit", "worth": 2.0}]
    family = {"key_ranges": SLICES, "exclusive": True, "write_lease_us": 2500000, "write_life_us": 1520000,
              "empty_for_us": 20400000, "late_us": 250000, "transit_max_us": 625000, "cycle_us": 500000, "usual_how": 0, "pick": "round", "buffer_for_us": 500000}
    world = World(folder, settings(family_info=family, request_classes=classes, balancers=2), ["a", "b"],
                  late=(0.1, 0.4), report_late=(0.3, 0.6))
    world.durations = {"commit": 0.3}
    try:
        world.stewards = [Steward(world, 0), Steward(world, 1)]
        for name in names:
            world.add_host(name, "ab"[int(name[1]) % 2], cores=8.0)
        for number in range(6):
            world.add_proxy("ab"[number % 2])
        # The moved slice stands on a host that drains. Of the other hosts, the hash prefers `preferred`, on which the
        # first steward has a busy slice of its own; the second one has room there.
        drained = names[0]
        preferred = first_choice(MOVED, names[1:])
        others = [name for name in names[1:] if name != preferred]
        for number in range(SLICES):
            owner, rate = others[number % len(others)], 1.0
            if number == MOVED:
                owner, rate = drained, 12.0
            elif number == 1:
                owner, rate = preferred, 6.0
            elif number >= FIRST:
                owner, rate = names[1:][number % 6], 1.5
            world.add_slice(number, {owner: 1.0}, 0 if number < FIRST else 1,
                            {"quote": rate * 0.2, "commit": rate * 0.8}, WORK)
        await world.open()
        for steward in world.stewards:
            steward.start()
            await steward.until_ready()
        await asyncio.sleep(2.0)
        for proxy in world.proxies:
            world.spawn(world.load(proxy, 1 / len(world.proxies)))
        await asyncio.sleep(WARM_UP)
        # A deployment: the first host drains; its successor is listed some seconds later.
        world.hosts[drained].lifecycle = "draining"
        world.list_changed(drained)
        await asyncio.sleep(0.7)
        if trouble:
            world.stewards[0].set_cut(True)
        await asyncio.sleep(TAKEOVER)
        if trouble:
            for number in range(FIRST):
                world.give(number, 1)
            world.give_back[0] = list(range(FIRST))
        await asyncio.sleep(4.3)
        world.add_host("h7", "a", cores=8.0)
        await world.hosts["h7"].start_cold()
        world.list_changed("h7")
        await asyncio.sleep(CUT - TAKEOVER - 4.3)
        if trouble:
            world.stewards[0].set_cut(False)
        await asyncio.sleep(AFTER)
    finally:
        world.close()
    return world


play(HERE, case, "no effect twice")
