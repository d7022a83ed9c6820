"""A small deployment with the figures of ishikari-labels (BRIEF-railhub.md and its site file): 8 label boxes in two
data halls, 4 front proxies, 44 shards, one steward; and the judge of rule 1."""
import asyncio
import time

from platform_standin import TROUBLE, Bench, Broken, Host, Proxy, settings

HALLS = ["sapporo-east", "ebetsu"]
# name, mean work in s, contract time in us, hard stop in us, gain, repeats, is a write
CLASSES = [
    ("lookup", 0.095, 600000, 1500000, 2.0, "repeatable", False),
    ("issue", 0.06, 400000, 1200000, 6.0, "by_key", True),
]
SLICES = 44
EMPTY_FOR = 5.8
SLACK = 0.3  # PROTOCOL.md: the limit on proxies with no host to pick runs 300 ms longer on sockets
WARM_WITHIN = 16.0
LINES_PER_S, HEAD, LATE_MS = 12000.0, 8, (150, 450)


def hosts(bench):
    made = []
    for index in range(8):
        hall = HALLS[index // 4]
        kind, cores, speed = [("full-box", 6, 1.0), ("small-box", 3, 0.6)][index % 2]
        address = (f"127.0.{1 + index // 4}.{1 + index}", 0)
        made.append(Host(bench, f"s-{hall[0]}{index}", hall, kind, cores, speed, address))
    return made


def build(folder, proxy_count=4):
    family = {
        "backlog": 12000.0, "buffer_for_us": 200000, "cycle_us": 500000, "empty_for_us": int(EMPTY_FOR * 1e6),
        "envelope": float(HEAD), "hears_per_s": 150.0, "late_us": 300000, "messages_over_us": 10000000,
        "push_rate": LINES_PER_S, "transit_max_us": 750000, "update_cap": 20,
    }
    rules = {
        "ask_within_us": 10000000, "cold_from": 0.31, "fall_multiple": 2.5, "overload_for_us": 1500000,
        "stop_sending_within_us": 4000000, "warm_within_us": int(WARM_WITHIN * 1e6),
    }
    proxies = [Proxy(number, HALLS[2 * number // proxy_count], 80.0 / proxy_count) for number in range(proxy_count)]
    config = settings(CLASSES, HALLS, ["full-box", "small-box"], SLICES, proxy_count, family, rules)
    return Bench(folder, config, hosts, proxies, CLASSES, SLICES, HALLS)


async def judge_rule_1(bench):
    """Rule 1: a joined proxy has had no line left to pick for a slice for longer than the settings allow, while the
    list told to the steward shows a ready host that last started WARM_WITHIN ago or more."""
    empty_since = {}
    while True:
        now = time.monotonic()
        entries = bench.discovery.told or {host.name: host.entry() for host in bench.host_list}
        ready = [entry for entry in entries.values() if entry["lifecycle"] == "ready"]
        warm = [e["instanceId"] for e in ready if time.time() - e["startedAtMs"] / 1000.0 >= WARM_WITHIN]
        answered = bench.steward_answered_at
        may_judge = bool(warm) and answered is not None and now >= answered + 1.0
        for proxy in bench.proxies:
            for table in range(SLICES):
                key = (proxy.number, table)
                counts = may_judge and proxy.alive and proxy.joined and now >= proxy.joined_at + 1.0
                if not counts or proxy.lines(table):
                    empty_since.pop(key, None)
                    continue
                since = empty_since.setdefault(key, now)
                if now - since > EMPTY_FOR + SLACK:
                    raise Broken(
                        f"proxy {proxy.number} has had no line to pick for slice {table} for {now - since:.1f} s "
                        f"(limit {EMPTY_FOR} s); its table {proxy.tables.get(table)}, withdrawn there "
                        f"{sorted(proxy.withdrawn)}, listed ready and warm {warm}; "
                        f"{len(empty_since)} of {len(bench.proxies) * SLICES} pairs of proxy and slice have no line"
                    )
        await asyncio.sleep(0.05)


async def lose_hall(bench, hall, seconds, notice):
    """A data hall is lost with all its hosts, which vanish and come back cold; the list learns of both late."""
    lost = [host for host in bench.host_list if host.zone == hall]
    bench.record("TROUBLE", f"all hosts of {hall} are lost for {seconds} s")
    for host in lost:
        await host.vanish()
    await asyncio.sleep(notice)
    for host in lost:
        bench.discovery.change(host.entry("gone"))
    await asyncio.sleep(seconds - notice)
    for host in lost:
        await host.start()
    await asyncio.sleep(1.0)
    for host in lost:
        bench.discovery.change(host.entry("ready"))


async def run_script(bench, trouble, judge):
    """Plays the script of the trouble, or as long a time without it, beside the judge."""
    await bench.start(LINES_PER_S, HEAD, LATE_MS)
    judging = asyncio.create_task(judge(bench))
    script = asyncio.create_task(trouble(bench) if TROUBLE else asyncio.sleep(65))
    done, _ = await asyncio.wait([judging, script], return_when=asyncio.FIRST_COMPLETED)
    for task in done:
        task.result()
    judging.cancel()
    bench.record("outcomes", str(bench.outcomes))
