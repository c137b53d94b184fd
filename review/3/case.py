"""CONFIG: an entry of another writer, while configurations come in quick succession."""

from __future__ import annotations

import asyncio
import itertools
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standins as s  # noqa: E402

SERVICE = "pass-desk"
RATE_PER_S = 10.0
CONFIG_S = 3.0  # `configMs` of the sites.
STORM_S, STORM_GAP_S = 4.0, 0.33  # Of `config_storm` in the site files.
DROPPED_KEY = "anfqasnmgkcuyj8pjbvk"
# Its service is not named in the configuration, and its `born` is not a time but an id
# of 128 bits, as whole numbers that come from a UUID are.
FOREIGN_ENTRY = {
    "service": "old-desk",
    "address": "127.38.250.250:9",
    "zone": "amman-a",
    "version": "v1",
    "slots": 6,
    "state": "draining",
    "coldLeftMs": 0,
    "sequence": 1,
    "born": 0x5C1E07A291BD3F06E4402B7D9C41D07B,
}


def make_configuration(version, has_key):
    """Return a configuration with one tenant."""
    routes = [s.make_route("/puxa403/", "non_idempotent", SERVICE)]
    services = [{"name": SERVICE, "healthPath": "/healthz", "maxConns": 96}]
    configuration = s.make_configuration(version, routes, services)
    if has_key:
        configuration["tenants"][0]["apiKeys"].append(DROPPED_KEY)
    return configuration


async def send_traffic(deployment, results, stop):
    """Send requests to all routers in turn, each with a new id."""
    tasks = set()
    for number in itertools.count():
        if stop.is_set():
            break
        router = deployment.routers[number % len(deployment.routers)]
        key = DROPPED_KEY if number % 2 else s.KEY
        task = asyncio.create_task(
            send_one(deployment.record, router, number, key, results)
        )
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(1 / RATE_PER_S)
    await asyncio.gather(*tasks)


async def send_one(record, router, number, key, results):
    """Send one request and record what comes back."""
    attempt = f"b{number:06d}"
    sent_at = record.now()
    name = "dropped" if key == DROPPED_KEY else "kept"
    record.write("sent", attempt=attempt, router=router.name, key=name)
    headers = {
        "Host": s.HOST_NAME,
        "X-Attempt-Id": attempt,
        "X-Deadline-Ms": 3000,
        "Authorization": f"Bearer {key}",
    }
    answer = await s.send(router.address, "POST", "/puxa403/2f", headers, b"{}", 3.0)
    record.write("answered", attempt=attempt, key=name, status=answer.status)
    results.append((sent_at, name, answer.status))


async def change_quickly(deployment):
    """Write a version each `STORM_GAP_S`; return when the key was dropped.

    The key is dropped by the last one.
    """
    n_versions = int(STORM_S / STORM_GAP_S)
    for number in range(n_versions):
        is_last = number == n_versions - 1
        version = 20 + 3 * number
        configuration = make_configuration(version, has_key=not is_last)
        deployment.store.put("op", "config", configuration)
        deployment.record.write("version", version=version, has_key=not is_last)
        if number == 2 and s.is_troubled() and os.environ.get("FOREIGN", "1") != "0":
            deployment.store.put("servers", "zz-other-writer", FOREIGN_ENTRY)
            deployment.record.write("entry-of-another-writer")
        await asyncio.sleep(STORM_GAP_S)
    return deployment.record.now() - STORM_GAP_S


async def main():
    """Run the case and return its exit code."""
    async with s.Deployment(__file__) as deployment:
        record = deployment.record
        deployment.store.put("op", "config", make_configuration(7, has_key=True))
        for number in range(3):
            runner = deployment.add_runner(f"i-7f3a91c{number}", SERVICE, s.serve_plain)
            await runner.start()
        await deployment.start_routers()
        await asyncio.sleep(2.0)
        results, stop = [], asyncio.Event()
        traffic = asyncio.create_task(send_traffic(deployment, results, stop))
        await asyncio.sleep(6.0)
        dropped_at = await change_quickly(deployment)
        await asyncio.sleep(CONFIG_S + 12.0)
        stop.set()
        await traffic
        late = [r for r in results if r[0] > dropped_at + CONFIG_S]
        n_dropped = sum(name == "dropped" for _, name, _ in late)
        n_run = sum(name == "dropped" and status == 200 for _, name, status in late)
        n_kept = sum(name == "kept" and status == 200 for _, name, status in late)
        text = (
            f"{n_run} of {n_dropped} requests with the dropped key were served later"
            f" than {CONFIG_S:g} s after its removal; {n_kept} with the other key"
        )
        record.write("result", text=text.replace(" ", "_"))
        print(text)
        if n_kept < 20:
            return 2
        return 1 if n_run else 0


s.run_case(main)
