"""An entry that was suspended together with two agents starts jobs whose clients have left, while
the same jobs run for the clients' second attempts at other entries."""

import asyncio, os, signal, sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-2"))
from fleet import *

ENTRIES, AGENTS = 3, 25
FROZEN_AGENTS = 2  # with entry-1 three of 28 machines, a share of 0.11
FREEZE = 3.4  # for_s is 3.5
FREEZES = 6
PAUSE = 4.0  # between two freezes
WAIT = 1.5  # X-Deadline-Ms: the time budget of the sheet
RESEND = 1.3  # resend_ms
WORK = 0.76  # desembolso
JOBS = 40  # in the first 0.45 s of each freeze


async def client(fleet, record, name):
    """Sends a job to entry-1, and to the others after no response."""
    body = job(2, estimate_ms=760)
    headers = [("x-deadline-ms", "%d" % (WAIT * 1000))]
    for attempt, entry in enumerate((0, 1, 2)):
        record.note("%s  attempt %d is sent to entry-%d" % (name, attempt + 1, entry + 1))
        try:
            answer = await call(fleet.entries[entry]["clients"], "POST", PREFIX + name, body, limit=WAIT, headers=headers)
            record.note("%s  attempt %d is answered: %r" % (name, attempt + 1, answer))
            if answer[0] not in (502, 504):
                return
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            record.note("%s  attempt %d got no response; the client closes the channel" % (name, attempt + 1))
        await asyncio.sleep(RESEND)


async def case(fleet, record, trouble):
    await fleet.start(entries=ENTRIES, agents=AGENTS, work=WORK, cpu=32000)
    machines = [a["process"] for a in fleet.agents[:FROZEN_AGENTS]] + [fleet.entries[0]["process"]]
    clients, per_freeze, seen = [], [], 0
    for freeze in range(FREEZES):
        if trouble:
            for process in machines:
                process.send_signal(signal.SIGSTOP)
            record.note("entry-1 and %d agents are suspended" % FROZEN_AGENTS)
        began = now()
        for k in range(JOBS):
            name = "5c0e7a21d94b%02x%02x" % (freeze, k)
            clients.append(asyncio.ensure_future(client(fleet, record, name)))
            await asyncio.sleep(max(0, began + 0.45 * (k + 1) / JOBS - now()))
        await asyncio.sleep(began + FREEZE - now())
        if trouble:
            for process in machines:
                process.send_signal(signal.SIGCONT)
            record.note("they go on")
        await asyncio.sleep(PAUSE)
        pairs = len(overlaps(fleet.runs()))
        per_freeze.append(pairs - seen)
        seen = pairs
    await asyncio.gather(*clients)
    await asyncio.sleep(1)
    record.note("pairs of runs at the same time, for each freeze: %r" % per_freeze)
    show = lambda r: "run %d on %s from %.3f s to %.3f s (%s)" % (r.number, r.executor, r.began, r.end or now(), r.how)
    return [
        "TWICE: two runs of %s at the same time: %s, %s" % (a.task, show(a), show(b))
        for a, b in overlaps(fleet.runs())
    ]


main(case)
